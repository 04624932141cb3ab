//! Detects outages of the log from the response times of calls to it.
//!
//! A call that takes clearly longer than usual makes the log *late*. If other nodes get no answers
//! either, the log is *silent*: operations that need an append cannot complete. A log that is
//! merely slow, or that only fails to answer one node, is not silent; the first answer to any node
//! proves that.
//!
//! Time during which this process did not run is not counted, so a node that was suspended or is
//! overloaded does not report an outage.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::{NodeId, Timestamp};

/// Interval at which the driver calls [`LogOutageDetector::poll`] while calls are in progress.
pub const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two polls that indicates that the process was suspended or starved.
const MAX_POLL_GAP: Duration = Duration::from_millis(25);

/// Bounds of the time after which a call is late. The lower bound is several times a usual response
/// time.
const MIN_LATE_AFTER: Duration = Duration::from_millis(30);
const MAX_LATE_AFTER: Duration = Duration::from_millis(400);

/// Time after which a call is late before any response time is known.
const INITIAL_LATE_AFTER: Duration = Duration::from_millis(150);

/// A late log is considered silent without confirmation after this multiple of the time after which
/// calls are late.
const UNCONFIRMED_FACTOR: u32 = 3;

/// Number of other nodes that must be waiting for the log too. A single node may only have lost its
/// own connection to the log.
const CONFIRMING_NODES: usize = 2;

/// How long the report of another node is valid.
const REPORT_VALIDITY: Duration = Duration::from_millis(700);

/// How long a call that failed counts as unanswered after its end. While the log is silent, turns
/// that must be stored make no calls, so that no later one may be answered.
const FAILED_CALL_VALIDITY: Duration = Duration::from_millis(700);

/// Maximum number of unanswered calls that are tracked. The oldest ones suffice.
const MAX_TRACKED_CALLS: usize = 64;

/// Condition of the log as observed by this node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogState {
    /// Calls are answered in the usual time, or no calls are in progress.
    #[default]
    Normal,
    /// A call has taken longer than usual.
    Late {
        /// When the unanswered call started.
        since: Timestamp,
    },
    /// No node receives answers.
    Silent {
        /// When the first unanswered call started.
        since: Timestamp,
    },
}

impl LogState {
    /// Returns whether the log is silent.
    pub fn is_silent(self) -> bool {
        matches!(self, Self::Silent { .. })
    }

    /// Returns when the call started that has been waiting for an answer.
    pub fn since(self) -> Option<Timestamp> {
        match self {
            Self::Normal => None,
            Self::Late { since } | Self::Silent { since } => Some(since),
        }
    }
}

/// A node's report on its calls to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogStatus {
    /// Age of the oldest unanswered call if that is late.
    pub oldest_wait: Option<Duration>,
    /// Time since the start of the latest call, by any node, that the sender knows to have been
    /// answered.
    pub answered: Option<Duration>,
    /// Whether the sender considers the log silent; otherwise it only asks for confirmation.
    pub is_silent: bool,
}

/// A call without an answer.
#[derive(Clone, Copy, Debug)]
struct UnansweredCall {
    started: Timestamp,
    /// When it was refused, failed or given up.
    failed: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug)]
struct PeerReport {
    since: Timestamp,
    received: Timestamp,
    is_silent: bool,
}

/// Estimate of the usual response time (RFC 6298 without the minimum).
#[derive(Clone, Copy, Debug)]
struct ResponseTime {
    smoothed: Duration,
    deviation: Duration,
}

impl ResponseTime {
    fn update(known: Option<Self>, took: Duration) -> Self {
        let Some(known) = known else {
            return Self {
                smoothed: took,
                deviation: took / 2,
            };
        };
        Self {
            smoothed: known.smoothed * 7 / 8 + took / 8,
            deviation: known.deviation * 3 / 4 + known.smoothed.abs_diff(took) / 4,
        }
    }
}

/// Detects outages of the log from this node's calls and from the reports of other nodes.
#[derive(Debug)]
pub struct LogOutageDetector {
    response_time: Option<ResponseTime>,
    /// Unanswered calls. Those that failed remain until a later call is answered, but for no longer
    /// than [`FAILED_CALL_VALIDITY`].
    unanswered: BTreeMap<u64, UnansweredCall>,
    last_poll: Timestamp,
    /// Start of the latest call, by any node, that is known to have been answered.
    latest_answered: Option<Timestamp>,
    peer_reports: BTreeMap<NodeId, PeerReport>,
    /// Number of other nodes that must confirm an outage.
    required_confirmations: usize,
    state: LogState,
}

impl Default for LogOutageDetector {
    fn default() -> Self {
        Self {
            response_time: None,
            unanswered: BTreeMap::new(),
            last_poll: Timestamp::default(),
            latest_answered: None,
            peer_reports: BTreeMap::new(),
            required_confirmations: CONFIRMING_NODES,
            state: LogState::Normal,
        }
    }
}

impl LogOutageDetector {
    /// Sets the number of other nodes.
    pub fn set_peer_count(&mut self, others: usize) {
        self.required_confirmations = others.clamp(1, CONFIRMING_NODES);
    }

    /// Returns the state as of the last update.
    pub fn state(&self) -> LogState {
        self.state
    }

