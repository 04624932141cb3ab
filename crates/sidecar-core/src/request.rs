//! An open request and its delivery state.

use std::net::SocketAddr;

use elderworks_protocol::sidecar::{SidecarMessage, SubmissionId, SubmissionTag};
use elderworks_types::{CallId, CallSpec, RunId, RunSpec, TenantId, Timestamp};

use crate::copies::UnansweredCopies;
use crate::delivery::Delivery;
use crate::event::RequestId;

/// Key of an open request. Calls are keyed by call id because nodes' answers carry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKey {
    /// A call.
    Call(CallId),
    /// Starting, reading or ending a run.
    Other(RequestId),
}

/// The operation that a caller requested.
#[derive(Debug)]
pub enum Operation {
    /// Makes a call.
    Call(Box<OpenCall>),
    /// Starts a run.
    StartRun(RunSpec),
    /// Reads a run.
    ReadRun {
        /// Tenant of the caller.
        tenant: TenantId,
    },
    /// Ends a run.
    EndRun {
        /// Tenant of the caller.
        tenant: TenantId,
    },
}

/// An open call.
#[derive(Debug)]
pub struct OpenCall {
    /// Tenant of the caller.
    pub tenant: TenantId,
    /// What the caller asked for.
    pub spec: CallSpec,
    /// Identifies this submission, and every copy of it, to the nodes.
    pub submission: SubmissionId,
    /// The part of the answer already delivered to callers.
    pub delivery: Delivery,
    /// Requests of the callers that receive the answer.
    pub listeners: Vec<RequestId>,
}

/// Whether a request is waiting to be sent or awaiting a node's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// Not sent, or to be sent again.
    Waiting {
        /// Earliest time of the next attempt.
        retry_at: Timestamp,
    },
    /// Sent to a node that has not answered yet.
    Sent {
        /// The node.
        to: SocketAddr,
        /// Time at which it was sent or the node's last message about it was received.
        last_activity: Timestamp,
    },
}

/// One open request.
#[derive(Debug)]
pub struct OpenRequest {
    /// The run that it concerns.
    pub run: RunId,
    /// The requested operation.
    pub operation: Operation,
    /// The delivery state.
    pub state: RequestState,
    /// Whether a node to which it was sent may have accepted it without confirming that.
    pub possibly_accepted: bool,
    /// Unanswered copies; counted only for [`Operation::StartRun`].
    pub copies: UnansweredCopies,
    /// Number of consecutive failures.
    pub failures: u32,
    /// Time at which it is refused if no node can have accepted it.
    pub hand_over_deadline: Timestamp,
    /// Time by which an answer is due; the request is abandoned a grace period later.
    pub answer_deadline: Timestamp,
}

impl OpenRequest {
    /// Returns whether the node at `address` is to answer it.
    pub fn is_sent_to(&self, address: SocketAddr) -> bool {
        matches!(self.state, RequestState::Sent { to, .. } if to == address)
    }

    /// Returns whether no node can have accepted it.
    pub fn is_known_not_accepted(&self) -> bool {
        let is_waiting = matches!(self.state, RequestState::Waiting { .. });
        is_waiting && !self.possibly_accepted && self.copies.all_answered()
    }

    /// Queues it for sending again, although its node may have accepted it.
    pub fn requeue(&mut self, now: Timestamp) {
        self.abandon_copies();
        self.state = RequestState::Waiting { retry_at: now };
    }

    /// Stops counting on answers to the copies sent so far, any of which may have been accepted.
    pub fn abandon_copies(&mut self) {
        self.possibly_accepted = true;
        self.copies = UnansweredCopies::default();
    }

    /// Queues it for sending again because its node is silent. Copies of a run's start stay counted,
    /// since the node answers each of them.
    pub fn resend(&mut self, now: Timestamp) {
        match self.operation {
            Operation::StartRun(_) => self.state = RequestState::Waiting { retry_at: now },
            _ => self.requeue(now),
        }
    }

    /// Records that it was sent to the node at `to`.
    pub fn record_sent(&mut self, now: Timestamp, to: SocketAddr) {
        self.state = RequestState::Sent {
            to,
            last_activity: now,
        };
        if let Operation::StartRun(_) = self.operation {
            self.possibly_accepted |= self.copies.record_sent(to);
        }
    }

    /// Returns the message that submits it to a node. `abandoned_before` is the number of calls
    /// immediately preceding it that were abandoned.
    pub fn message(&self, key: RequestKey, abandoned_before: u32) -> SidecarMessage {
        let run = self.run;
        match &self.operation {
            Operation::Call(call) => SidecarMessage::SubmitCall {
                tenant: call.tenant.clone(),
                run,
                spec: call.spec.clone(),
                delivered: call.delivery.progress(),
                abandoned_before,
                submission: SubmissionTag {
                    id: call.submission,
                    resubmitted: self.possibly_accepted,
                },
            },
            Operation::StartRun(spec) => SidecarMessage::StartRun { spec: spec.clone() },
            Operation::ReadRun { tenant } => SidecarMessage::ReadRun {
                query: key.query(),
                tenant: tenant.clone(),
                run,
            },
            Operation::EndRun { tenant } => SidecarMessage::EndRun {
                tenant: tenant.clone(),
                run,
            },
        }
    }
}

/// Returns the spec without its deadline, which a repeated request may change.
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
