//! Acts for one partition: which requests to decide, when to read, when to append.
//!
//! A state machine without I/O or clock. Its driver asks [`PartitionOwner::next_action`], carries
//! the action out, reports the result, and hands on the replies.

use std::time::Duration;

use elderworks_protocol::ledger::{LedgerRecord, LedgerReply, LedgerRequest};
use elderworks_types::{Offset, Timestamp};

use super::LedgerState;
use super::pieces::{MAX_APPEND_BYTES, approximate_bytes};
use super::plan::{Plan, Planned, answer_at_once};
use super::wallet::IDLE_BEFORE_SETTLING;
use super::wallets::Wallets;

/// Calls in a row that must fail before the log is taken to be down.
pub const FAILURES_BEFORE_DOWN: u32 = 2;

/// Settlements, which nobody waits for, are held back this long to be appended with others.
pub const HOLD_BACK: Duration = Duration::from_millis(2_000);

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
    /// Whether the state is as of the log's end at some time since the request came, so that a
    /// negative answer is sure.
    verified: bool,
    /// Whether it came while a call was under way: what the log says to that call may be older.
    came_during_call: bool,
}

#[derive(Debug)]
struct PendingAppend {
    plan: Plan,
    replies: Vec<(Ticket, LedgerReply)>,
    /// Turns of the plan that have been reported as ended since, by program.
    abandoned: Vec<(String, String)>,
}

/// One partition as this node acts for it.
#[derive(Debug)]
pub struct PartitionOwner {
    state: LedgerState,
    wallets: Wallets,
    /// Whether other nodes send their requests here.
    is_preferred: bool,
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
    /// An owner that has read nothing. `name` is written to the log; no other owner of the
    /// partition may ever bear it, nor an earlier start of the same node.
    pub fn new(name: String) -> Self {
        Self {
            state: LedgerState::default(),
            wallets: Wallets::new(name),
            is_preferred: true,
            end: Offset(0),
            is_synced: false,
            jobs: Vec::new(),
            pending: None,
            replies: Vec::new(),
            paused_until: Timestamp::default(),
            failures_in_a_row: 0,
            is_calling: false,
            conflicts: 0,
        }
    }

    /// Takes a request; its reply comes from [`Self::take_replies`].
    ///
    /// While the log is down, one request at a time waits for a call that finds out whether it
    /// still is; the others are answered at once, from memory or with "unavailable".
    pub fn submit(&mut self, now: Timestamp, ticket: Ticket, request: LedgerRequest) {
        if let LedgerRequest::Finish(finish) = &request {
            self.abandon(&finish.program, &finish.turn);
        }
        let at_once = answer_at_once(&self.state, &mut self.wallets, now, &request);
        let must_not_wait = self.is_calling || now < self.paused_until;
        let reply = match at_once {
            Some(reply) => Some(reply),
            None if self.is_down() && must_not_wait => Some(LedgerReply::Unavailable),
            None => None,
        };
        match reply {
            Some(reply) => self.replies.push((ticket, reply)),
            None => self.jobs.push(Job {
                ticket,
                request,
                verified: false,
                came_during_call: self.is_calling,
            }),
        }
    }

    /// A turn has ended that may not have been granted yet: whoever asked has given up.
    fn abandon(&mut self, program: &str, turn: &str) {
        if let Some(pending) = &mut self.pending {
            let started = &pending.plan.started;
            if started.iter().any(|(_, name)| name == turn) {
                let abandoned = (program.to_owned(), turn.to_owned());
                pending.abandoned.push(abandoned);
                return;
            }
        }
        let is_asked_for = |request: &LedgerRequest| matches!(request, LedgerRequest::Begin(begin) if begin.turn == turn);
        for job in std::mem::take(&mut self.jobs) {
            if is_asked_for(&job.request) {
                self.replies.push((job.ticket, LedgerReply::Unavailable));
            } else {
                self.jobs.push(job);
            }
        }
    }

    /// Tells whether other nodes send their requests here. One that they do not settles its
    /// advances without delay.
    pub fn set_preferred(&mut self, is_preferred: bool) {
        self.is_preferred = is_preferred;
    }

    /// Whether the log is taken to be down.
    pub fn is_down(&self) -> bool {
        self.failures_in_a_row >= FAILURES_BEFORE_DOWN
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
        self.wallets.close_idle(now, self.idle_time());
        let action = self.choose_action(now);
        self.is_calling = !matches!(action, Action::Wait { .. });
        if self.is_calling {
            for job in &mut self.jobs {
                job.came_during_call = false;
            }
        }
        action
    }

