//! The driver's side: who waits for which reply.

use std::collections::BTreeMap;

use elderworks_control::Change;
use elderworks_control::watch::WatchError;
use elderworks_node_core::effect::OperatorReply;
use elderworks_node_core::event::{Event, OperatorRequest, RequestId};
use tokio::sync::{mpsc, oneshot};

use super::{OperatorCommand, WatchMessage};

/// Matches replies and changes of the node core to those who wait for them.
#[derive(Debug, Default)]
pub struct OperatorBridge {
    last_request: RequestId,
    asked: BTreeMap<RequestId, oneshot::Sender<OperatorReply>>,
    watches: BTreeMap<RequestId, mpsc::Sender<WatchMessage>>,
}

impl OperatorBridge {
    /// Takes a command; the event is for the node core.
    pub fn accept(&mut self, command: OperatorCommand) -> Event {
        self.last_request += 1;
        let request = self.last_request;
        let question = match command {
            OperatorCommand::Ask { question, reply } => {
                self.asked.insert(request, reply);
                question
            }
            OperatorCommand::Watch {
                kind,
                after,
                changes,
            } => {
                self.watches.insert(request, changes);
                OperatorRequest::Watch { kind, after }
            }
        };
        Event::Operator { request, question }
    }

    /// Passes on a reply.
    pub fn reply(&mut self, request: RequestId, reply: OperatorReply) {
        if let OperatorReply::Watching(begun) = reply {
            self.begin_watch(request, begun);
            return;
        }
        if let Some(waiting) = self.asked.remove(&request) {
            // Whoever asked may have stopped waiting.
            let _ = waiting.send(reply);
        }
    }

    /// Passes on a change. A watcher that is gone, or too far behind, is dropped; the event to
    /// unwatch is for the node core.
    pub fn change(&mut self, watch: RequestId, change: Change) -> Option<Event> {
        let changes = self.watches.get(&watch)?;
        let message = WatchMessage::Change(Box::new(change));
        if changes.try_send(message).is_ok() {
            return None;
        }
        self.watches.remove(&watch);
        Some(unwatch(watch))
    }

    /// Forgets everyone who stopped waiting; to be called now and then. The events are for the
    /// node core.
    pub fn sweep(&mut self) -> Vec<Event> {
        self.asked.retain(|_, waiting| !waiting.is_closed());
        let gone: Vec<RequestId> = self
            .watches
            .iter()
            .filter(|(_, changes)| changes.is_closed())
            .map(|(watch, _)| *watch)
            .collect();
        for watch in &gone {
            self.watches.remove(watch);
        }
        gone.into_iter().map(unwatch).collect()
    }

    /// How many watches are open.
    pub fn open_watches(&self) -> usize {
        self.watches.len()
    }

    fn begin_watch(&mut self, watch: RequestId, begun: Result<(), WatchError>) {
        let Some(changes) = self.watches.get(&watch) else {
            return;
        };
        // The first message always finds room; if the watcher is gone, a sweep removes it.
        let _ = changes.try_send(WatchMessage::Begun(begun));
        if begun.is_err() {
            self.watches.remove(&watch);
        }
    }
}

fn unwatch(watch: RequestId) -> Event {
    Event::Operator {
        request: watch,
        question: OperatorRequest::Unwatch { watch },
    }
}
