//! What is known under one key of a request.
//!
//! Within a request's lifetime an exchange only moves from possible to ended, or to outlived by the proof of
//! the node that had it; nothing else takes it out of the count.

use std::time::Duration;

use elderworks_types::Timestamp;

use super::MAX_ENDED_WORKERS;
use super::exchanges::{ExchangeKey, WorkerPart};
use super::identity::{RequestIdentity, RequestKey};

/// Maximum number of exchanges of each kind that are remembered. More than [`MAX_ENDED_WORKERS`] workers
/// can end if tries of one request run at the same time.
const MAX_EXCHANGES: usize = 4 * MAX_ENDED_WORKERS;

/// Pauses after which a report is sent again, since datagrams can be lost and nodes cut off for a
/// moment.
const REPORT_PAUSES: [Duration; 3] = [
    Duration::from_millis(60),
    Duration::from_millis(400),
    Duration::from_millis(1_500),
];

/// What a key of a request stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyKind {
    /// One try.
    Attempt,
    /// The content of one request.
    Content,
    /// Content that requests of several callers may have.
    SharedContent,
}

impl KeyKind {
    pub(super) fn of_content(request: &RequestIdentity) -> Self {
        match request.is_shared {
            true => Self::SharedContent,
            false => Self::Content,
        }
    }
}

/// The exchanges of a request whose workers ended or may have ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRequest {
    /// The request, or one try of it.
    pub request: RequestKey,
    /// What the key stands for.
    pub kind: KeyKind,
    /// Time since the last of the ends.
    pub age: Duration,
    /// Its exchanges whose worker ended.
    pub ended: Vec<ExchangeKey>,
    /// Its exchanges whose worker may have ended.
    pub possible: Vec<ExchangeKey>,
    /// Its exchanges without an answer whose worker outlived them.
    pub outlived: Vec<ExchangeKey>,
}

/// An exchange of a request that was left without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PossibleEnd {
    /// The exchange.
    pub exchange: ExchangeKey,
    /// When that was, or earlier.
    pub since: Timestamp,
    /// Whether a process of the worker's id has answered since, so that an end of the worker says nothing
    /// of the exchange.
    pub is_undecided: bool,
}

impl PossibleEnd {
    /// Creates a possible end of which nothing more is known.
    pub fn new(exchange: ExchangeKey, since: Timestamp) -> Self {
        Self {
            exchange,
            since,
            is_undecided: false,
        }
    }
}

/// What is known under one key.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) kind: KeyKind,
    pub(super) ended: Vec<ExchangeKey>,
    pub(super) possible: Vec<PossibleEnd>,
    outlived: Vec<ExchangeKey>,
    /// When the last of them ended or may have ended, to this node's knowledge.
    pub(super) noted: Timestamp,
    /// Number of reports sent, if this node reports it.
    reports: Option<usize>,
    next_report: Timestamp,
    /// Whether this node noted any of it and keeps it in the log, too.
    pub(super) is_own: bool,
}

impl Entry {
    pub(super) fn new(kind: KeyKind, noted: Timestamp) -> Self {
        Self {
            kind,
            ended: Vec::new(),
            possible: Vec::new(),
            outlived: Vec::new(),
            noted,
            reports: None,
            next_report: noted,
            is_own: false,
        }
    }

    /// Adds a possible end; returns whether it is new.
    pub(super) fn add_possible(&mut self, end: PossibleEnd) -> bool {
        if self.is_known(end.exchange) {
            return false;
        }
        if self.possible.len() >= MAX_EXCHANGES {
            // It stays in the count.
            let oldest = self.possible.remove(0);
            self.push_ended(oldest.exchange);
        }
        self.possible.push(end);
        self.noted = self.noted.max(end.since);
        true
    }

    /// Adds ends; returns whether their number has grown. A key that may stand for several requests
    /// keeps the largest number that one of them met.
    pub(super) fn add_ended(&mut self, noted: Timestamp, ended: &[ExchangeKey]) -> bool {
        let before = self.ended.len();
        if self.kind != KeyKind::SharedContent {
            for exchange in ended {
                if !self.ended.contains(exchange) && !self.outlived.contains(exchange) {
                    self.push_ended(*exchange);
                }
            }
        } else if ended.len() > before {
            self.ended = ended.to_vec();
            self.ended.truncate(MAX_EXCHANGES);
        }
        let known = &self.ended;
        self.possible.retain(|end| !known.contains(&end.exchange));
        let has_grown = self.ended.len() > before;
        if has_grown {
            self.noted = self.noted.max(noted);
        }
        has_grown
    }

