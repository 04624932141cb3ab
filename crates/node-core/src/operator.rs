//! Requests by operators.

#[cfg(feature = "broken")]
mod broken;

use std::cmp::Reverse;

use elderworks_control::watch::WatchError;
use elderworks_control::{self as control, Change};
use elderworks_execution::RunSummary;
use elderworks_types::resource::Kind;
use elderworks_types::{Offset, RunId};

use crate::core::NodeCore;
use crate::effect::{Effect, OperatorReply};
use crate::event::{OperatorRequest, RequestId};

/// Maximum number of runs in a list.
pub const MAX_LISTED_RUNS: usize = 1_000;

impl NodeCore {
    /// Handles a request by an operator. Changes are answered once their record has been read back.
    pub(crate) fn operator_request(&mut self, request: RequestId, question: OperatorRequest) {
        let reply = match question {
            OperatorRequest::Change(body) => {
                #[cfg(feature = "broken")]
                self.accept_unread(request, &body);
                self.agenda
                    .control(control::Event::Propose { request, body });
                return;
            }
            OperatorRequest::Watch { kind, after } => {
                self.open_watch(request, kind, after);
                return;
            }
            OperatorRequest::Unwatch { watch } => {
                self.watches.unsubscribe(watch);
                return;
            }
            OperatorRequest::Get { kind, name } => {
                OperatorReply::Resource(self.control.get(kind, &name).cloned())
            }
            OperatorRequest::List { kind } => OperatorReply::Resources {
                items: self.control.list(kind).cloned().collect(),
                revision: Offset(self.control.next().0.saturating_sub(1)),
            },
            OperatorRequest::Nodes => OperatorReply::Nodes(self.member_list()),
            OperatorRequest::Engines => OperatorReply::Engines(self.engines.views()),
            OperatorRequest::Runs => OperatorReply::Runs(self.own_runs()),
            OperatorRequest::Run { run } => self.run_reply(run),
        };
        self.agenda.effect(Effect::OperatorReply { request, reply });
    }

    fn member_list(&self) -> Vec<elderworks_membership::Member> {
        let members = self.membership.iter().flat_map(|known| known.members());
        members.cloned().collect()
    }

    /// Returns the most recent runs of the owned partitions.
    fn own_runs(&self) -> Vec<RunSummary> {
        let followed = self.ownership.followed.values();
        let owned = followed.filter(|followed| followed.epoch.is_some());
        let mut runs: Vec<RunSummary> = owned
            .flat_map(|followed| followed.machine.run_summaries())
            .collect();
        runs.sort_by_key(|run| (Reverse(run.started), run.spec.id));
        runs.truncate(MAX_LISTED_RUNS);
        runs
    }

    fn run_reply(&self, run: RunId) -> OperatorReply {
        let partition = run.partition(self.settings.partition_count);
        let followed = self.ownership.followed.get(&partition);
        match followed.filter(|followed| followed.epoch.is_some()) {
            Some(followed) => OperatorReply::Run(followed.machine.view(run).map(Box::new)),
            None => OperatorReply::RunElsewhere(
                self.owner_address(partition)
                    .filter(|owner| owner.node != self.settings.node),
            ),
        }
    }

    /// Opens a watch and sends the changes since `after`.
    fn open_watch(&mut self, watch: RequestId, kind: Option<Kind>, after: Offset) {
        let opened = self.watches.subscribe(&self.control, watch, kind, after);
        let full = opened == Err(WatchError::TooMany);
        self.counters.watch_overflow += u64::from(full);
        let (reply, missed) = match opened {
            Ok(missed) => (Ok(()), missed),
            Err(error) => (Err(error), Vec::new()),
        };
        self.agenda.effect(Effect::OperatorReply {
            request: watch,
            reply: OperatorReply::Watching(reply),
        });
        for change in missed {
            self.agenda.effect(Effect::WatchEvent { watch, change });
        }
    }

    /// Sends a change to all watches that match it.
    pub(crate) fn notify_watchers(&mut self, change: &Change) {
        for watch in self.watches.subscribers_of(change) {
            let change = change.clone();
            self.agenda.effect(Effect::WatchEvent { watch, change });
        }
    }
}
