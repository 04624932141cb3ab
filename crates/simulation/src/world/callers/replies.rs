//! Handling of a sidecar's replies by callers.

use elderworks_protocol::sidecar::RunView;
use elderworks_sidecar_core::{CallerReply, RequestId};
use elderworks_types::{CallId, CallNumber, CallRequest, Outcome, Refusal};

use super::{CallerRequest, Phase, RETRY_INTERVAL, RequestKind, summary};
use crate::fault::CallPoint;
use crate::kernel::Instant;
use crate::observation::{CallerOutcome, RunEnd, RunRead, RunStart};
use crate::world::World;
use crate::world::setup;

/// Number of consecutive refusals after which a caller gives up its run.
const MAX_REFUSALS: u32 = 40;

impl World {
    pub(super) fn on_caller_reply(&mut self, request: RequestId, reply: CallerReply) {
        if let CallerReply::Chunk { text } = reply {
            if let Some(pending) = self.caller_requests.get_mut(&request) {
                pending.streamed.get_or_insert_default().push_str(&text);
            }
            return;
        }
        let Some(pending) = self.caller_requests.remove(&request) else {
            return;
        };
        let index = pending.caller;
        match (pending.kind, reply) {
            (RequestKind::Start, CallerReply::RunStarted { .. }) => {
                self.on_run_started(index, pending.submitted, Ok(()));
            }
            (RequestKind::Start, CallerReply::RunRefused { refusal }) => {
                self.on_run_started(index, pending.submitted, Err(refusal));
            }
            (RequestKind::Call(number), CallerReply::CallEnded { outcome, .. }) => {
                self.on_call_ended(index, number, &pending, outcome);
            }
            (RequestKind::Read, CallerReply::RunView { view }) => self.on_run_view(index, view),
            (RequestKind::End, CallerReply::RunEnded { phase }) => {
                self.observations.run_ends.push(RunEnd {
                    at: self.now,
                    run: self.callers[index].spec.id,
                    phase,
                });
                self.finish_caller(index);
            }
            (kind, _) => self.retry_later(index, kind, RETRY_INTERVAL),
        }
    }

    fn on_run_started(&mut self, index: usize, submitted: Instant, result: Result<(), Refusal>) {
        if self.callers[index].phase != Phase::Starting {
            return;
        }
        self.observations.run_starts.push(RunStart {
            at: self.now,
            submitted,
            spec: self.callers[index].spec.clone(),
            result: result.clone(),
        });
        match result {
            Ok(()) => {
                self.callers[index].phase = Phase::Running;
                self.callers[index].refusals = 0;
                self.continue_caller(index);
            }
            Err(refusal) => self.on_refused(index, RequestKind::Start, &refusal),
        }
    }

    fn on_refused(&mut self, index: usize, kind: RequestKind, refusal: &Refusal) {
        self.callers[index].refusals += 1;
        match refusal.retry_after {
            Some(after) if self.callers[index].refusals < MAX_REFUSALS => {
                self.retry_later(index, kind, after.max(RETRY_INTERVAL));
            }
            _ if kind == RequestKind::Start => self.finish_caller(index),
            _ => {
                self.callers[index].open.clear();
                self.callers[index].phase = Phase::Ending;
                self.continue_caller(index);
            }
        }
    }

    fn on_call_ended(
        &mut self,
        index: usize,
        number: CallNumber,
        pending: &CallerRequest,
        outcome: Outcome,
    ) {
        let run = self.callers[index].spec.id;
        let call = CallId { run, number };
        self.trace.line(
            self.now,
            format_args!("caller {index}: {call} ends {}", summary(&outcome)),
        );
        self.observations.outcomes.push(CallerOutcome {
            at: self.now,
            submitted: pending.submitted,
            call,
            streamed: pending.streamed.clone(),
            outcome: outcome.clone(),
        });
        self.sidecar_reached(CallPoint::Delivered, pending.sidecar);
        if !self.callers[index].open.contains_key(&number) {
            return;
        }
        if let Outcome::Refused(refusal) = &outcome {
            self.on_refused(index, RequestKind::Call(number), refusal);
            return;
        }
        self.callers[index].refusals = 0;
        self.record_outcome(index, number, &outcome);
        self.continue_caller(index);
    }

    /// Closes a call and adds its messages to the known history.
    fn record_outcome(&mut self, index: usize, number: CallNumber, outcome: &Outcome) {
        let caller = &mut self.callers[index];
        let Some(spec) = caller.open.remove(&number) else {
            return;
        };
        let mut messages = match &spec.request {
            CallRequest::Model(request) => request.messages.clone(),
            CallRequest::Tool(_) => Vec::new(),
        };
        if let Outcome::Completed(answer) = outcome {
            let message = setup::answer_message(&spec.request, &answer.content);
            messages.push(message);
        }
        caller.known.insert(number, messages);
    }

    fn on_run_view(&mut self, index: usize, view: Option<Box<RunView>>) {
        let caller = &self.callers[index];
        self.observations.run_reads.push(RunRead {
            at: self.now,
            run: caller.spec.id,
            known: caller.history(),
            view,
        });
        self.continue_caller(index);
    }
}