    /// Replaces what is known by what another try has met, if that is more. Returns whether it is.
    pub(super) fn replace_if_more(
        &mut self,
        ended: &[ExchangeKey],
        possible: impl Iterator<Item = PossibleEnd>,
    ) -> bool {
        let mut others: Vec<PossibleEnd> = Vec::new();
        for end in possible {
            let is_known = ended.contains(&end.exchange)
                || others.iter().any(|other| other.exchange == end.exchange);
            if !is_known {
                others.push(end);
            }
        }
        let known = self.ended.len() + self.possible.len();
        let is_more = ended.len() + others.len() > known;
        if is_more {
            self.ended = ended.to_vec();
            self.possible = others;
        }
        is_more
    }

    /// Turns the possible ends of a worker into ends, unless one of its processes has answered since;
    /// returns whether there were any.
    pub(super) fn end_worker(&mut self, now: Timestamp, worker: WorkerPart) -> bool {
        let is_of_worker =
            |end: &PossibleEnd| end.exchange.worker_part() == worker && !end.is_undecided;
        let ended: Vec<PossibleEnd> = self
            .possible
            .extract_if(.., |end| is_of_worker(end))
            .collect();
        for end in &ended {
            self.push_ended(end.exchange);
        }
        if !ended.is_empty() {
            self.noted = self.noted.max(now);
        }
        !ended.is_empty()
    }

    /// Takes back the ends of a worker that was only cut off, or has started again: they are possible.
    pub(super) fn reopen_worker(&mut self, worker: WorkerPart) {
        // Long ago: nothing more becomes known of them soon.
        let since = Timestamp::default();
        let reopened = self
            .ended
            .extract_if(.., |exchange| exchange.worker_part() == worker);
        let reopened = reopened.map(|exchange| PossibleEnd::new(exchange, since));
        self.possible.extend(reopened);
    }

    /// Records that a process of a worker's id runs, this or the next one.
    pub(super) fn note_undecided(&mut self, worker: WorkerPart) {
        for end in &mut self.possible {
            end.is_undecided |= end.exchange.worker_part() == worker;
        }
    }

    pub(super) fn has_possible(&self, exchange: ExchangeKey) -> bool {
        self.possible.iter().any(|end| end.exchange == exchange)
    }

    /// Records that a worker outlived an exchange; returns whether that is new.
    pub(super) fn outlive(&mut self, exchange: ExchangeKey) -> bool {
        if self.outlived.contains(&exchange) || self.ended.contains(&exchange) {
            return false;
        }
        self.possible.retain(|end| end.exchange != exchange);
        self.outlived.push(exchange);
        if self.outlived.len() > MAX_EXCHANGES {
            self.outlived.remove(0);
        }
        true
    }

    /// Reports what is known from `at` on.
    pub(super) fn report_from(&mut self, at: Timestamp) {
        self.is_own = true;
        self.reports = Some(0);
        self.next_report = at;
    }

    /// Reports that a worker outlived an exchange, unless nobody was told of the exchange.
    pub(super) fn report_outlived(&mut self, now: Timestamp) {
        let is_untold = self.reports == Some(0) && now < self.next_report;
        match is_untold && self.ended.is_empty() && self.possible.is_empty() {
            true => self.reports = None,
            false => self.report_from(now),
        }
    }

    /// Returns whether a report is due, which counts as sent from then on.
    pub(super) fn take_due(&mut self, now: Timestamp) -> bool {
        let Some(reports) = self.reports.filter(|_| self.next_report <= now) else {
            return false;
        };
        self.reports = match REPORT_PAUSES.get(reports) {
            Some(pause) => {
                self.next_report = now + *pause;
                Some(reports + 1)
            }
            None => None,
        };
        true
    }

    /// Returns what other nodes are told.
    pub(super) fn told(&self, now: Timestamp, request: RequestKey) -> EndedRequest {
        EndedRequest {
            request,
            kind: self.kind,
            age: now.since(self.noted),
            ended: self.ended.clone(),
            possible: self.possible.iter().map(|end| end.exchange).collect(),
            outlived: self.outlived.clone(),
        }
    }

    fn is_known(&self, exchange: ExchangeKey) -> bool {
        self.ended.contains(&exchange)
            || self.outlived.contains(&exchange)
            || self.has_possible(exchange)
    }

    /// Adds an end. Beyond the maximum the request is given up in any case.
    fn push_ended(&mut self, exchange: ExchangeKey) {
        if self.ended.len() < MAX_EXCHANGES {
            self.ended.push(exchange);
        }
    }
}
