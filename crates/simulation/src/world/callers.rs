//! Callers: each works through the steps of one run and asks again until it has an answer.

mod replies;
mod requests;
mod steps;

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::{CallNumber, CallSpec, Message, Outcome, RunSpec};

use super::World;
use super::event::{CallerEvent, Event};
use crate::kernel::Instant;
use crate::scenario::Step;

/// Between a caller and the sidecar beside it.
pub(super) const LOCAL_DELAY: Duration = Duration::from_micros(100);

/// A caller that has no reply hangs up after this time and asks through another sidecar.
const REPLY_TIMEOUT: Duration = Duration::from_secs(40);

/// Wait before asking again where there is no better advice.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

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
enum RequestKind {
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
    kind: RequestKind,
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
            CallerEvent::ReplyTimeout { request } => self.on_reply_timeout(request),
            CallerEvent::Reply { request, reply } => self.on_caller_reply(request, *reply),
            CallerEvent::Disconnected { request } => self.on_disconnected(request),
        }
    }

    fn schedule_caller(&mut self, caller: usize, after: Duration, event: CallerEvent) {
        self.schedule(after, Event::Caller { caller, event });
    }

    fn change_sidecar(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        caller.sidecar = (caller.sidecar + 1) % self.sidecars.len();
    }

    fn finish_caller(&mut self, index: usize) {
        self.callers[index].phase = Phase::Done;
        self.trace
            .line(self.now, format_args!("caller {index}: done"));
    }

    /// Notes callers that the simulation's end found still waiting.
    pub(super) fn record_unfinished(&mut self) {
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
