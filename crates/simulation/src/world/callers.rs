//! Callers: each works through the steps of one run and asks again until it has an answer.

mod requests;

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_sidecar_core::{CallerReply, RequestId};
use elderworks_types::{
    CallId, CallNumber, CallRequest, CallSpec, Message, Outcome, Refusal, RunSpec,
};

use super::World;
use super::event::{CallerEvent, Event};
use crate::fault::CallPoint;
use crate::kernel::Instant;
use crate::observation::{CallerOutcome, RunEnd, RunRead, RunStart};
use crate::scenario::Step;

/// Between a caller and the sidecar beside it.
pub(super) const LOCAL_DELAY: Duration = Duration::from_micros(100);

/// A caller that has no reply hangs up after this time and asks through another sidecar.
const PATIENCE: Duration = Duration::from_secs(40);

/// Wait before asking again where there is no better advice.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Refusals of one request after which a caller gives its run up.
const MAX_REFUSALS: u32 = 40;

/// Where a caller stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Starting,
    Running,
    Ending,
    Done,
}

/// What a caller asked a sidecar for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wanted {
    Start,
    Call(CallNumber),
    Read,
    End,
}

/// A request that a sidecar has not answered.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    /// Whose.
    pub caller: usize,
    wanted: Wanted,
    sidecar: usize,
    submitted: Instant,
    streamed: Option<String>,
}

/// One caller.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(super) spec: RunSpec,
    steps: Vec<Step>,
    position: usize,
    numbers_used: u32,
    /// What each ended call brought to the history, by the call's number.
    known: BTreeMap<CallNumber, Vec<Message>>,
    sidecar: usize,
    phase: Phase,
    open: BTreeMap<CallNumber, CallSpec>,
    refusals: u32,
    parent: Option<usize>,
}

impl Caller {
    /// A caller about to start its run.
    pub(super) fn new(
        spec: RunSpec,
        steps: Vec<Step>,
        sidecar: usize,
        parent: Option<usize>,
    ) -> Self {
        Self {
            spec,
            steps,
            position: 0,
            numbers_used: 0,
            known: BTreeMap::new(),
            sidecar,
            phase: Phase::Starting,
            open: BTreeMap::new(),
            refusals: 0,
            parent,
        }
    }

    pub(super) fn is_done(&self) -> bool {
        self.phase == Phase::Done
    }

    /// The history as far as this caller knows it.
    fn history(&self) -> Vec<Message> {
        self.known.values().flatten().cloned().collect()
    }

    fn next_number(&mut self) -> CallNumber {
        self.numbers_used += 1;
        CallNumber(self.numbers_used)
    }
}

impl World {
    /// Something happens to a caller.
    pub(super) fn on_caller(&mut self, caller: usize, event: CallerEvent) {
        match event {
            CallerEvent::Continue => self.continue_caller(caller),
            CallerEvent::Resubmit { number } => self.submit(caller, number),
            CallerEvent::RetryRequest => self.retry_request(caller),
            CallerEvent::OutOfPatience { request } => self.on_out_of_patience(request),
            CallerEvent::Reply { request, reply } => self.on_caller_reply(request, *reply),
            CallerEvent::Broken { request } => self.on_broken(request),
        }
    }

    fn wake_caller(&mut self, caller: usize, after: Duration, event: CallerEvent) {
        self.schedule(after, Event::Caller { caller, event });
    }

    /// Does the next thing that the caller's phase asks for.
    fn continue_caller(&mut self, index: usize) {
        match self.callers[index].phase {
            Phase::Starting => self.ask(index, Wanted::Start),
            Phase::Running if self.callers[index].open.is_empty() => self.take_step(index),
            Phase::Running | Phase::Done => {}
            Phase::Ending => self.end_or_wait(index),
        }
    }

    fn end_or_wait(&mut self, index: usize) {
        let mut children = self
            .callers
            .iter()
            .filter(|caller| caller.parent == Some(index));
        if children.any(|child| !child.is_done()) {
            self.wake_caller(index, RETRY_INTERVAL, CallerEvent::Continue);
        } else {
            self.ask(index, Wanted::End);
        }
    }

    fn take_step(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        let Some(step) = caller.steps.get(caller.position).copied() else {
            caller.phase = Phase::Ending;
            self.continue_caller(index);
            return;
        };
        if step != Step::Endless {
            caller.position += 1;
        }
        match step {
            Step::Model | Step::Endless => self.make_model_call(index),
            Step::Lookup => self.make_tool_call(index, "cadastre", true),
            Step::Submit { keyed: true } => self.make_tool_call(index, "registry", false),
            Step::Submit { keyed: false } => self.make_tool_call(index, "mailbox", false),
            Step::Crossed => self.make_crossed_calls(index),
            Step::Pause(duration) => self.wake_caller(index, duration, CallerEvent::Continue),
            Step::Spawn => self.spawn(index),
            Step::Read => self.ask(index, Wanted::Read),
        }
    }

    fn make_model_call(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        let number = caller.next_number();
        let text = format!(
            "question {number} of {} for {}",
            caller.spec.id, caller.spec.tenant
        );
        let request = super::setup::model_request(&caller.history(), text);
        let spec = super::setup::call_spec(number, CallRequest::Model(request), true);
        caller.open.insert(number, spec);
        self.submit(index, number);
    }

    fn make_tool_call(&mut self, index: usize, tool: &str, repeatable: bool) {
        let number = self.prepare_tool_call(index, tool, repeatable);
        self.submit(index, number);
    }