    /// Records the start of a call.
    pub fn call_started(&mut self, now: Timestamp, call: u64) {
        if self.unanswered.is_empty() {
            self.last_poll = now;
        }
        if self.unanswered.len() < MAX_TRACKED_CALLS {
            let unanswered = UnansweredCall {
                started: now,
                failed: None,
            };
            self.unanswered.insert(call, unanswered);
        }
    }

    /// Records that a call was refused or failed, which doesn't show whether the log answers other
    /// nodes.
    pub fn call_failed(&mut self, now: Timestamp, call: u64) {
        if let Some(unanswered) = self.unanswered.get_mut(&call) {
            unanswered.failed = Some(now);
        }
    }

    /// Records that a call was answered, possibly with a refusal, `took` after its start. Calls
    /// that started before it are dropped: they were lost or are slow for reasons of their own.
    pub fn call_answered(&mut self, now: Timestamp, call: u64, took: Duration) {
        self.response_time = Some(ResponseTime::update(self.response_time, took));
        let known = self.unanswered.remove(&call);
        let started = known.map_or(now - took, |call| call.started);
        self.record_answer(started);
        self.update_state(now);
    }

    /// Updates the state. Must be called every [`POLL_INTERVAL`] while calls are in progress, and
    /// occasionally otherwise.
    pub fn poll(&mut self, now: Timestamp) {
        let gap = now.since(self.last_poll);
        self.last_poll = now;
        if gap > MAX_POLL_GAP {
            let suspended = gap - POLL_INTERVAL;
            for call in self.unanswered.values_mut() {
                call.started = (call.started + suspended).min(now);
            }
        }
        self.unanswered.retain(|_, call| {
            let failed = call.failed;
            failed.is_none_or(|failed| now.since(failed) < FAILED_CALL_VALIDITY)
        });
        self.peer_reports
            .retain(|_, report| now.since(report.received) < REPORT_VALIDITY);
        self.update_state(now);
    }

    /// Returns the report for other nodes. It claims an outage only if this node's own calls
    /// indicate one.
    pub fn status(&self, now: Timestamp) -> LogStatus {
        let late = self.late_since(now);
        LogStatus {
            oldest_wait: late.map(|since| now.since(since)),
            answered: self.latest_answered.map(|at| now.since(at)),
            is_silent: self.state.is_silent() && late.is_some(),
        }
    }

    /// Records the report of another node. Returns whether this node knows of a later answer, which
    /// the sender should be informed of.
    pub fn on_peer_status(&mut self, now: Timestamp, node: NodeId, status: LogStatus) -> bool {
        if let Some(age) = status.answered {
            self.record_answer(now - age);
        }
        let since = status.oldest_wait.map(|waits| now - waits);
        let is_refuted = self
            .latest_answered
            .is_some_and(|at| since.is_some_and(|since| since <= at));
        match since.filter(|_| !is_refuted) {
            Some(since) => {
                let is_silent = status.is_silent;
                let report = PeerReport {
                    since,
                    received: now,
                    is_silent,
                };
                self.peer_reports.insert(node, report);
            }
            None => {
                self.peer_reports.remove(&node);
            }
        }
        self.update_state(now);
        is_refuted
    }

    /// Records that the log has answered a call that started at `at`, which makes older waits
    /// irrelevant.
    fn record_answer(&mut self, at: Timestamp) {
        self.latest_answered = self.latest_answered.max(Some(at));
        self.unanswered.retain(|_, call| call.started > at);
        self.peer_reports.retain(|_, report| report.since > at);
    }

    /// Returns the time after which a call is late.
    fn late_after(&self) -> Duration {
        let Some(time) = self.response_time else {
            return INITIAL_LATE_AFTER;
        };
        let limit = time.smoothed * 2 + time.deviation * 4;
        limit.clamp(MIN_LATE_AFTER, MAX_LATE_AFTER)
    }

    /// Returns the start of the oldest unanswered call if that is late.
    fn late_since(&self, now: Timestamp) -> Option<Timestamp> {
        let since = self.unanswered.values().map(|call| call.started).min()?;
        (self.waited(now, since) >= self.late_after()).then_some(since)
    }

    /// Returns the waiting time of a call as of the last poll. An answer that has arrived since may
    /// not have been read from the socket yet.
    fn waited(&self, now: Timestamp, since: Timestamp) -> Duration {
        self.last_poll.min(now).since(since)
    }

    fn update_state(&mut self, now: Timestamp) {
        let reporting_silence = self.peer_reports.values().filter(|report| report.is_silent);
        let is_reported = reporting_silence.count() >= self.required_confirmations;
        let is_confirmed = self.peer_reports.len() >= self.required_confirmations;
        let unconfirmed_after = self.late_after() * UNCONFIRMED_FACTOR;
        self.state = match self.late_since(now) {
            Some(since) if is_confirmed || self.waited(now, since) >= unconfirmed_after => {
                LogState::Silent { since }
            }
            Some(since) => LogState::Late { since },
            None if is_reported => LogState::Silent {
                since: self.earliest_report().unwrap_or(now),
            },
            None => LogState::Normal,
        };
    }

    fn earliest_report(&self) -> Option<Timestamp> {
        self.peer_reports.values().map(|report| report.since).min()
    }
}
