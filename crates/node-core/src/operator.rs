//! Requests of operators.

use std::collections::BTreeMap;

use elderworks_control::{self as control, Change};
use elderworks_types::resource::Kind;
use elderworks_types::{Offset, RunId};

use crate::core::NodeCore;
use crate::effect::{Effect, OperatorReply};
use crate::event::{OperatorRequest, RequestId};

/// Watches open at the same time at one node.
pub const MAX_WATCHES: usize = 1024;

/// Open watches; each sees one kind, or all.
pub(crate) type Watches = BTreeMap<RequestId, Option<Kind>>;

impl NodeCore {
    /// Answers an operator, at once or when the log has decided.
    pub(crate) fn operator_request(&mut self, request: RequestId, question: OperatorRequest) {
        let reply = match question {
            OperatorRequest::Change(body) => {
                self.agenda
                    .control(control::Event::Propose { request, body });
                return;
            }
            OperatorRequest::Watch { kind, after } => {
                self.open_watch(request, kind, after);
                return;
            }
            OperatorRequest::Unwatch { watch } => {
                self.watches.remove(&watch);
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
            OperatorRequest::Run { run } => self.run_reply(run),
        };
        self.agenda.effect(Effect::OperatorReply { request, reply });
    }

    fn member_list(&self) -> Vec<elderworks_membership::Member> {
        let members = self.membership.iter().flat_map(|known| known.members());
        members.cloned().collect()
    }

    fn run_reply(&self, run: RunId) -> OperatorReply {
        let partition = run.partition(self.settings.partition_count);
        let held = self.ownership.held.get(&partition);
        match held.filter(|held| held.epoch.is_some()) {
            Some(held) => OperatorReply::Run(held.machine.view(run).map(Box::new)),
            None => OperatorReply::RunElsewhere(
                self.owner_address(partition)
                    .filter(|owner| owner.node != self.settings.node),
            ),
        }
    }

    fn open_watch(&mut self, watch: RequestId, kind: Option<Kind>, after: Offset) {
        let full = self.watches.len() >= MAX_WATCHES;
        self.counters.watch_overflow += u64::from(full);
        let missed = self.control.changes_since(after).filter(|_| !full);
        let accepted = missed.is_some();
        self.agenda.effect(Effect::OperatorReply {
            request: watch,
            reply: OperatorReply::Watching { accepted },
        });
        for change in missed.into_iter().flatten() {
            self.tell_watcher(watch, kind, &change);
        }
        if accepted {
            self.watches.insert(watch, kind);
        }
    }

    /// Tells every watcher of its kind about a change.
    pub(crate) fn tell_watchers(&mut self, change: &Change) {
        let watches = self.watches.clone();
        for (watch, kind) in watches {
            self.tell_watcher(watch, kind, change);
        }
    }

    fn tell_watcher(&mut self, watch: RequestId, kind: Option<Kind>, change: &Change) {
        if kind.is_none_or(|kind| kind == change.kind) {
            self.agenda.effect(Effect::WatchEvent {
                watch,
                change: change.clone(),
            });
        }
    }
}
