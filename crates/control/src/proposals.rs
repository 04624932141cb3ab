//! Queue of changes proposed on this node that are not yet applied.
//!
//! At most one change is in flight to the log at a time, so that every batch contains at most one
//! change and every change has a unique revision. Changes that are still queued have definitely not
//! been appended.

use std::collections::VecDeque;

use crate::{ControlBody, RequestId};

/// Maximum number of changes queued behind the one in flight.
const MAX_WAITING: usize = 256;

/// A proposed change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Proposal {
    /// Identifier for the reply.
    pub(crate) request: RequestId,
    /// The requested change.
    pub(crate) body: ControlBody,
}

/// The proposal in flight and those queued behind it.
#[derive(Debug, Default)]
pub(crate) struct Proposals {
    in_flight: Option<Proposal>,
    waiting: VecDeque<Proposal>,
}

impl Proposals {
    /// Queues a proposal and returns `true`, or returns `false` if the queue is full.
    pub(crate) fn push(&mut self, proposal: Proposal) -> bool {
        let has_room = self.waiting.len() < MAX_WAITING;
        if has_room {
            self.waiting.push_back(proposal);
        }
        has_room
    }

    /// Sends the next proposal if none is in flight, and returns the record body to append.
    pub(crate) fn send_next(&mut self) -> Option<ControlBody> {
        if self.in_flight.is_some() {
            return None;
        }
        self.in_flight = self.waiting.pop_front();
        self.in_flight
            .as_ref()
            .map(|proposal| proposal.body.clone())
    }

    /// Removes the proposal in flight if its body equals `body`, which was read from a record of this
    /// node, and returns its request.
    pub(crate) fn take_matching(&mut self, body: &ControlBody) -> Option<RequestId> {
        let proposal = self.in_flight.take_if(|proposal| proposal.body == *body)?;
        Some(proposal.request)
    }

    /// Removes all queued proposals, which have definitely not been appended.
    pub(crate) fn take_waiting(&mut self) -> impl Iterator<Item = Proposal> {
        std::mem::take(&mut self.waiting).into_iter()
    }

    /// Removes all proposals. Must only be called if the one in flight can no longer take effect.
    pub(crate) fn take_all(&mut self) -> impl Iterator<Item = Proposal> {
        let in_flight = self.in_flight.take();
        in_flight.into_iter().chain(self.take_waiting())
    }
}
