//! The driver's side of the operators' interface: pending requests and open watches.

use std::collections::BTreeMap;

use elderworks_control::Change;
use elderworks_control::watch::WatchError;
use elderworks_node_core::effect::OperatorReply;
use elderworks_node_core::event::{Event, OperatorRequest, RequestId};
use tokio::sync::{mpsc, oneshot};

use super::{OperatorCommand, WatchMessage};

/// Routes replies and changes of the node core to the HTTP requests that wait for them.
#[derive(Debug, Default)]
pub struct OperatorBridge {
    last_request: RequestId,
    pending: BTreeMap<RequestId, oneshot::Sender<OperatorReply>>,
    watches: BTreeMap<RequestId, mpsc::Sender<WatchMessage>>,
}

impl OperatorBridge {
    /// Registers a command and returns the event to pass to the node core.
    pub fn accept(&mut self, command: OperatorCommand) -> Event {
        self.last_request += 1;
        let request = self.last_request;
        let question = match command {
            OperatorCommand::Ask { question, reply } => {
                self.pending.insert(request, reply);
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

    /// Sends a reply of the node core to the request that waits for it.
    pub fn reply(&mut self, request: RequestId, reply: OperatorReply) {
        if let OperatorReply::Watching(started) = reply {
            self.start_watch(request, started);
            return;
        }
        if let Some(waiting) = self.pending.remove(&request) {
            // The HTTP request may have timed out or been closed.
            let _ = waiting.send(reply);
        }
    }

    /// Sends a change to a watcher. If the watcher is gone or its queue is full, closes the watch and
    /// returns the event that ends it in the node core.
    pub fn change(&mut self, watch: RequestId, change: Change) -> Option<Event> {
        let changes = self.watches.get(&watch)?;
        let message = WatchMessage::Change(Box::new(change));
        if changes.try_send(message).is_ok() {
            return None;
        }
        self.watches.remove(&watch);
        Some(unwatch(watch))
    }

    /// Removes requests and watches whose receivers are gone, and returns the events that end these
    /// watches in the node core. Must be called periodically.
    pub fn sweep(&mut self) -> Vec<Event> {
        self.pending.retain(|_, waiting| !waiting.is_closed());
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

    /// Returns the number of open watches.
    pub fn open_watches(&self) -> usize {
        self.watches.len()
    }

    fn start_watch(&mut self, watch: RequestId, started: Result<(), WatchError>) {
        let Some(changes) = self.watches.get(&watch) else {
            return;
        };
        // The queue is empty, so this fails only if the watcher is gone; `sweep` then removes it.
        let _ = changes.try_send(WatchMessage::Started(started));
        if started.is_err() {
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
