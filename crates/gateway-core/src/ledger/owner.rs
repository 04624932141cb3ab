//! Acts for one partition: which requests to decide, when to read, when to append.
//!
//! A state machine without I/O or clock. Its driver asks [`PartitionOwner::next_action`], carries
//! the action out, reports the result, and hands on the replies.

use std::time::Duration;

use elderworks_protocol::ledger::{LedgerRecord, LedgerReply, LedgerRequest};
use elderworks_types::{Offset, Timestamp};

use super::{Batch, Evaluation, LedgerState, evaluate};

/// Calls in a row that must fail before the log is taken to be down.
pub const FAILURES_BEFORE_DOWN: u32 = 2;

/// Records that nobody waits for are held back this long to be appended with others.
pub const HOLD_BACK: Duration = Duration::from_millis(400);

/// Pause after a first call to the log that failed.
pub const FAILURE_PAUSE: Duration = Duration::from_millis(30);

/// Pause between two calls while the log is down.
pub const DOWN_PAUSE: Duration = Duration::from_millis(100);

/// Names a request between the driver and the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What the driver is to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read records from this offset on, without waiting for any to come.
    Read {
        /// The first record wanted.
        from: Offset,
    },
    /// Append records if the log ends at `at`.
    Append {
        /// Where the log must end.
        at: Offset,
        /// In this order.
        records: Vec<LedgerRecord>,
    },
    /// Nothing until the next request, or until this time.
    Wait {
        /// When to ask again; `None` if only a request changes anything.
        until: Option<Timestamp>,
    },
}

/// How an append ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The records are durable.
    Done,
    /// The log ended elsewhere; nothing was appended.
    Conflict,
    /// Nothing was appended.
    Refused,
    /// No answer: the records may be durable, or become so while the condition holds.
    Unknown,
}

/// How a read ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Records from the asked offset on, and where the log ended; a record that cannot be decoded
    /// is `None`.
    Records {
        /// In order.
        records: Vec<Option<LedgerRecord>>,
        /// Where the log ended.
        end: Offset,
    },
    /// What was asked for is not kept any more.
    Gone {
        /// The first offset kept.
        first: Offset,
    },
    /// The log did not answer, or refused.
    Failed,
}

#[derive(Debug)]
struct Job {
    ticket: Ticket,
    request: LedgerRequest,
    since: Timestamp,
    /// Whether the state was read anew for this request, so that a negative answer is sure.
    verified: bool,
}

#[derive(Debug)]
struct PendingAppend {
    records: Vec<LedgerRecord>,
    evaluations: Vec<(Ticket, Evaluation)>,
}

/// One partition as this node acts for it.
#[derive(Debug, Default)]
pub struct PartitionOwner {
    state: LedgerState,
    /// The offset behind the last record applied.
    end: Offset,
    /// Whether nothing is in doubt since the log was last read to its end.
    is_synced: bool,
    jobs: Vec<Job>,
    pending: Option<PendingAppend>,
    replies: Vec<(Ticket, LedgerReply)>,
    paused_until: Timestamp,
    failures_in_a_row: u32,
    is_calling: bool,
    conflicts: u64,
}

impl PartitionOwner {
    /// Takes a request; its reply comes from [`Self::take_replies`].
    ///
    /// While the log is down, one request at a time waits for a call that finds out whether it
    /// still is; the others are answered at once, from memory or with "unavailable".
    pub fn submit(&mut self, now: Timestamp, ticket: Ticket, request: LedgerRequest) {
        let must_not_wait = self.is_calling || now < self.paused_until;
        if self.is_down() && must_not_wait {
            let reply = self.reply_from_memory(&request);
            self.replies.push((ticket, reply));
            return;
        }
        self.jobs.push(Job {
            ticket,
            request,
            since: now,
            verified: false,
        });
    }

    /// Whether the log is taken to be down.
    pub fn is_down(&self) -> bool {
        self.failures_in_a_row >= FAILURES_BEFORE_DOWN
    }

