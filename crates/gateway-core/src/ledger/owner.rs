//! Acts for one partition: which requests to decide, when to read, when to append.
//!
//! A state machine without I/O or clock. Its driver asks [`PartitionOwner::next_action`], carries
//! the action out, reports the result, and hands on the replies.

mod overdrafts;

use std::rc::Rc;
use std::time::Duration;

use elderworks_protocol::ledger::{LedgerRecord, LedgerReply, LedgerRequest, Witness};
use elderworks_types::{Offset, Timestamp};

use super::LedgerState;
use super::calls::{Action, AppendOutcome, CallNumber, ReadOutcome, Ticket, WitnessQuery};
use super::fencing::Fencing;
use super::overdraft::{OwnOverdraft, SLOW_CALL_THRESHOLD};
use super::pieces::{MAX_APPEND_BYTES, approximate_bytes};
use super::plan::{Credit, Plan, Planned, answer_at_once};
use super::turn_size::TypicalTurn;
use super::wallet::IDLE_BEFORE_SETTLING;
use super::wallets::Wallets;
use crate::policy::Policy;

/// Calls in a row that must fail before the log is taken to be down.
pub const FAILURES_BEFORE_DOWN: u32 = 2;

/// Settlements, which nobody waits for, are held back this long to be appended with others.
pub const HOLD_BACK: Duration = Duration::from_millis(2_000);

/// Pause after a first call to the log that failed.
pub const FAILURE_PAUSE: Duration = Duration::from_millis(30);

/// Pause between two calls while the log is down.
pub const DOWN_PAUSE: Duration = Duration::from_millis(100);

/// How long a request that asks for it waits for a log that is down, to be carried out as soon as
/// the log is back: two or three calls to the log end in that time.
pub const HOLD_WHILE_DOWN: Duration = Duration::from_millis(500);

/// How long after an outage of the log an owner that others do not send their requests to leaves
/// the partition to the one that they do: both would read and append the same.
pub const GIVES_WAY_FOR: Duration = Duration::from_secs(1);

/// What is added to that pause if nobody waits for the call.
const PREPARATION_PAUSE: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct Job {
    ticket: Ticket,
    request: LedgerRequest,
    /// Whether the state is as of the log's end at some time since the request came, so that a
    /// negative answer is sure.
    verified: bool,
    /// The last call that began before the request came: what the log says to that call or an
    /// earlier one may be older.
    came_after: CallNumber,
    /// Until when the request waits though the log is down.
    holds_until: Timestamp,
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
    policy: Policy,
    state: LedgerState,
    wallets: Wallets,
    /// Whether other nodes send their requests here.
    is_preferred: bool,
    /// Whether turns can end while the log is away, so that an overdraft is of use to them.
    serves_without_log: bool,
    /// The offset behind the last record applied.
    end: Offset,
    /// Whether nothing is in doubt since the log was last read to its end.
    is_synced: bool,
    jobs: Vec<Job>,
    pending: Option<PendingAppend>,
    replies: Vec<(Ticket, LedgerReply)>,
    paused_until: Timestamp,
    failures_in_a_row: u32,
    /// Until when an owner that is not preferred makes no call for requests.
    gives_way_until: Timestamp,
    is_calling: bool,
    last_call: CallNumber,
    call_began: Timestamp,
    conflicts: u64,
    overdraft: OwnOverdraft,
    fencing: Fencing,
    typical_turn: TypicalTurn,
    /// Nodes that can witness an overdraft now, the foremost first.
    witnesses: Rc<[Witness]>,
    inquiries: Vec<WitnessQuery>,
}

impl PartitionOwner {
    /// An owner that has read nothing. `name` is written to the log; no other owner of the
    /// partition may ever bear it, nor an earlier start of the same node.
    pub fn new(name: String) -> Self {
        Self::with_policy(name, Policy::default())
    }

