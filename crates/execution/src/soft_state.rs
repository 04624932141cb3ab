//! What only the present owner knows and a takeover may forget.

mod answer;
mod call_notes;
mod callers;
mod queue;
mod reads;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use elderworks_protocol::journal::{CallTerms, JournalBody};
use elderworks_protocol::sidecar::{Delivered, SubmissionId};
use elderworks_types::{
    Attempt, CallId, CallNumber, CallSpec, Credits, EngineId, FailureReason, PartitionId, RunId,
    RunPhase, RunSpec, Sequence, TenantId, Timestamp,
};

use crate::ExecutionSettings;
use crate::event::Connection;
use crate::retry::RetryBudget;

pub(crate) use answer::{AnswerBuffer, ChunkOrder};
pub(crate) use call_notes::CallNoteStore;
pub(crate) use callers::Callers;
pub(crate) use queue::CallQueue;
pub(crate) use reads::{PendingRead, ReadQueue};

/// The owner's working state.
#[derive(Debug)]
pub(crate) struct SoftState {
    /// Own records appended at the present epoch and not yet read back, in order.
    pub in_flight: VecDeque<JournalBody>,
    /// The release in progress, if this node is handing the partition over.
    pub release: Option<ReleaseProgress>,
    /// Runs whose start was appended.
    pub starting: BTreeMap<RunId, PendingStart>,
    /// Calls that arrived and were not accepted yet.
    pub queue: CallQueue,
    /// Work of runs that have any.
    pub runs: BTreeMap<RunId, RunActivity>,
    /// What calls on their way into the journal are about to reserve of each tenant's allotment.
    pub accepting: BTreeMap<TenantId, Credits>,
    /// When to look at a run again.
    pub timers: BTreeSet<(Timestamp, RunId)>,
    /// Allotments asked for.
    pub requests: BTreeMap<TenantId, AllotmentRequest>,
    /// Grants appended and not yet read back.
    pub granting: BTreeMap<(TenantId, PartitionId), Sequence>,
    /// Memory of ended runs being released.
    pub memory: BTreeMap<RunId, MemoryRelease>,
    /// Bounds retries.
    pub retry: RetryBudget,
    /// Reads that wait until this node knows that it still owns the partition.
    pub reads: ReadQueue,
    /// Refusals that are on their way into the journal.
    pub refusing: BTreeMap<(CallId, SubmissionId), BTreeSet<Connection>>,
    /// Whether a forgetting of runs is on its way.
    pub forget_in_flight: bool,
    /// What `explain` shows beyond the journal.
    pub notes: CallNoteStore,
}

impl SoftState {
    /// An owner that has just begun.
    pub fn new(settings: &ExecutionSettings) -> Self {
        Self {
            in_flight: VecDeque::new(),
            release: None,
            starting: BTreeMap::new(),
            queue: CallQueue::default(),
            runs: BTreeMap::new(),
            accepting: BTreeMap::new(),
            timers: BTreeSet::new(),
            requests: BTreeMap::new(),
            granting: BTreeMap::new(),
            memory: BTreeMap::new(),
            retry: RetryBudget::new(settings),
            reads: ReadQueue::default(),
            refusing: BTreeMap::new(),
            forget_in_flight: false,
            notes: CallNoteStore::new(settings.max_call_notes),
        }
    }

    /// The work of a run, begun if there was none.
    pub fn activity(&mut self, run: RunId, now: Timestamp) -> &mut RunActivity {
        self.runs
            .entry(run)
            .or_insert_with(|| RunActivity::new(now))
    }

    /// The open call, if it has this number.
    pub fn open(&mut self, run: RunId, number: CallNumber) -> Option<&mut OpenCall> {
        let open = self.runs.get_mut(&run)?.open.as_mut()?;
        (open.number == number).then_some(open)
    }

    /// At most how many calls are waiting, being accepted or open.
    pub fn call_count(&self) -> usize {
        self.queue.len() + self.runs.len()
    }

    /// What calls on their way into the journal are about to reserve of a tenant's allotment.
    pub fn accepting_reservations(&self, tenant: &TenantId) -> Credits {
        self.accepting.get(tenant).copied().unwrap_or_default()
    }

    /// Notes a call whose acceptance was appended.
    pub fn begin_accepting(&mut self, run: RunId, accepting: Accepting) {
        if let Some(tenant) = &accepting.tenant {
            *self.accepting.entry(tenant.clone()).or_default() += accepting.reserved;
        }
        if let Some(activity) = self.runs.get_mut(&run) {
            activity.accepting = Some(accepting);
        }
    }

    /// The run's call whose acceptance was read back.
    pub fn finish_accepting(&mut self, run: RunId) -> Option<Accepting> {
        let accepting = self.runs.get_mut(&run)?.accepting.take()?;
        if let Some(tenant) = &accepting.tenant {
            let total = self.accepting.entry(tenant.clone()).or_default();
            *total = total.saturating_sub(accepting.reserved);
            if *total == Credits::ZERO {
                self.accepting.remove(tenant);
            }
        }
        Some(accepting)
    }
}

/// A release under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReleaseProgress {
    /// When it was asked for.
    pub since: Timestamp,
    /// Whether its record was appended.
    pub appended: bool,
}

/// A run whose start was appended.
#[derive(Debug)]
pub(crate) struct PendingStart {
    /// What it starts.
    pub spec: RunSpec,
    /// Who asked.
    pub connections: BTreeSet<Connection>,
}