    fn reply_from_memory(&self, request: &LedgerRequest) -> LedgerReply {
        match evaluate(&self.state, &mut Batch::default(), request) {
            Evaluation::Answer(reply) => reply,
            Evaluation::Append { .. } | Evaluation::AnswerIfCurrent(_) => LedgerReply::Unavailable,
        }
    }

    /// Replies that have been decided, each once.
    pub fn take_replies(&mut self) -> Vec<(Ticket, LedgerReply)> {
        std::mem::take(&mut self.replies)
    }

    /// Accounts and turns as far as they are known here.
    pub fn state(&self) -> &LedgerState {
        &self.state
    }

    /// Where the log ended when last looked.
    pub fn end(&self) -> Offset {
        self.end
    }

    /// Appends of this node that met records of another.
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }

    /// Decides what can be decided, and says what is to be done next. Not to be called while a read
    /// or an append is under way; requests may be submitted meanwhile.
    pub fn next_action(&mut self, now: Timestamp) -> Action {
        if self.jobs.is_empty() {
            return Action::Wait { until: None };
        }
        if now < self.paused_until {
            return Action::Wait {
                until: Some(self.paused_until),
            };
        }
        let action = if self.is_synced {
            self.decide(now)
        } else {
            Action::Read { from: self.end }
        };
        self.is_calling = !matches!(action, Action::Wait { .. });
        action
    }

    fn decide(&mut self, now: Timestamp) -> Action {
        self.jobs.sort_by_key(|job| !job.is_finish());
        let mut batch = Batch::default();
        let evaluations: Vec<Evaluation> = self
            .jobs
            .iter()
            .map(|job| evaluate(&self.state, &mut batch, &job.request))
            .collect();
        let must_append = self
            .jobs
            .iter()
            .zip(&evaluations)
            .any(|(job, evaluation)| is_due(job, evaluation, now));
        if must_append {
            return self.plan_append(evaluations);
        }
        let any_unsure = self.answer_settled(evaluations);
        if any_unsure {
            return Action::Read { from: self.end };
        }
        let until = self.jobs.iter().map(|job| job.since + HOLD_BACK).min();
        Action::Wait { until }
    }

    /// All records are appended together, also those that could still be held back.
    fn plan_append(&mut self, evaluations: Vec<Evaluation>) -> Action {
        let records: Vec<LedgerRecord> = evaluations
            .iter()
            .filter_map(|evaluation| match evaluation {
                Evaluation::Append { records, .. } => Some(records.clone()),
                Evaluation::Answer(_) | Evaluation::AnswerIfCurrent(_) => None,
            })
            .flatten()
            .collect();
        let tickets = self.jobs.iter().map(|job| job.ticket);
        self.pending = Some(PendingAppend {
            records: records.clone(),
            evaluations: tickets.zip(evaluations).collect(),
        });
        Action::Append {
            at: self.end,
            records,
        }
    }

    /// Answers what needs no append: positive answers, and negative ones that are sure. Tells
    /// whether a negative one is left that is not.
    fn answer_settled(&mut self, evaluations: Vec<Evaluation>) -> bool {
        let mut any_unsure = false;
        let jobs = std::mem::take(&mut self.jobs);
        for (job, evaluation) in jobs.into_iter().zip(evaluations) {
            match evaluation {
                Evaluation::Answer(reply) => self.replies.push((job.ticket, reply)),
                Evaluation::AnswerIfCurrent(reply) if job.verified => {
                    self.replies.push((job.ticket, reply));
                }
                Evaluation::AnswerIfCurrent(_) => {
                    any_unsure = true;
                    self.jobs.push(job);
                }
                Evaluation::Append { .. } => self.jobs.push(job),
            }
        }
        any_unsure
    }

    /// Reports how [`Action::Append`] ended.
    pub fn on_append(&mut self, now: Timestamp, outcome: AppendOutcome) {
        self.is_calling = false;
        let Some(pending) = self.pending.take() else {
            return;
        };
        match outcome {
            AppendOutcome::Done => {
                self.failures_in_a_row = 0;
                self.take_appended(now, pending);
            }
            AppendOutcome::Conflict => {
                self.failures_in_a_row = 0;
                self.conflicts += 1;
                self.is_synced = false;
            }
            AppendOutcome::Refused => self.pause(now),
            AppendOutcome::Unknown => {
                self.is_synced = false;
                self.pause(now);
            }
        }
    }

    /// The log ended where the state did, so negative answers are sure as well.
    fn take_appended(&mut self, now: Timestamp, pending: PendingAppend) {
        for record in pending.records {
            self.state.apply(now, record);
            self.end = self.end.next();
        }
        for (ticket, evaluation) in pending.evaluations {
            self.jobs.retain(|job| job.ticket != ticket);
            let reply = match evaluation {
                Evaluation::Answer(reply)
                | Evaluation::AnswerIfCurrent(reply)
                | Evaluation::Append { reply, .. } => reply,
            };
            self.replies.push((ticket, reply));
        }
    }

    /// Reports how [`Action::Read`] ended.
    pub fn on_read(&mut self, now: Timestamp, outcome: ReadOutcome) {
        self.is_calling = false;
        match outcome {
            ReadOutcome::Records { records, end } => {
                self.failures_in_a_row = 0;
                self.take_records(now, records, end);
            }
            ReadOutcome::Gone { first } => {
                // What is gone is older than anything that is still kept.
                self.end = first;
                self.is_synced = false;
            }
            ReadOutcome::Failed => {
                self.is_synced = false;
                self.pause(now);
            }
        }
    }

    fn take_records(&mut self, now: Timestamp, records: Vec<Option<LedgerRecord>>, end: Offset) {
        for record in records {
            if let Some(record) = record {
                self.state.apply(now, record);
            }
            self.end = self.end.next();
        }
        self.is_synced = self.end >= end;
        if self.is_synced {
            for job in &mut self.jobs {
                job.verified = true;
            }
        }
    }

    /// Drops what was last touched longer ago than `retention`.
    pub fn expire(&mut self, now: Timestamp, retention: Duration) {
        self.state.expire(now, retention);
    }

    /// Records that should be written anew before the log drops them, as an append to carry out;
    /// `None` if there are none or another action comes first.
    pub fn plan_rewrite(&mut self, now: Timestamp) -> Option<Action> {
        if !self.is_synced || self.pending.is_some() || !self.jobs.is_empty() {
            return None;
        }
        let records = self.state.rewrites(now);
        if records.is_empty() {
            return None;
        }
        self.pending = Some(PendingAppend {
            records: records.clone(),
            evaluations: Vec::new(),
        });
        self.is_calling = true;
        Some(Action::Append {
            at: self.end,
            records,
        })
    }

    /// After a failed call: a pause, and no more waiting once the log is taken to be down.
    fn pause(&mut self, now: Timestamp) {
        self.failures_in_a_row += 1;
        if !self.is_down() {
            self.paused_until = now + FAILURE_PAUSE;
            return;
        }
        self.paused_until = now + DOWN_PAUSE;
        for job in std::mem::take(&mut self.jobs) {
            let reply = self.reply_from_memory(&job.request);
            self.replies.push((job.ticket, reply));
        }
    }
}

impl Job {
    fn is_finish(&self) -> bool {
        matches!(self.request, LedgerRequest::Finish(_))
    }
}

fn is_due(job: &Job, evaluation: &Evaluation, now: Timestamp) -> bool {
    match evaluation {
        Evaluation::Append { may_wait, .. } => !may_wait || now.since(job.since) >= HOLD_BACK,
        Evaluation::Answer(_) | Evaluation::AnswerIfCurrent(_) => false,
    }
}
