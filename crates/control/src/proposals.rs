//! Changes asked for on this node and not yet answered.
//!
//! At most one is with the log at a time, so every batch that a node writes holds at most one
//! change and every change has a revision of its own. What waits behind it was surely not appended.

use std::collections::VecDeque;

use crate::{ControlBody, RequestId};

/// Changes that may wait behind the one in flight.
const MAX_WAITING: usize = 256;

/// One change asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Proposal {
    /// Matches the reply.
    pub(crate) request: RequestId,
    /// The change.
    pub(crate) body: ControlBody,
}

/// The queue.
#[derive(Debug, Default)]
pub(crate) struct Proposals {
    in_flight: Option<Proposal>,
    waiting: VecDeque<Proposal>,
}

impl Proposals {
    /// Queues a proposal, unless too many wait; says whether it did.
    pub(crate) fn push(&mut self, proposal: Proposal) -> bool {
        let has_room = self.waiting.len() < MAX_WAITING;
        if has_room {
            self.waiting.push_back(proposal);
        }
        has_room
    }

    /// Puts the next proposal in flight, if none is; returns what to append.
    pub(crate) fn send_next(&mut self) -> Option<ControlBody> {
        if self.in_flight.is_some() {
            return None;
        }
        self.in_flight = self.waiting.pop_front();
        self.in_flight
            .as_ref()
            .map(|proposal| proposal.body.clone())
    }

    /// The proposal in flight, if this record of this node is it.
    pub(crate) fn take_read_back(&mut self, body: &ControlBody) -> Option<RequestId> {
        let proposal = self.in_flight.take_if(|proposal| proposal.body == *body)?;
        Some(proposal.request)
    }

    /// Takes out everything that was surely not appended.
    pub(crate) fn take_waiting(&mut self) -> impl Iterator<Item = Proposal> {
        std::mem::take(&mut self.waiting).into_iter()
    }

    /// Takes out everything, once what is in flight can no longer take effect.
    pub(crate) fn take_all(&mut self) -> impl Iterator<Item = Proposal> {
        let in_flight = self.in_flight.take();
        in_flight.into_iter().chain(self.take_waiting())
    }
}
