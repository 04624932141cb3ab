//! Claiming and losing the ownership of the partition.

use elderworks_protocol::journal::JournalBody;
use elderworks_protocol::sidecar::NodeMessage;
use elderworks_types::{CallId, CallNumber, Epoch, RunId, Timestamp};

use super::Partition;
use crate::Effect;
use crate::event::Connection;
use crate::soft_state::{OpenCall, SoftState, Stage};
use crate::state::Loader;

impl Partition {
    pub(super) fn on_claim(&mut self, now: Timestamp, forced: bool) {
        if self.is_serving() {
            return self.cancel_release(now);
        }
        self.pending_claim = Some(forced);
        self.try_claim();
    }

    /// Appends the pending claim if it is permitted now.
    pub(super) fn try_claim(&mut self) {
        let Some(forced) = self.pending_claim.filter(|_| self.owned.is_none()) else {
            return;
        };
        let ownership = &self.journal.ownership;
        let is_unowned = ownership.owner.is_none();
        let next_epoch = ownership.epoch.next();
        let can_claim = matches!(self.loader, Loader::Done | Loader::Empty);
        let claimed_already = self.claimed_epoch == Some(next_epoch);
        if !can_claim || claimed_already || !(forced || is_unowned) {
            return;
        }
        self.claimed_epoch = Some(next_epoch);
        self.emit(Effect::Append {
            epoch: next_epoch,
            body: JournalBody::Claim {
                owner: self.writer.node.clone(),
            },
        });
    }

    /// Handles a successful claim of this or another node. `own` means that the claim has this
    /// node's writer. It makes this node the owner only if this instance appended it: an earlier
    /// instance with the same writer may have claimed and released the partition before.
    pub(super) fn on_claim_won(&mut self, now: Timestamp, own: bool, epoch: Epoch) {
        let is_expected = self.claimed_epoch == Some(epoch);
        if self.owned.is_some() && !own && self.settings.faults.no_fencing() {
            return;
        }
        if self.owned.is_some() {
            self.counters.fenced += 1;
            self.lose_ownership();
        }
        self.claimed_epoch = None;
        self.pending_claim = None;
        if own && is_expected {
            self.become_owner(now, epoch);
        }
    }

    fn become_owner(&mut self, now: Timestamp, epoch: Epoch) {
        log::info!("became owner of partition {} at epoch {epoch}", self.id);
        self.counters.takeovers += 1;
        self.owned = Some(epoch);
        self.soft = SoftState::new(&self.settings);
        self.emit(Effect::OwnershipChanged { owned: Some(epoch) });
        self.recover(now, epoch);
    }

    /// Discards the owner's state and redirects waiting callers.
    pub(super) fn lose_ownership(&mut self) {
        log::info!("no longer owner of partition {}", self.id);
        self.owned = None;
        let mut soft = std::mem::replace(&mut self.soft, SoftState::new(&self.settings));
        self.emit(Effect::OwnershipChanged { owned: None });
        for read in soft.reads.take_all() {
            self.redirect([read.connection], read.run, None);
        }
        for (run, start) in soft.starting {
            self.redirect(start.connections, run, None);
        }
        for ((call, _), connections) in soft.refusing {
            self.notify_call_moved(connections, call);
        }
        let mut queue = soft.queue;
        for (id, submission) in queue.take_all() {
            let callers = submission.callers.connections();
            self.redirect(callers, id.run, Some(id.number));
        }
        for (run, activity) in soft.runs {
            if let Some(accepting) = activity.accepting {
                let submission = accepting.submission;
                let number = submission.spec.number;
                let callers = submission.callers.connections();
                self.notify_call_moved(callers, CallId { run, number });
            }
            if let Some(open) = activity.open {
                self.detach_open_call(run, &open);
            }
            if let Some(ending) = activity.ending {
                self.redirect(ending.connections, run, None);
            }
        }
    }

    /// Hands an open call over to the next owner. An attempt that is still in placement is
    /// cancelled; one that was sent to a back end continues.
    fn detach_open_call(&mut self, run: RunId, open: &OpenCall) {
        let call = CallId {
            run,
            number: open.number,
        };
        if let Stage::Running(running) = &open.stage
            && running.sent.is_none()
        {
            let attempt = running.attempt;
            self.emit(Effect::Cancel { call, attempt });
        }
        self.notify_call_moved(open.callers.connections(), call);
    }

    /// Notifies connections that a call accepted here may continue on another node.
    fn notify_call_moved(
        &mut self,
        connections: impl IntoIterator<Item = Connection>,
        call: CallId,
    ) {
        for connection in connections {
            self.send(connection, NodeMessage::CallMoved { call });
        }
    }

    /// Notifies connections that this node does not serve the partition.
    pub(super) fn redirect(
        &mut self,
        connections: impl IntoIterator<Item = Connection>,
        run: RunId,
        number: Option<CallNumber>,
    ) {
        for connection in connections {
            let message = NodeMessage::NotOwner {
                run,
                number,
                owner: None,
            };
            self.send(connection, message);
        }
    }
}
