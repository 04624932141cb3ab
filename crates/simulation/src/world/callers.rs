//! Callers: each executes the steps of one run and retries its requests until they are answered.

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

/// Delay between a caller and its local sidecar.
pub(super) const LOCAL_DELAY: Duration = Duration::from_micros(100);

/// Time without a reply after which a caller cancels a request and retries through another sidecar.
const REPLY_TIMEOUT: Duration = Duration::from_secs(40);

/// Minimum delay before a refused or failed request is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// State of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Starting,
    Running,
    Ending,
    Done,
}

/// Kind of a caller's request to a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    Start,
    Call(CallNumber),
    Read,
    End,
}

/// A caller's unanswered request.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    /// Index of the caller.
    pub caller: usize,
    kind: RequestKind,
    sidecar: usize,
    submitted: Instant,
    streamed: Option<String>,
}

/// Simulated caller, which executes one run.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(super) spec: RunSpec,
    steps: Vec<Step>,
    position: usize,
    numbers_used: u32,
    /// Messages that each completed call added to the history.
    known: BTreeMap<CallNumber, Vec<Message>>,
    sidecar: usize,
    phase: Phase,
    open: BTreeMap<CallNumber, CallSpec>,
    refusals: u32,
    parent: Option<usize>,
}

impl Caller {
    /// Creates a caller that has not started its run yet.
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

    /// Returns the part of the history that is known to this caller.
    fn history(&self) -> Vec<Message> {
        self.known.values().flatten().cloned().collect()
    }

    fn next_number(&mut self) -> CallNumber {
        self.numbers_used += 1;
        CallNumber(self.numbers_used)
    }
}

impl World {
    /// Handles a caller's event.
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

    /// Records the callers that are not done at the end of the simulation.
    pub(super) fn record_unfinished(&mut self) {
        for caller in self.callers.iter().filter(|caller| !caller.is_done()) {
            let waiting = format!("{:?}, open calls {:?}", caller.phase, caller.open.keys());
            self.observations.unfinished.push((caller.spec.id, waiting));
        }
    }
}

/// Returns a short description of an outcome, without the text of its answer.
pub(super) fn summary(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Completed(answer) => format!("completed, {} bytes", answer.content.len()),
        Outcome::Refused(refusal) => format!("{refusal:?}"),
        Outcome::Failed(failure) => format!("{failure:?}"),
        Outcome::Unknown(reason) => format!("unknown: {reason:?}"),
    }
}