    fn prepare_tool_call(&mut self, index: usize, tool: &str, repeatable: bool) -> CallNumber {
        let caller = &mut self.callers[index];
        let number = caller.next_number();
        let request = super::setup::tool_request(caller.spec.id, number, tool);
        let mut spec = super::setup::call_spec(number, CallRequest::Tool(request), repeatable);
        if !repeatable {
            spec.idempotency_key = Some(format!("{}/{number}", caller.spec.id));
        }
        caller.open.insert(number, spec);
        number
    }

    /// Two calls at once; the later one leaves first, by another way.
    fn make_crossed_calls(&mut self, index: usize) {
        let earlier = self.prepare_tool_call(index, "cadastre", true);
        let later = self.prepare_tool_call(index, "cadastre", true);
        self.submit(index, later);
        self.change_sidecar(index);
        self.wake_caller(
            index,
            LOCAL_DELAY,
            CallerEvent::Resubmit { number: earlier },
        );
    }

    fn spawn(&mut self, parent: usize) {
        let child = self.draw_child(parent);
        self.callers.push(child);
        let index = self.callers.len() - 1;
        self.wake_caller(index, LOCAL_DELAY, CallerEvent::Continue);
        self.wake_caller(parent, LOCAL_DELAY, CallerEvent::Continue);
    }

    fn change_sidecar(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        caller.sidecar = (caller.sidecar + 1) % self.sidecars.len();
    }

    /// Hands a call over, for the first time or again.
    fn submit(&mut self, index: usize, number: CallNumber) {
        if self.callers[index].phase == Phase::Running
            && self.callers[index].open.contains_key(&number)
        {
            self.ask(index, Wanted::Call(number));
        }
    }

    fn retry_request(&mut self, index: usize) {
        match self.callers[index].phase {
            Phase::Running if self.callers[index].open.is_empty() => self.ask(index, Wanted::Read),
            _ => self.continue_caller(index),
        }
    }

    fn on_caller_reply(&mut self, request: RequestId, reply: CallerReply) {
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
        match (pending.wanted, reply) {
            (Wanted::Start, CallerReply::RunStarted { .. }) => {
                self.on_run_started(index, pending.submitted, Ok(()));
            }
            (Wanted::Start, CallerReply::RunRefused { refusal }) => {
                self.on_run_started(index, pending.submitted, Err(refusal));
            }
            (Wanted::Call(number), CallerReply::CallEnded { outcome, .. }) => {
                self.on_call_ended(index, number, &pending, outcome);
            }
            (Wanted::Read, CallerReply::RunView { view }) => self.on_run_view(index, view),
            (Wanted::End, CallerReply::RunEnded { phase }) => {
                self.observations.run_ends.push(RunEnd {
                    at: self.now,
                    run: self.callers[index].spec.id,
                    phase,
                });
                self.finish_caller(index);
            }
            (wanted, _) => self.ask_again(index, wanted, RETRY_INTERVAL),
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
            Err(refusal) => self.on_refused(index, Wanted::Start, &refusal),
        }
    }

    fn on_refused(&mut self, index: usize, wanted: Wanted, refusal: &Refusal) {
        self.callers[index].refusals += 1;
        match refusal.retry_after {
            Some(after) if self.callers[index].refusals < MAX_REFUSALS => {
                self.ask_again(index, wanted, after.max(RETRY_INTERVAL));
            }
            _ if wanted == Wanted::Start => self.finish_caller(index),
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
        self.reach_sidecar(CallPoint::Delivered, pending.sidecar);
        if !self.callers[index].open.contains_key(&number) {
            return;
        }
        if let Outcome::Refused(refusal) = &outcome {
            self.on_refused(index, Wanted::Call(number), refusal);
            return;
        }
        self.callers[index].refusals = 0;
        self.remember(index, number, &outcome);
        self.continue_caller(index);
    }

    fn remember(&mut self, index: usize, number: CallNumber, outcome: &Outcome) {
        let caller = &mut self.callers[index];
        let Some(spec) = caller.open.remove(&number) else {
            return;
        };
        let mut messages = match &spec.request {
            CallRequest::Model(request) => request.messages.clone(),
            CallRequest::Tool(_) => Vec::new(),
        };
        if let Outcome::Completed(answer) = outcome {
            let message = super::setup::answer_message(&spec.request, &answer.content);
            messages.push(message);
        }
        caller.known.insert(number, messages);
    }

    fn on_run_view(
        &mut self,
        index: usize,
        view: Option<Box<elderworks_protocol::sidecar::RunView>>,
    ) {
        let caller = &self.callers[index];
        self.observations.run_reads.push(RunRead {
            at: self.now,
            run: caller.spec.id,
            known: caller.history(),
            view,
        });
        self.continue_caller(index);
    }

    fn finish_caller(&mut self, index: usize) {
        self.callers[index].phase = Phase::Done;
        self.trace
            .line(self.now, format_args!("caller {index}: done"));
    }

    /// Notes callers that the simulation's end found still waiting.
    pub(super) fn note_unfinished(&mut self) {
        for caller in self.callers.iter().filter(|caller| !caller.is_done()) {
            let waiting = format!("{:?}, open calls {:?}", caller.phase, caller.open.keys());
            self.observations.unfinished.push((caller.spec.id, waiting));
        }
    }
}

/// An outcome without its answer.
pub(super) fn summary(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Completed(answer) => format!("completed, {} bytes", answer.content.len()),
        Outcome::Refused(refusal) => format!("{refusal:?}"),
        Outcome::Failed(failure) => format!("{failure:?}"),
        Outcome::Unknown(reason) => format!("unknown: {reason:?}"),
    }
}
