//! Refusal of requests that could only be served once the log answers again.

use std::collections::VecDeque;

use elderworks_execution as execution;
use elderworks_protocol::sidecar::{NodeMessage, SidecarMessage, answer_digest};
use elderworks_types::{CallId, Outcome, PartitionId, Refusal, RefusalReason};

use crate::core::NodeCore;
use crate::event::Connection;
use crate::sidecars::HeldRequest;

impl NodeCore {
    /// Returns whether an owned partition can serve requests: its state covers the stream, and the log is
    /// not suspected to be down.
    pub(crate) fn is_up_to_date(&self, partition: PartitionId) -> bool {
        let stream = self.streams.partitions.get(&partition);
        let is_suspected = stream.is_some_and(|stream| stream.is_outage_suspected());
        !is_suspected && !self.is_behind(partition)
    }

    /// Returns whether a request has to be refused because it would be held until the log answers again.
    /// Only submissions and starts can be refused.
    pub(crate) fn is_refused_during_outage(
        &self,
        partition: PartitionId,
        message: &SidecarMessage,
    ) -> bool {
        let is_refusable = matches!(
            message,
            SidecarMessage::StartRun { .. } | SidecarMessage::SubmitCall { .. }
        );
        let would_be_held = match self.ownership.owns(partition) {
            true => !self.is_up_to_date(partition),
            false => self.should_hold(partition),
        };
        is_refusable && would_be_held && !self.streams.is_log_reachable(partition)
    }

    /// Answers a request for which [`Self::is_refused_during_outage`] holds. An owned partition refuses new
    /// work itself and answers what it knows. The refusal covers this submission only: if the sidecar has
    /// sent it to another node as well, it doesn't take this answer as final.
    pub(crate) fn refuse_during_outage(
        &mut self,
        partition: PartitionId,
        connection: Connection,
        message: SidecarMessage,
    ) {
        self.counters.refused_during_outage += 1;
        if self.ownership.owns(partition) {
            return self.serve(partition, connection, message);
        }
        let refusal = Refusal {
            reason: RefusalReason::LogUnavailable,
            retry_after: Some(execution::LOG_RETRY_AFTER),
        };
        let answer = match message {
            SidecarMessage::StartRun { spec } => NodeMessage::RunRefused {
                run: spec.id,
                refusal,
            },
            SidecarMessage::SubmitCall { run, spec, .. } => NodeMessage::CallEnded {
                call: CallId {
                    run,
                    number: spec.number,
                },
                attempt: None,
                chunks: 0,
                digest: answer_digest(""),
                outcome: Outcome::Refused(refusal),
                barred: None,
            },
            _ => return,
        };
        self.send(connection, answer);
    }

    /// Refuses the held requests that cannot be served until the log answers again.
    pub(crate) fn refuse_held_during_outage(&mut self) {
        let held = std::mem::take(&mut self.requests.held);
        let (refused, held): (VecDeque<HeldRequest>, VecDeque<HeldRequest>) = held
            .into_iter()
            .partition(|held| self.is_refused_during_outage(held.partition, &held.message));
        self.requests.held = held;
        for request in refused {
            self.refuse_during_outage(request.partition, request.connection, request.message);
        }
    }
}