    fn choose_action(&mut self, now: Timestamp) -> Action {
        let settles_from = self
            .wallets
            .closing_since()
            .map(|since| since + self.hold_back());
        let must_settle = settles_from.is_some_and(|from| from <= now);
        if self.jobs.is_empty() && !must_settle {
            let idle_from = self
                .wallets
                .first_idle()
                .map(|last| last + self.idle_time());
            let until = settles_from.into_iter().chain(idle_from).min();
            return Action::Wait { until };
        }
        if now < self.paused_until {
            return Action::Wait {
                until: Some(self.paused_until),
            };
        }
        if !self.is_synced {
            return Action::Read { from: self.end };
        }
        self.decide(now, must_settle)
    }

    fn idle_time(&self) -> Duration {
        if self.is_preferred {
            IDLE_BEFORE_SETTLING
        } else {
            Duration::ZERO
        }
    }

    fn hold_back(&self) -> Duration {
        if self.is_preferred {
            HOLD_BACK
        } else {
            Duration::ZERO
        }
    }

    fn decide(&mut self, now: Timestamp, must_settle: bool) -> Action {
        let mut plan = Plan::new(&self.state, self.wallets.settlements());
        let mut appended = Vec::new();
        let mut must_verify = false;
        let mut undecided = std::mem::take(&mut self.jobs).into_iter();
        while !plan.is_full()
            && let Some(job) = undecided.next()
        {
            // What another request has brought about may suffice for this one.
            if let Some(reply) = answer_at_once(&self.state, &mut self.wallets, now, &job.request) {
                self.replies.push((job.ticket, reply));
                continue;
            }
            match plan.decide(&self.state, &mut self.wallets, now, &job.request) {
                Planned::Append(reply) => {
                    appended.push((job.ticket, reply));
                    self.jobs.push(job);
                }
                Planned::AnswerIfCurrent(reply) if job.verified => {
                    self.replies.push((job.ticket, reply));
                }
                Planned::AnswerIfCurrent(_) => {
                    must_verify = true;
                    self.jobs.push(job);
                }
                Planned::DecideAfterAppend => self.jobs.push(job),
            }
        }
        self.jobs.extend(undecided);
        if appended.is_empty() && !must_settle {
            return self.verify_or_wait(must_verify);
        }
        let records = plan.records.clone();
        self.pending = Some(PendingAppend {
            plan,
            replies: appended,
            abandoned: Vec::new(),
        });
        Action::Append {
            at: self.end,
            records,
        }
    }

    fn verify_or_wait(&self, must_verify: bool) -> Action {
        if must_verify {
            return Action::Read { from: self.end };
        }
        let settles_from = self
            .wallets
            .closing_since()
            .map(|since| since + self.hold_back());
        Action::Wait {
            until: settles_from,
        }
    }

    /// Reports how [`Action::Append`] ended.
    pub fn on_append(&mut self, now: Timestamp, outcome: AppendOutcome) {
        self.is_calling = false;
        let Some(pending) = self.pending.take() else {
            return;
        };
        if outcome == AppendOutcome::Done {
            self.failures_in_a_row = 0;
            self.take_appended(now, pending);
            return;
        }
        for (program, turn) in &pending.plan.started {
            if let Some(wallet) = self.wallets.get_mut(program) {
                wallet.cancel(turn);
            }
        }
        match outcome {
            AppendOutcome::Done => {}
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

    /// The log ended where the state did, so what was decided on the state holds.
    fn take_appended(&mut self, now: Timestamp, pending: PendingAppend) {
        for record in pending.plan.records {
            self.apply(now, record);
        }
        for (program, turn) in &pending.abandoned {
            if let Some(wallet) = self.wallets.get_mut(program) {
                wallet.end(now, turn, 0);
            }
        }
        for (ticket, reply) in pending.replies {
            self.jobs.retain(|job| job.ticket != ticket);
            self.replies.push((ticket, reply));
        }
        self.verify_jobs();
    }

    /// The call that has just ended has shown the log's end.
    fn verify_jobs(&mut self) {
        for job in &mut self.jobs {
            job.verified |= !job.came_during_call;
        }
    }

    fn apply(&mut self, now: Timestamp, record: LedgerRecord) {
        self.wallets.note_record(now, &record);
        self.state.apply(now, record);
        self.end = self.end.next();
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
            match record {
                Some(record) => self.apply(now, record),
                None => self.end = self.end.next(),
            }
        }
        self.is_synced = self.end >= end;
        if self.is_synced {
            self.verify_jobs();
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
        let records = first_that_fit(self.state.rewrites(now));
        if records.is_empty() {
            return None;
        }
        self.pending = Some(PendingAppend {
            plan: Plan::of_records(records.clone()),
            replies: Vec::new(),
            abandoned: Vec::new(),
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
            self.submit(now, job.ticket, job.request);
        }
    }
}

/// As many of the records as one append should hold.
fn first_that_fit(records: Vec<LedgerRecord>) -> Vec<LedgerRecord> {
    let mut bytes = 0;
    let mut fitting = Vec::new();
    for record in records {
        bytes += approximate_bytes(&record);
        if bytes > MAX_APPEND_BYTES {
            break;
        }
        fitting.push(record);
    }
    fitting
}
