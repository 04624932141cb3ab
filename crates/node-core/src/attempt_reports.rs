//! Results of attempts, reported by placement and by back ends.

use elderworks_execution as execution;
use elderworks_execution::event::AttemptFailure;
use elderworks_placement::event::FinishedResult;
use elderworks_placement::{self as placement, Ticket};
use elderworks_protocol::journal::JournalBody;
use elderworks_types::{EngineId, PartitionId, Refusal, Usage};

use crate::core::NodeCore;
use crate::dispatch::AttemptState;
use crate::effect::{Effect, Generate};

impl NodeCore {
    /// Sends an attempt to the engine that placement chose.
    pub(crate) fn attempt_placed(
        &mut self,
        ticket: Ticket,
        engine: EngineId,
        engine_priority: i64,
        note: String,
    ) {
        let url = self.engines.url(&engine).map(str::to_owned);
        let Some(record) = self.attempts.open.get_mut(&ticket) else {
            self.agenda
                .placement(placement::Event::Cancelled { ticket });
            return;
        };
        let partition = record.partition;
        let placed = AttemptState::AtEngine {
            engine: engine.clone(),
            first_chunk_seen: false,
        };
        let AttemptState::Waiting(attempt) = std::mem::replace(&mut record.state, placed) else {
            return;
        };
        self.agenda.partition(
            partition,
            execution::Event::AttemptPlaced {
                call: ticket.call,
                attempt: ticket.attempt,
                engine: Some(engine.clone()),
                note,
            },
        );
        let Some(url) = url else {
            self.attempt_failed(ticket, AttemptFailure::NotSent);
            return;
        };
        self.agenda.effect(Effect::Generate(Box::new(Generate {
            ticket,
            engine,
            url,
            model: attempt.model,
            messages: attempt.messages,
            continue_text: attempt.continue_text,
            first_chunk: attempt.continue_chunks,
            max_output: attempt.max_output,
            engine_priority,
            timeout: attempt.timeout,
        })));
    }

    /// Reports a refusal by placement to execution.
    pub(crate) fn placement_refused(&mut self, ticket: Ticket, refusal: Refusal) {
        let Some(record) = self.attempts.open.remove(&ticket) else {
            return;
        };
        self.attempt_refused(record.partition, ticket, refusal);
    }

    /// Reports a refused attempt to its partition.
    pub(crate) fn attempt_refused(
        &mut self,
        partition: PartitionId,
        ticket: Ticket,
        refusal: Refusal,
    ) {
        self.agenda.partition(
            partition,
            execution::Event::AttemptRefused {
                call: ticket.call,
                attempt: ticket.attempt,
                refusal,
            },
        );
    }

    /// Handles a chunk of an answer.
    pub(crate) fn attempt_chunk(&mut self, ticket: Ticket, index: u32, text: String) {
        let Some(record) = self.attempts.open.get_mut(&ticket) else {
            self.counters.stale_attempt_events += 1;
            return;
        };
        let partition = record.partition;
        if let AttemptState::AtEngine {
            first_chunk_seen, ..
        } = &mut record.state
            && !*first_chunk_seen
        {
            *first_chunk_seen = true;
            self.agenda
                .placement(placement::Event::FirstToken { ticket });
        }
        self.agenda.partition(
            partition,
            execution::Event::AttemptChunk {
                call: ticket.call,
                attempt: ticket.attempt,
                index,
                text,
            },
        );
    }

    /// Handles the complete answer of an attempt.
    pub(crate) fn attempt_completed(&mut self, ticket: Ticket, content: String, usage: Usage) {
        let Some(record) = self.attempts.open.remove(&ticket) else {
            self.counters.stale_attempt_events += 1;
            return;
        };
        self.counters.attempts_completed += 1;
        if let AttemptState::AtEngine { .. } = record.state {
            let result = FinishedResult::Completed {
                cached: usage.cached,
                output: usage.output,
            };
            self.agenda
                .placement(placement::Event::Finished { ticket, result });
        }
        self.agenda.partition(
            record.partition,
            execution::Event::AttemptCompleted {
                call: ticket.call,
                attempt: ticket.attempt,
                content,
                usage,
            },
        );
    }

    /// Handles the failure of an attempt at its back end.
    pub(crate) fn attempt_failed(&mut self, ticket: Ticket, failure: AttemptFailure) {
        let Some(record) = self.attempts.open.remove(&ticket) else {
            self.counters.stale_attempt_events += 1;
            return;
        };
        if let AttemptState::AtEngine { .. } = record.state {
            let result = finished_result(&failure);
            self.agenda
                .placement(placement::Event::Finished { ticket, result });
        }
        self.fail_attempt(record.partition, ticket, failure);
    }

    /// Reports a failed attempt to its partition.
    pub(crate) fn fail_attempt(
        &mut self,
        partition: PartitionId,
        ticket: Ticket,
        failure: AttemptFailure,
    ) {
        self.counters.attempts_failed += 1;
        self.agenda.partition(
            partition,
            execution::Event::AttemptFailed {
                call: ticket.call,
                attempt: ticket.attempt,
                failure,
            },
        );
    }

    /// Notifies placement if `body` ends a run of a partition that this node owns.
    pub(crate) fn report_run_end(&mut self, partition: PartitionId, body: &JournalBody) {
        if let JournalBody::RunEnded { run, .. } = body
            && self.ownership.owns(partition)
        {
            self.agenda
                .placement(placement::Event::RunEnded { run: *run });
        }
    }
}

fn finished_result(failure: &AttemptFailure) -> FinishedResult {
    match failure {
        AttemptFailure::Rejected { .. } => FinishedResult::Rejected,
        AttemptFailure::NotSent | AttemptFailure::Lost { .. } => FinishedResult::Lost,
        AttemptFailure::Errored { .. } => FinishedResult::Errored,
    }
}
