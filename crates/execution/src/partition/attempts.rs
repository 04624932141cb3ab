//! Attempts: sending calls to back ends and receiving their answers.

use elderworks_protocol::journal::JournalBody;
use elderworks_protocol::sidecar::{Chunk, NodeMessage};
use elderworks_types::{
    Answer, Attempt, CallId, CallRequest, Credits, EngineId, Message, Outcome, RefusalReason,
    Timestamp, Usage,
};

use super::Partition;
use super::intake::refusal;
use crate::effect::DispatchHints;
use crate::soft_state::{AnswerBuffer, AttemptOrigin, ChunkOrder, RunningAttempt, Stage};
use crate::state::{CallState, attempt_cost};
use crate::{BackendRequest, Effect};

impl Partition {
    /// Starts the attempt that the journal permits.
    pub(super) fn start_attempt(&mut self, now: Timestamp, id: CallId) {
        if self.is_ending(id.run) {
            return self.cancel_open_call(now, id.run);
        }
        let Some(call) = self.journal.open_call(id) else {
            return;
        };
        let attempt = call.permitted;
        let repeatable = call.spec.repeatable;
        // The previous owner journalled the start of this attempt but did not send it.
        let already_started = call
            .last_attempt()
            .is_some_and(|started| started.attempt == attempt);
        let late = call.spec.deadline.is_some_and(|deadline| deadline < now);
        let answer = AnswerBuffer::continuing(call.continue_text.clone(), call.continue_chunks);
        let Some(open) = self.soft.open(id.run, id.number) else {
            return;
        };
        if late && !open.may_have_run {
            let refusal = refusal(RefusalReason::DeadlinePassed, None);
            return self.end_call(now, id, Outcome::Refused(refusal));
        }
        if open.answer.next_index() < answer.next_index() {
            open.answer = answer;
        }
        if repeatable || already_started {
            return self.dispatch(now, id, attempt);
        }
        open.stage = Stage::Intent {
            attempt,
            since: now,
        };
        self.append(JournalBody::AttemptStarted {
            call: id,
            attempt,
            engine: None,
        });
    }

    /// Handles the read-back of an attempt's start. An attempt of a call that must not be repeated
    /// is sent only now.
    pub(super) fn on_attempt_started(&mut self, now: Timestamp, id: CallId, attempt: Attempt) {
        let stage = self
            .soft
            .open(id.run, id.number)
            .map(|open| open.stage.clone());
        let Some(Stage::Intent {
            attempt: intended,
            since,
        }) = stage
        else {
            return;
        };
        if intended != attempt {
            return;
        }
        if self.is_read_back_too_late(now, since) {
            return self.withdraw(now, id);
        }
        if self.is_ending(id.run) {
            return self.cancel_open_call(now, id.run);
        }
        self.dispatch(now, id, attempt);
    }

    pub(super) fn dispatch(&mut self, now: Timestamp, id: CallId, attempt: Attempt) {
        let Some((request, hints)) = self.backend_request(id) else {
            return;
        };
        let is_tool = matches!(request, BackendRequest::Tool { .. });
        let limit = hints.timeout + self.settings.timeout_grace;
        let Some(open) = self.soft.open(id.run, id.number) else {
            return;
        };
        open.stage = Stage::Running(RunningAttempt {
            attempt,
            origin: AttemptOrigin::Dispatched,
            sent: is_tool.then_some(now),
        });
        if is_tool {
            self.soft.notes.add_attempt(id, attempt, None, now);
            self.wake_at(now + limit, id.run);
        }
        self.count_attempt(now, attempt);
        self.emit(Effect::Dispatch {
            call: id,
            attempt,
            request,
            hints,
        });
    }

    fn count_attempt(&mut self, now: Timestamp, attempt: Attempt) {
        if attempt == Attempt(1) {
            self.counters.first_attempts += 1;
            self.soft.retry.earn(now);
        } else {
            self.counters.retries += 1;
        }
    }

    fn backend_request(&self, id: CallId) -> Option<(BackendRequest, DispatchHints)> {
        let run = self.journal.runs.get(&id.run)?;
        let call = self.journal.open_call(id)?;
        let hints = DispatchHints {
            tenant: run.spec.tenant.clone(),
            program: run.spec.program.clone(),
            run_started: run.started,
            attained: run.attained,
            turns: run.calls.len() as u32,
            run_deadline: run.spec.deadline,
            call_deadline: call.spec.deadline,
            priority: run.limits.priority,
            parent: run.spec.parent,
            timeout: call.terms.timeout,
        };
        let request = match &call.spec.request {
            CallRequest::Model(model) => BackendRequest::Model {
                model: model.model.clone(),
                messages: self.prompt_of(id)?,
                continue_text: call.continue_text.clone(),
                continue_chunks: call.continue_chunks,
                max_output: model.max_output,
            },
            CallRequest::Tool(tool) => BackendRequest::Tool {
                tool: tool.tool.clone(),
                arguments: tool.arguments.clone(),
                idempotency_key: idempotency_key(id, call),
            },
        };
        Some((request, hints))
    }

