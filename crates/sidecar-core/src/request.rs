//! One open request and where it stands.

use std::net::SocketAddr;

use elderworks_protocol::sidecar::{SidecarMessage, SubmissionId, SubmissionTag};
use elderworks_types::{CallId, CallSpec, RunId, RunSpec, TenantId, Timestamp};

use crate::copies::Copies;
use crate::delivery::Delivery;
use crate::event::RequestId;

/// Names an open request. Calls are named by their call id, which is what answers carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKey {
    /// A call.
    Call(CallId),
    /// Anything else.
    Other(RequestId),
}

/// What was asked.
#[derive(Debug)]
pub enum Body {
    /// Make a call.
    Call(Box<OpenCall>),
    /// Start a run.
    StartRun(RunSpec),
    /// Read a run.
    ReadRun {
        /// On whose behalf.
        tenant: TenantId,
    },
    /// End a run.
    EndRun {
        /// On whose behalf.
        tenant: TenantId,
    },
}

/// An open call.
#[derive(Debug)]
pub struct OpenCall {
    /// On whose behalf.
    pub tenant: TenantId,
    /// The call.
    pub spec: CallSpec,
    /// Names this submission to the nodes.
    pub submission: SubmissionId,
    /// What was passed on of its answer.
    pub delivery: Delivery,
    /// The callers that wait for it.
    pub listeners: Vec<RequestId>,
}

/// Where the request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Position {
    /// Here, until it is sent at `retry_at` or later.
    Waiting {
        /// Earliest time to send it.
        retry_at: Timestamp,
    },
    /// With a node.
    Sent {
        /// The node.
        to: SocketAddr,
        /// When it was sent, or last heard of.
        heard: Timestamp,
    },
}

/// One open request.
#[derive(Debug)]
pub struct OpenRequest {
    /// The run that it is about.
    pub run: RunId,
    /// What was asked.
    pub body: Body,
    /// Where it is.
    pub position: Position,
    /// Whether a node that was given the request went silent, so that it may have been taken.
    pub maybe_taken: bool,
    /// Copies of a run's start that were not answered; other requests are not counted.
    pub copies: Copies,
    /// Failures in a row.
    pub failures: u32,
    /// When it is refused unless a node has it by then.
    pub hand_over_by: Timestamp,
    /// When it is given up in any case.
    pub give_up_at: Timestamp,
}

impl OpenRequest {
    /// Whether it is with the node at `address`.
    pub fn is_with(&self, address: SocketAddr) -> bool {
        matches!(self.position, Position::Sent { to, .. } if to == address)
    }

    /// Whether no node can have taken it.
    pub fn surely_not_taken(&self) -> bool {
        let is_here = matches!(self.position, Position::Waiting { .. });
        is_here && !self.maybe_taken && self.copies.are_answered()
    }

    /// Takes it back from a node that may have taken it.
    pub fn recall(&mut self, now: Timestamp) {
        self.leave_copies();
        self.position = Position::Waiting { retry_at: now };
    }

    /// Gives up the answers to copies that were sent.
    pub fn leave_copies(&mut self) {
        self.maybe_taken = true;
        self.copies = Copies::default();
    }

    /// Has the request sent again: its node is silent. Copies of a start stay counted, since the
    /// node will answer each of them.
    pub fn send_again(&mut self, now: Timestamp) {
        match self.body {
            Body::StartRun(_) => self.position = Position::Waiting { retry_at: now },
            _ => self.recall(now),
        }
    }

    /// Notes that it was sent.
    pub fn note_sent(&mut self, now: Timestamp, to: SocketAddr) {
        self.position = Position::Sent { to, heard: now };
        if let Body::StartRun(_) = self.body {
            self.maybe_taken |= self.copies.note_sent(to);
        }
    }

    /// The message that carries it; `abandoned_before` is how many calls directly before it were
    /// given up.
    pub fn message(&self, key: RequestKey, abandoned_before: u32) -> SidecarMessage {
        let run = self.run;
        match &self.body {
            Body::Call(call) => SidecarMessage::SubmitCall {
                tenant: call.tenant.clone(),
                run,
                spec: call.spec.clone(),
                delivered: call.delivery.progress(),
                abandoned_before,
                submission: SubmissionTag {
                    id: call.submission,
                    resubmitted: self.maybe_taken,
                },
            },
            Body::StartRun(spec) => SidecarMessage::StartRun { spec: spec.clone() },
            Body::ReadRun { tenant } => SidecarMessage::ReadRun {
                query: key.query(),
                tenant: tenant.clone(),
                run,
            },
            Body::EndRun { tenant } => SidecarMessage::EndRun {
                tenant: tenant.clone(),
                run,
            },
        }
    }
}

/// What a call asks for, whenever it should be done: a repeated request may name another deadline.
pub(crate) fn without_deadline(spec: &CallSpec) -> CallSpec {
    CallSpec {
        deadline: None,
        ..spec.clone()
    }
}

impl RequestKey {
    fn query(self) -> u64 {
        match self {
            RequestKey::Other(request) => request,
            RequestKey::Call(_) => 0,
        }
    }
}