    /// The same with other mechanisms in use.
    pub fn with_policy(name: String, policy: Policy) -> Self {
        Self {
            policy,
            state: LedgerState::default(),
            wallets: Wallets::new(name),
            is_preferred: true,
            serves_without_log: true,
            end: Offset(0),
            is_synced: false,
            jobs: Vec::new(),
            pending: None,
            replies: Vec::new(),
            paused_until: Timestamp::default(),
            failures_in_a_row: 0,
            gives_way_until: Timestamp::default(),
            is_calling: false,
            last_call: CallNumber::default(),
            call_began: Timestamp::default(),
            conflicts: 0,
            overdraft: OwnOverdraft::new(),
            fencing: Fencing::default(),
            typical_turn: TypicalTurn::default(),
            witnesses: Rc::default(),
            inquiries: Vec::new(),
        }
    }

    /// Takes a request; its reply comes from [`Self::take_replies`].
    ///
    /// While the log is down, one request at a time waits for a call that finds out whether it
    /// still is, and requests that ask for it wait for [`HOLD_WHILE_DOWN`]; the others are answered
    /// at once, from memory or with "unavailable".
    pub fn submit(&mut self, now: Timestamp, ticket: Ticket, request: LedgerRequest) {
        let is_held = matches!(&request, LedgerRequest::Finish(finish) if finish.waits);
        let hold = if is_held {
            HOLD_WHILE_DOWN
        } else {
            Duration::ZERO
        };
        self.submit_held(now, ticket, request, now + hold);
    }

    fn submit_held(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        request: LedgerRequest,
        holds_until: Timestamp,
    ) {
        if let LedgerRequest::Finish(finish) = &request {
            self.abandon(&finish.program, &finish.turn);
        }
        let at_once = self.answer_at_once(now, &request);
        if at_once.is_none() {
            self.activate_overdraft(now);
        }
        let may_wait = self.overdraft.is_activating();
        let is_held = now < holds_until;
        let is_busy = self.is_calling || now < self.paused_until;
        let must_not_wait = !may_wait && !is_held && is_busy;
        let reply = match at_once {
            Some(reply) => Some(reply),
            None if self.is_down() && must_not_wait => Some(LedgerReply::Unavailable),
            None if self.gives_way(now) => Some(LedgerReply::Unavailable),
            None => None,
        };
        match reply {
            Some(reply) => self.replies.push((ticket, reply)),
            None => self.jobs.push(Job {
                ticket,
                request,
                verified: false,
                came_after: self.last_call,
                holds_until,
            }),
        }
    }

    fn answer_at_once(&mut self, now: Timestamp, request: &LedgerRequest) -> Option<LedgerReply> {
        let credit = self.credit(now);
        answer_at_once(&self.state, &mut self.wallets, now, credit, request)
    }

    fn credit(&self, now: Timestamp) -> Credit {
        match self.own_overdraft() {
            Some(own) if own.superseded.is_none() && self.overdraft.is_usable(now) => {
                Credit::Overdraft {
                    share: own.share,
                    min_budget: own.min_budget,
                    known_programs: own.known_programs,
                }
            }
            _ => Credit::None,
        }
    }

    /// Whether the partition is left to another owner, since the log has just come back.
    fn gives_way(&self, now: Timestamp) -> bool {
        !self.is_preferred && now < self.gives_way_until
    }

    /// Notes that the call under way takes longer than [`super::SLOW_CALL`].
    pub fn note_slow_call(&mut self, now: Timestamp) {
        self.overdraft.note_trouble();
        if !self.jobs.is_empty() {
            self.activate_overdraft(now);
        }
        self.answer_jobs(now);
    }

    /// Answers those of the waiting requests that need no call any more, and those that wait in
    /// vain while the log is down.
    fn answer_jobs(&mut self, now: Timestamp) {
        let is_hopeless = self.is_down() && !self.overdraft.is_activating();
        for job in std::mem::take(&mut self.jobs) {
            let reply = match self.answer_at_once(now, &job.request) {
                Some(reply) => reply,
                None if is_hopeless && !self.must_keep(now, &job) => LedgerReply::Unavailable,
                None => {
                    self.jobs.push(job);
                    continue;
                }
            };
            self.note_answered(job.ticket, &job.request);
            self.replies.push((job.ticket, reply));
        }
    }

