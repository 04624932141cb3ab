//! A circuit breaker for each worker.
//!
//! Repeated failures *eject* a worker for a pause that doubles with each ejection. After the pause
//! it is on *probation*: it gets one repeatable request at a time until one succeeds. A report of an
//! ejection by another node lowers the threshold, and two reports eject the worker without a failure
//! observed by this node.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::{NodeId, Timestamp};

/// Amount by which a failure increases a worker's suspicion level.
const FAILURE_WEIGHT: u32 = 2;

/// Amount by which a success decreases it. A worker that fails less than one time in three isn't
/// ejected.
const SUCCESS_WEIGHT: u32 = 1;

/// Suspicion level at which a worker is ejected: two consecutive failures.
const EJECTION_THRESHOLD: u32 = 4;

/// Duration of a worker's first ejection; doubled with each further one.
const FIRST_EJECTION: Duration = Duration::from_millis(300);

/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(3);

/// Maximum duration of the probation, since a service may have no repeatable requests.
const PROBATION: Duration = Duration::from_secs(3);

/// Time after which another node's report expires.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Number of nodes whose reports eject a worker.
const REPORTS_TO_EJECT: usize = 2;

/// Health of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HealthStatus {
    /// The worker isn't known to fail.
    Healthy,
    /// The worker was ejected and has not succeeded since.
    OnProbation,
    /// The worker gets requests only if there is no other.
    Ejected,
}

/// Failures and ejections of one worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerHealth {
    /// Weighted failures minus successes.
    suspicion: u32,
    /// Number of ejections since the worker last recovered.
    ejections: u32,
    ejected_until: Timestamp,
    reports: BTreeMap<NodeId, Timestamp>,
}

impl WorkerHealth {
    /// Returns the health of the worker.
    pub fn status(&self, now: Timestamp) -> HealthStatus {
        if now < self.ejected_until {
            HealthStatus::Ejected
        } else if self.ejections > 0 && now < self.ejected_until + PROBATION {
            HealthStatus::OnProbation
        } else {
            HealthStatus::Healthy
        }
    }

    /// Records a valid response.
    pub fn note_success(&mut self) {
        self.suspicion = self.suspicion.saturating_sub(SUCCESS_WEIGHT);
        if self.suspicion == 0 {
            self.ejections = 0;
        }
    }

    /// Records a failure; returns whether it ejected the worker.
    pub fn note_failure(&mut self, now: Timestamp) -> bool {
        self.suspicion += FAILURE_WEIGHT;
        if self.suspicion < EJECTION_THRESHOLD {
            return false;
        }
        self.eject(now);
        true
    }

    /// Records that another node has ejected the worker; returns whether this ejected it here, too.
    pub fn note_ejection_report(&mut self, now: Timestamp, node: NodeId) -> bool {
        self.reports
            .retain(|_, reported| now.since(*reported) < REPORT_LIFETIME);
        self.reports.insert(node, now);
        self.expect_failure();
        let is_confirmed = self.reports.len() >= REPORTS_TO_EJECT;
        let is_new = self.status(now) == HealthStatus::Healthy;
        if is_confirmed && is_new {
            self.eject(now);
        }
        is_confirmed && is_new
    }

    fn eject(&mut self, now: Timestamp) {
        let pause = FIRST_EJECTION * 2u32.pow(self.ejections.min(4));
        self.ejected_until = now + pause.min(MAX_EJECTION);
        self.ejections += 1;
        self.suspicion = 0;
        self.expect_failure();
    }

    /// Raises the suspicion level so that one more failure ejects the worker.
    fn expect_failure(&mut self) {
        let nearly = EJECTION_THRESHOLD - FAILURE_WEIGHT;
        self.suspicion = self.suspicion.max(nearly);
    }
}
