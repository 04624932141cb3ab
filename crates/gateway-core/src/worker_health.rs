//! Whether a worker is to be given requests, from how its answers have been: a circuit breaker.
//!
//! Failures that outweigh the successes *eject* a worker for a pause that doubles each time. After
//! the pause it is on *probation*: it gets one request at a time, and only requests that may be
//! repeated, until one succeeds. What other nodes report of a worker makes this one quicker to
//! eject it, and two reports eject it without a failure of this node's own.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::{NodeId, Timestamp};

/// What a failure adds to the suspicion against a worker.
const FAILURE_WEIGHT: u32 = 2;

/// What a success takes away: a worker that fails less often than one time in three stays in use.
const SUCCESS_WEIGHT: u32 = 1;

/// Suspicion at which a worker is left alone for a while: two failures in a row suffice.
const EJECTION_THRESHOLD: u32 = 4;

/// First pause of a failing worker; doubled with each further one.
const FIRST_EJECTION: Duration = Duration::from_millis(300);

/// Longest pause of a failing worker.
const LONGEST_EJECTION: Duration = Duration::from_secs(3);

/// Longest probation: a service may have no requests that may be repeated.
const PROBATION: Duration = Duration::from_secs(3);

/// A report of another node counts for this long.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Nodes whose reports together eject a worker.
const REPORTS_TO_EJECT: usize = 2;

/// How a worker stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Nothing speaks against it.
    Good,
    /// It was ejected, and no answer since has shown that it is well again.
    OnProbation,
    /// It gets requests only if there is no other worker.
    Ejected,
}

/// What speaks for and against one worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerHealth {
    suspicion: u32,
    /// Ejections without a success since.
    ejections: u32,
    ejected_until: Timestamp,
    reports: BTreeMap<NodeId, Timestamp>,
}

impl WorkerHealth {
    /// How the worker stands.
    pub fn standing(&self, now: Timestamp) -> Standing {
        if now < self.ejected_until {
            Standing::Ejected
        } else if self.ejections > 0 && now < self.ejected_until + PROBATION {
            Standing::OnProbation
        } else {
            Standing::Good
        }
    }

    /// Notes a valid answer.
    pub fn note_success(&mut self) {
        self.suspicion = self.suspicion.saturating_sub(SUCCESS_WEIGHT);
        if self.suspicion == 0 {
            self.ejections = 0;
        }
    }

    /// Notes a failure; tells whether the worker is ejected now.
    pub fn note_failure(&mut self, now: Timestamp) -> bool {
        self.suspicion += FAILURE_WEIGHT;
        if self.suspicion < EJECTION_THRESHOLD {
            return false;
        }
        self.eject(now);
        true
    }

    /// Notes that another node has ejected the worker; tells whether it is ejected now.
    pub fn note_ejection_report(&mut self, now: Timestamp, node: NodeId) -> bool {
        self.reports
            .retain(|_, reported| now.since(*reported) < REPORT_LIFETIME);
        self.reports.insert(node, now);
        self.expect_failure();
        let is_confirmed = self.reports.len() >= REPORTS_TO_EJECT;
        let is_new = self.standing(now) == Standing::Good;
        if is_confirmed && is_new {
            self.eject(now);
        }
        is_confirmed && is_new
    }

    fn eject(&mut self, now: Timestamp) {
        let pause = FIRST_EJECTION * 2u32.pow(self.ejections.min(4));
        self.ejected_until = now + pause.min(LONGEST_EJECTION);
        self.ejections += 1;
        self.suspicion = 0;
        self.expect_failure();
    }

    /// One more failure ejects the worker.
    fn expect_failure(&mut self) {
        let nearly = EJECTION_THRESHOLD - FAILURE_WEIGHT;
        self.suspicion = self.suspicion.max(nearly);
    }
}