    /// Whether a request waits though the log is down: an append under way may bring its answer, or
    /// it asks for that.
    fn must_keep(&self, now: Timestamp, job: &Job) -> bool {
        now < job.holds_until || self.is_in_append(job.ticket)
    }

    fn is_in_append(&self, ticket: Ticket) -> bool {
        let replies = self.pending.iter().flat_map(|pending| &pending.replies);
        replies.into_iter().any(|(other, _)| *other == ticket)
    }

    /// What an append under way was to bring a request has been given to it already.
    fn note_answered(&mut self, ticket: Ticket, request: &LedgerRequest) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        pending.replies.retain(|(other, _)| *other != ticket);
        if let LedgerRequest::Begin(begin) = request {
            let started = &mut pending.plan.started;
            started.retain(|(_, turn)| *turn != begin.turn);
        }
    }

    /// Decides anew which of the waiting requests still wait.
    fn submit_jobs_anew(&mut self, now: Timestamp) {
        for job in std::mem::take(&mut self.jobs) {
            self.submit_held(now, job.ticket, job.request, job.holds_until);
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

    /// Tells whether any turn that may be asked for can end while the log is away. One that is to be
    /// kept cannot: whatever it drew on an overdraft would be spent in vain, and a lost overdraft
    /// holds budgets back.
    pub fn set_serves_without_log(&mut self, serves: bool) {
        self.serves_without_log = serves;
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
        self.fence_others(now);
        let action = self.choose_action(now);
        self.is_calling = !matches!(action, Action::Wait { .. });
        if self.is_calling {
            self.note_call(now);
        }
        action
    }

    fn note_call(&mut self, now: Timestamp) {
        self.call_began = now;
        self.last_call = self.last_call.next();
    }

    fn choose_action(&mut self, now: Timestamp) -> Action {
        let settles_from = self
            .wallets
            .closing_since()
            .map(|since| since + self.hold_back());
        let must_settle = settles_from.is_some_and(|from| from <= now);
        let must_append = must_settle || self.must_change_overdrafts(now);
        let prepares_from = self.prepares_from(now);
        let must_prepare = prepares_from.is_some_and(|from| from <= now);
        if self.jobs.is_empty() && !must_append && !must_prepare {
            let idle_from = self
                .wallets
                .first_idle()
                .map(|last| last + self.idle_time());
            let closes_from = self.overdraft.closes_from();
            let asks_from = self
                .is_preferred
                .then(|| self.fencing.next_round(&self.state));
            let times = [
                settles_from,
                idle_from,
                closes_from,
                prepares_from,
                asks_from.flatten(),
            ];
            let until = times.into_iter().flatten().min();
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
        self.decide(now, must_append || must_prepare)
    }

    /// From when on the partition is read and an overdraft opened though nobody asks; `None` if
    /// that is done or not for this owner to do.
    fn prepares_from(&self, now: Timestamp) -> Option<Timestamp> {
        let is_wanted = self.policy.preparation && self.is_preferred;
        let is_ready = self.is_synced && !self.may_open_overdraft(now, &[]);
        let pause = if self.is_down() {
            PREPARATION_PAUSE
        } else {
            Duration::ZERO
        };
        (is_wanted && !is_ready).then(|| self.paused_until + pause)
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

    fn decide(&mut self, now: Timestamp, must_append: bool) -> Action {
        let mut plan = Plan::new(&self.state, self.wallets.settlements());
        self.note_undecided(now, &mut plan);
        plan.has_extra = self.policy.advances;
        plan.cover(&self.state, &mut self.wallets);
        let mut appended = Vec::new();
        let mut must_verify = false;
        let mut undecided = std::mem::take(&mut self.jobs).into_iter();
        while !plan.is_full()
            && let Some(job) = undecided.next()
        {
            // What another request has brought about may suffice for this one.
            if let Some(reply) = self.answer_at_once(now, &job.request) {
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
        if appended.is_empty() && !must_append {
            return self.verify_or_wait(must_verify);
        }
        self.plan_overdraft_changes(now, &mut plan);
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
            self.note_answer(now);
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
                self.note_answer(now);
                self.abort_closing(&pending.plan);
                self.conflicts += 1;
                self.is_synced = false;
            }
            AppendOutcome::Refused => {
                self.abort_closing(&pending.plan);
                self.pause(now);
            }
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
            self.note_turn_size(ticket);
            self.jobs.retain(|job| job.ticket != ticket);
            self.replies.push((ticket, reply));
        }
        self.refresh_overdraft();
        self.verify_jobs(self.last_call);
    }

    fn note_turn_size(&mut self, ticket: Ticket) {
        let job = self.jobs.iter().find(|job| job.ticket == ticket);
        let Some(LedgerRequest::Begin(begin)) = job.map(|job| &job.request) else {
            return;
        };
        if begin.budget.is_some() {
            self.typical_turn.note(begin.tokens);
        }
    }

    fn note_answer(&mut self, now: Timestamp) {
        self.note_answered_call(now, self.last_call);
    }

    /// The log has answered a call; an earlier one than the last was surely slow.
    fn note_answered_call(&mut self, now: Timestamp, call: CallNumber) {
        if self.is_down() {
            self.gives_way_until = now + GIVES_WAY_FOR;
        }
        self.failures_in_a_row = 0;
        let took = if call == self.last_call {
            now.since(self.call_began)
        } else {
            SLOW_CALL_THRESHOLD
        };
        self.overdraft.note_answer(now, took);
    }

    /// A call has shown where the log ended at some time since it began.
    fn verify_jobs(&mut self, call: CallNumber) {
        for job in &mut self.jobs {
            job.verified |= call > job.came_after;
        }
    }

    fn apply(&mut self, now: Timestamp, record: LedgerRecord) {
        self.wallets.note_record(now, &record);
        self.state.apply(now, record);
        self.end = self.end.next();
    }

    /// The call under way, or else the last one.
    pub fn last_call(&self) -> CallNumber {
        self.last_call
    }

    /// Reports how [`Action::Read`] ended.
    pub fn on_read(&mut self, now: Timestamp, outcome: ReadOutcome) {
        self.on_answered_read(now, self.last_call, outcome);
    }

    /// Reports how [`Action::Read`] ended, if it was answered by an earlier call from the same
    /// offset on, which had been given up already.
    pub fn on_answered_read(&mut self, now: Timestamp, call: CallNumber, outcome: ReadOutcome) {
        self.is_calling = false;
        match outcome {
            ReadOutcome::Records { records, end } => {
                self.note_answered_call(now, call);
                self.take_records(now, call, records, end);
                if self.gives_way(now) {
                    self.submit_jobs_anew(now);
                }
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

    fn take_records(
        &mut self,
        now: Timestamp,
        call: CallNumber,
        records: Vec<Option<LedgerRecord>>,
        end: Offset,
    ) {
        for record in records {
            match record {
                Some(record) => self.apply(now, record),
                None => self.end = self.end.next(),
            }
        }
        self.is_synced = self.end >= end;
        if self.is_synced {
            self.refresh_overdraft();
            self.verify_jobs(call);
        }
    }

    /// Drops what was last touched longer ago than `retention`.
    pub fn expire(&mut self, now: Timestamp, retention: Duration) {
        self.state.expire(now, retention);
        // What was read of an overdraft may lack its terms.
        if self.is_synced {
            self.refresh_overdraft();
        }
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
        self.note_call(now);
        Some(Action::Append {
            at: self.end,
            records,
        })
    }

    /// After a failed call: a pause, and no more waiting once the log is taken to be down.
    fn pause(&mut self, now: Timestamp) {
        self.overdraft.note_trouble();
        self.failures_in_a_row += 1;
        if !self.is_down() {
            self.paused_until = now + FAILURE_PAUSE;
            return;
        }
        self.paused_until = now + DOWN_PAUSE;
        self.submit_jobs_anew(now);
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