/// Work of one run.
#[derive(Debug)]
pub(crate) struct RunActivity {
    /// The call whose acceptance was appended.
    pub accepting: Option<Accepting>,
    /// The call that is open in the journal.
    pub open: Option<OpenCall>,
    /// How the run is to end.
    pub ending: Option<RunEnding>,
    /// Since when no call is open.
    pub idle_since: Timestamp,
}

impl RunActivity {
    fn new(now: Timestamp) -> Self {
        Self {
            accepting: None,
            open: None,
            ending: None,
            idle_since: now,
        }
    }

    /// Whether there is nothing to remember.
    pub fn is_idle(&self) -> bool {
        self.accepting.is_none() && self.open.is_none() && self.ending.is_none()
    }
}

/// A call that arrived.
#[derive(Debug)]
pub(crate) struct Submission {
    /// The call as made.
    pub spec: CallSpec,
    /// Prices and limits.
    pub terms: CallTerms,
    /// Who waits for it.
    pub callers: Callers,
    /// When it arrived.
    pub received: Timestamp,
    /// How many calls directly before it will not be made.
    pub abandoned_before: u32,
    /// Since when its tenant's allotment keeps it waiting.
    pub awaiting_allotment_since: Option<Timestamp>,
}

/// A call whose acceptance was appended.
#[derive(Debug)]
pub(crate) struct Accepting {
    /// The call.
    pub submission: Submission,
    /// What it is about to reserve.
    pub reserved: Credits,
    /// When it was appended.
    pub since: Timestamp,
    /// The tenant, where its budget is drawn on.
    pub tenant: Option<TenantId>,
}

/// A call that is open in the journal.
#[derive(Debug)]
pub(crate) struct OpenCall {
    /// Its number within the run.
    pub number: CallNumber,
    /// Where it stands.
    pub stage: Stage,
    /// Who waits for it.
    pub callers: Callers,
    /// What of the answer has come.
    pub answer: AnswerBuffer,
    /// What a caller said it holds, before anything was dispatched here.
    pub delivered: Delivered,
    /// Whether an attempt before the present one may have run.
    pub may_have_run: bool,
    /// Whether an earlier owner left it behind.
    pub recovered: bool,
}

impl OpenCall {
    /// A call at the beginning of its work here.
    pub fn new(number: CallNumber, callers: Callers) -> Self {
        Self {
            number,
            stage: Stage::Idle,
            callers,
            answer: AnswerBuffer::default(),
            delivered: Delivered::default(),
            may_have_run: false,
            recovered: false,
        }
    }
}

/// Where an open call stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Nothing was begun.
    Idle,
    /// The start of an attempt was appended; it goes out once that is read back.
    Intent {
        /// Which attempt.
        attempt: Attempt,
        /// When it was appended.
        since: Timestamp,
    },
    /// An attempt was taken back from placement, which may just have sent it.
    Withdrawn(Attempt),
    /// An attempt is out.
    Running(RunningAttempt),
    /// The next attempt waits for its time.
    Backoff(RetryPlan),
    /// The reservation of the next attempt was appended.
    Reserving,
    /// The caller is given time to say what it holds of the answer.
    AwaitingCaller {
        /// Until when.
        due_at: Timestamp,
        /// The retry to make then.
        retry: RetryPlan,
    },
    /// The end was appended, or the partition is being handed over.
    Closing,
}

/// An attempt that is out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RunningAttempt {
    /// Which.
    pub attempt: Attempt,
    /// How it came about.
    pub origin: AttemptOrigin,
    /// When its back end got it; `None` while placement holds it.
    pub sent: Option<Timestamp>,
}

/// How an attempt came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptOrigin {
    /// It was dispatched here.
    Dispatched,
    /// It was taken up from an earlier owner.
    Resumed,
    /// A tool was asked what became of it.
    Queried,
}

/// A retry that waits for its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RetryPlan {
    /// When to try.
    pub due_at: Timestamp,
    /// Since when it waits.
    pub since: Timestamp,
    /// Cost of all attempts so far.
    pub spent: Credits,
    /// How the last attempt failed.
    pub reason: FailureReason,
    /// What to tell the caller if this is given up.
    pub retry_after: Option<Duration>,
    /// Whether the retry is owed to a lost owner rather than to a back end, and so is free of the
    /// limits on retries.
    pub for_recovery: bool,
}

/// How a run is to end.
#[derive(Debug)]
pub(crate) struct RunEnding {
    /// The phase to reach.
    pub phase: RunPhase,
    /// Who asked.
    pub connections: BTreeSet<Connection>,
    /// Whether the record was appended.
    pub appended: bool,
}

/// An allotment asked for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AllotmentRequest {
    /// Its number.
    pub request: Sequence,
    /// How much was asked for.
    pub amount: Credits,
    /// When to ask again.
    pub repeat_at: Timestamp,
    /// Whether the grant was appended.
    pub receiving: bool,
    /// Whether the holder had nothing to give.
    pub denied: bool,
}

/// Release of an ended run's memory.
#[derive(Debug)]
pub(crate) struct MemoryRelease {
    /// Engines that have not acknowledged.
    pub engines: BTreeSet<EngineId>,
    /// When to send again.
    pub repeat_at: Timestamp,
    /// The wait after that.
    pub backoff: Duration,
    /// Whether the end of the release was appended.
    pub appended: bool,
}
