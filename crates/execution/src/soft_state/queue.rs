//! Calls that arrived and were not accepted yet.

use std::collections::BTreeMap;

use elderworks_types::{CallId, CallNumber, RunId};

use super::Submission;
use crate::event::Connection;

/// Waiting calls of all runs, by run and number.
#[derive(Debug, Default)]
pub(crate) struct CallQueue {
    calls: BTreeMap<CallId, Submission>,
}

impl CallQueue {
    /// How many calls wait.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Adds a call.
    pub fn insert(&mut self, call: CallId, submission: Submission) {
        self.calls.insert(call, submission);
    }

    /// A waiting call.
    pub fn get(&self, call: CallId) -> Option<&Submission> {
        self.calls.get(&call)
    }

    /// A waiting call.
    pub fn get_mut(&mut self, call: CallId) -> Option<&mut Submission> {
        self.calls.get_mut(&call)
    }

    /// Takes a call out.
    pub fn remove(&mut self, call: CallId) -> Option<Submission> {
        self.calls.remove(&call)
    }

    /// The waiting calls of one run in order.
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

    /// The call of a run whose turn it is when `next` is the first number not used: that number, or
    /// one before which all unused numbers are abandoned.
    pub fn next_call(&self, run: RunId, next: CallNumber) -> Option<CallId> {
        let (call, submission) = self.of_run(run).find(|(call, _)| call.number >= next)?;
        let missing = call.number.0 - next.0;
        (missing <= submission.abandoned_before).then_some(call)
    }

    /// Takes all calls of one run out.
    pub fn take_run(&mut self, run: RunId) -> Vec<(CallId, Submission)> {
        let calls: Vec<CallId> = self.of_run(run).map(|(call, _)| call).collect();
        calls
            .into_iter()
            .filter_map(|call| Some((call, self.calls.remove(&call)?)))
            .collect()
    }

    /// Takes all calls out.
    pub fn take_all(&mut self) -> BTreeMap<CallId, Submission> {
        std::mem::take(&mut self.calls)
    }

    /// Removes a connection; calls for which nobody waits any more go with it.
    pub fn detach(&mut self, connection: Connection) {
        for submission in self.calls.values_mut() {
            submission.callers.detach(connection);
        }
        self.calls
            .retain(|_, submission| !submission.callers.is_empty());
    }

    /// Runs of which a call waits for its tenant's allotment.
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