    /// Returns the prompt of an open model call: the history of its run, which ends with the call's
    /// own messages.
    pub(super) fn prompt_of(&self, id: CallId) -> Option<Vec<Message>> {
        #[cfg(feature = "broken")]
        if let Some(wrong) = self.wrong_prompt(id) {
            return Some(wrong);
        }
        Some(self.journal.runs.get(&id.run)?.history())
    }

    pub(super) fn on_attempt_placed(
        &mut self,
        now: Timestamp,
        id: CallId,
        attempt: Attempt,
        engine: Option<EngineId>,
        note: String,
    ) {
        self.restore_withdrawn(id, attempt);
        let timeout = self.journal.open_call(id).map(|call| call.terms.timeout);
        let running = self.running(id, attempt);
        let (Some(timeout), Some(running)) = (timeout, running) else {
            return self.refuse_placement(id, attempt, engine);
        };
        let first = running.sent.is_none();
        running.sent = Some(now);
        let Some(engine) = engine else {
            return;
        };
        if !first {
            return;
        }
        self.soft
            .notes
            .add_attempt(id, attempt, Some(engine.clone()), now);
        self.soft.notes.add_line(id, note);
        self.wake_at(now + timeout + self.settings.timeout_grace, id.run);
        self.append(JournalBody::AttemptStarted {
            call: id,
            attempt,
            engine: Some(engine),
        });
    }

    /// Cancels a placed attempt that is no longer needed, and releases the engine memory if the run
    /// has ended.
    fn refuse_placement(&mut self, call: CallId, attempt: Attempt, engine: Option<EngineId>) {
        if self.settings.faults.dispatch_before_turn() {
            return;
        }
        self.emit(Effect::Cancel { call, attempt });
        let run = call.run;
        if self.owned.is_some()
            && !self.is_run_active(run)
            && let Some(engine) = engine
        {
            self.emit(Effect::ReleaseMemory { run, engine });
        }
    }

    /// Returns the attempt if it is the running one.
    pub(super) fn running(&mut self, id: CallId, attempt: Attempt) -> Option<&mut RunningAttempt> {
        let open = self.soft.open(id.run, id.number)?;
        match &mut open.stage {
            Stage::Running(running) if running.attempt == attempt => Some(running),
            _ => None,
        }
    }

    pub(super) fn on_attempt_chunk(
        &mut self,
        now: Timestamp,
        id: CallId,
        attempt: Attempt,
        index: u32,
        text: &str,
    ) {
        if self.running(id, attempt).is_none() {
            return;
        }
        let Some(open) = self.soft.open(id.run, id.number) else {
            return;
        };
        let order = open.answer.take(attempt, index, text);
        match order {
            ChunkOrder::Repeated => return,
            ChunkOrder::Gap => {
                self.counters.chunk_gaps += 1;
                return;
            }
            ChunkOrder::Next => {}
        }
        let due = open.callers.take_due(index);
        self.soft.notes.record_chunk(id, attempt, now);
        for connection in due {
            let chunk = Chunk {
                call: id,
                attempt,
                index,
                text: text.to_owned(),
            };
            self.send(connection, NodeMessage::Chunk(chunk));
        }
    }

    pub(super) fn on_attempt_completed(
        &mut self,
        now: Timestamp,
        id: CallId,
        attempt: Attempt,
        content: String,
        usage: Usage,
    ) {
        if self.running(id, attempt).is_none() {
            return;
        }
        let Some(call) = self.journal.open_call(id) else {
            return;
        };
        let cost = self.cost_so_far(call, &usage);
        let full_text = format!("{}{content}", call.continue_text);
        let Some(open) = self.soft.open(id.run, id.number) else {
            return;
        };
        let streamed = open.answer.text();
        let content = if self.settings.faults.omit_continued_text() {
            content
        } else if streamed.len() > full_text.len() {
            streamed
        } else {
            full_text
        };
        let answer = Answer {
            content,
            usage,
            cost,
        };
        self.end_call(now, id, Outcome::Completed(answer));
    }

    /// Returns the cost of a call whose current attempt consumed `usage`, limited to the credits
    /// set aside.
    pub(super) fn cost_so_far(&self, call: &CallState, usage: &Usage) -> Credits {
        let cost = attempt_cost(&call.terms, &call.spec.request, usage);
        if self.settings.faults.no_reservation() {
            return call.spent + cost;
        }
        call.spent + cost.min(call.reserved)
    }
}

/// Returns the key by which a tool detects a repeated invocation: the caller's key, or the id of
/// the call.
pub(super) fn idempotency_key(id: CallId, call: &CallState) -> String {
    let explicit_key = call.spec.idempotency_key.clone();
    explicit_key.unwrap_or_else(|| id.to_string())
}
