//! Queue of submitted calls that are not yet accepted.

use std::collections::BTreeMap;

use elderworks_types::{CallId, CallNumber, RunId};

use super::Submission;
use crate::event::Connection;

/// Waiting calls of all runs, ordered by run and number.
#[derive(Debug, Default)]
pub(crate) struct CallQueue {
    calls: BTreeMap<CallId, Submission>,
}

impl CallQueue {
    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    pub fn insert(&mut self, call: CallId, submission: Submission) {
        self.calls.insert(call, submission);
    }

    pub fn get(&self, call: CallId) -> Option<&Submission> {
        self.calls.get(&call)
    }

    pub fn get_mut(&mut self, call: CallId) -> Option<&mut Submission> {
        self.calls.get_mut(&call)
    }

    pub fn remove(&mut self, call: CallId) -> Option<Submission> {
        self.calls.remove(&call)
    }

    /// Returns the waiting calls of one run in ascending order of their numbers.
    pub fn of_run(&self, run: RunId) -> impl Iterator<Item = (CallId, &Submission)> {
        let first = CallId {
            run,
            number: CallNumber(0),
        };
        let last = CallId {
            run,
            number: CallNumber(u32::MAX),
        };
        let range = self.calls.range(first..=last);
        range.map(|(call, submission)| (*call, submission))
    }

    /// Returns the call of a run that may be accepted next, where `next` is the first unused
    /// number: the call with that number, or the first later one if all numbers between were
    /// abandoned.
    pub fn next_call(&self, run: RunId, next: CallNumber) -> Option<CallId> {
        let (call, submission) = self.of_run(run).find(|(call, _)| call.number >= next)?;
        let missing = call.number.0 - next.0;
        (missing <= submission.abandoned_before).then_some(call)
    }

    /// Removes and returns all calls of one run.
    pub fn take_run(&mut self, run: RunId) -> Vec<(CallId, Submission)> {
        let calls: Vec<CallId> = self.of_run(run).map(|(call, _)| call).collect();
        calls
            .into_iter()
            .filter_map(|call| Some((call, self.calls.remove(&call)?)))
            .collect()
    }

    pub fn take_all(&mut self) -> BTreeMap<CallId, Submission> {
        std::mem::take(&mut self.calls)
    }

    /// Removes a connection, and the calls for which no other connection waits.
    pub fn detach(&mut self, connection: Connection) {
        for submission in self.calls.values_mut() {
            submission.callers.detach(connection);
        }
        self.calls
            .retain(|_, submission| !submission.callers.is_empty());
    }

    /// Returns the runs with a call that waits for its tenant's allotment.
    pub fn runs_awaiting_allotment(&self) -> Vec<RunId> {
        let short = self
            .calls
            .iter()
            .filter(|(_, submission)| submission.awaiting_allotment_since.is_some());
        let mut runs: Vec<RunId> = short.map(|(call, _)| call.run).collect();
        runs.dedup();
        runs
    }
}
