//! State of the current owner that isn't journalled and is lost on a takeover.

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

/// The current owner's state that isn't journalled.
#[derive(Debug)]
pub(crate) struct SoftState {
    /// Own records appended in the current epoch and not yet read back, in order.
    pub in_flight: VecDeque<JournalBody>,
    /// Progress of the release of the partition, if one was requested.
    pub release: Option<ReleaseProgress>,
    /// Runs whose start was appended and not yet read back.
    pub starting: BTreeMap<RunId, PendingStart>,
    /// Submitted calls that are not yet accepted.
    pub queue: CallQueue,
    /// Activity of runs with waiting calls, an open call or an end in progress.
    pub runs: BTreeMap<RunId, RunActivity>,
    /// Credits of each tenant's allotment reserved by acceptances that are not yet read back.
    pub accepting: BTreeMap<TenantId, Credits>,
    /// Times at which a run has to be checked again.
    pub timers: BTreeSet<(Timestamp, RunId)>,
    /// Pending requests for allotments.
    pub requests: BTreeMap<TenantId, AllotmentRequest>,
    /// Grants appended and not yet read back, with the number of the request.
    pub granting: BTreeMap<(TenantId, PartitionId), Sequence>,
    /// Releases of ended runs' engine memory that are not yet acknowledged by every engine.
    pub memory: BTreeMap<RunId, MemoryRelease>,
    pub retry: RetryBudget,
    /// Reads that wait for confirmation that this node still owns the partition.
    pub reads: ReadQueue,
    /// Refusals appended and not yet read back, with the connections to notify.
    pub refusing: BTreeMap<(CallId, SubmissionId), BTreeSet<Connection>>,
    /// Whether a record that removes ended runs was appended and not yet read back.
    pub forget_in_flight: bool,
    /// Notes on calls, shown by `explain`.
    pub notes: CallNoteStore,
}

impl SoftState {
    /// Creates the state of a new owner.
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

    /// Returns the activity of a run; inserts an empty one if there is none.
    pub fn activity(&mut self, run: RunId, now: Timestamp) -> &mut RunActivity {
        self.runs
            .entry(run)
            .or_insert_with(|| RunActivity::new(now))
    }

    /// Returns the run's open call if it has this number.
    pub fn open(&mut self, run: RunId, number: CallNumber) -> Option<&mut OpenCall> {
        let open = self.runs.get_mut(&run)?.open.as_mut()?;
        (open.number == number).then_some(open)
    }

    /// Returns an upper bound on the number of calls that are waiting, being accepted or open.
    pub fn call_count(&self) -> usize {
        self.queue.len() + self.runs.len()
    }

    /// Returns the credits of a tenant's allotment reserved by acceptances that are not yet read back.
    pub fn accepting_reservations(&self, tenant: &TenantId) -> Credits {
        self.accepting.get(tenant).copied().unwrap_or_default()
    }

    /// Records that the acceptance of a call was appended.
    pub fn start_accepting(&mut self, run: RunId, accepting: Accepting) {
        if let Some(tenant) = &accepting.tenant {
            *self.accepting.entry(tenant.clone()).or_default() += accepting.reserved;
        }
        if let Some(activity) = self.runs.get_mut(&run) {
            activity.accepting = Some(accepting);
        }
    }

    /// Removes and returns the run's call whose acceptance was read back.
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

/// Progress of a release of the partition.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReleaseProgress {
    /// Time of the request.
    pub since: Timestamp,
    /// Whether the release record was appended.
    pub appended: bool,
}

/// A run whose start was appended and not yet read back.
#[derive(Debug)]
pub(crate) struct PendingStart {
    /// Specification of the run.
    pub spec: RunSpec,
    /// Connections to notify.
    pub connections: BTreeSet<Connection>,
}

/// Calls and end of one run that are in progress.
#[derive(Debug)]
pub(crate) struct RunActivity {
    /// The call whose acceptance was appended and not yet read back.
    pub accepting: Option<Accepting>,
    /// The call that is open in the journal, if there is one.
    pub open: Option<OpenCall>,
    /// The run's end, if one is in progress.
    pub ending: Option<RunEnding>,
    /// Time since which no call has been open.
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

    /// Returns whether nothing is in progress.
    pub fn is_idle(&self) -> bool {
        self.accepting.is_none() && self.open.is_none() && self.ending.is_none()
    }
}

/// A submitted call.
#[derive(Debug)]
pub(crate) struct Submission {
    /// The call as submitted.
    pub spec: CallSpec,
    /// Prices and timeout of the call's service.
    pub terms: CallTerms,
    /// Connections that wait for the call.
    pub callers: Callers,
    /// Time of arrival.
    pub received: Timestamp,
    /// Number of calls directly before this one that the sidecar has abandoned.
    pub abandoned_before: u32,
    /// Time since which the call has been waiting for its tenant's allotment.
    pub awaiting_allotment_since: Option<Timestamp>,
}

/// A call whose acceptance was appended and not yet read back.
#[derive(Debug)]
pub(crate) struct Accepting {
    pub submission: Submission,
    /// Credits to reserve.
    pub reserved: Credits,
    /// Time of the append.
    pub since: Timestamp,
    /// The tenant, if the call is charged to the tenant's budget.
    pub tenant: Option<TenantId>,
}

/// The owner's state of a call that is open in the journal.
#[derive(Debug)]
pub(crate) struct OpenCall {
    /// Number of the call within its run.
    pub number: CallNumber,
    /// Current stage.
    pub stage: Stage,
    /// Connections that wait for the call.
    pub callers: Callers,
    /// Part of the answer received from back ends so far.
    pub answer: AnswerBuffer,
    /// Longest part of the answer that a caller reported to have received.
    pub delivered: Delivered,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Whether the call was accepted by a previous owner.
    pub recovered: bool,
}

impl OpenCall {
    /// Creates a call without attempts.
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

/// Stage of an open call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// No attempt was started by this owner.
    Idle,
    /// The start of an attempt was appended; the attempt is sent once the record is read back.
    Intent {
        attempt: Attempt,
        /// Time of the append.
        since: Timestamp,
    },
    /// An attempt was withdrawn from placement, which may have sent it at the same time.
    Withdrawn(Attempt),
    /// An attempt was passed to placement or to a back end.
    Running(RunningAttempt),
    /// The call waits until the next attempt is due.
    Backoff(RetryPlan),
    /// The reservation of the next attempt was appended and not yet read back.
    Reserving,
    /// The call waits for its caller to report which part of the answer it has received.
    AwaitingCaller {
        /// End of the wait.
        due_at: Timestamp,
        /// The retry to make after the wait.
        retry: RetryPlan,
    },
    /// The end of the call or the release of the partition was appended.
    Closing,
}

/// An attempt that was passed to placement or to a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RunningAttempt {
    pub attempt: Attempt,
    /// How the attempt was started.
    pub origin: AttemptOrigin,
    /// Time at which it was sent to its back end; `None` while it is in placement.
    pub sent: Option<Timestamp>,
}

/// How an attempt was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptOrigin {
    /// Dispatched by this owner.
    Dispatched,
    /// Started by a previous owner and resumed by this one.
    Resumed,
    /// Sent to a tool earlier; the tool was queried for its result.
    Queried,
}

/// A planned retry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RetryPlan {
    /// Time of the retry.
    pub due_at: Timestamp,
    /// Time at which the retry was planned.
    pub since: Timestamp,
    /// Total cost of the attempts so far.
    pub spent: Credits,
    /// Reason of the last failure.
    pub reason: FailureReason,
    /// Delay to report to the caller if the call is refused instead.
    pub retry_after: Option<Duration>,
    /// Whether the retry is caused by a change of owner rather than by a back end. Such a retry is
    /// exempt from the attempt limit and the retry budget.
    pub for_recovery: bool,
}

/// A run's end that is in progress.
#[derive(Debug)]
pub(crate) struct RunEnding {
    /// Phase that the run will have after its end.
    pub phase: RunPhase,
    /// Connections to notify.
    pub connections: BTreeSet<Connection>,
    /// Whether the end record was appended.
    pub appended: bool,
}

/// A pending request for an allotment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AllotmentRequest {
    pub request: Sequence,
    /// Requested credits.
    pub amount: Credits,
    /// Time at which to repeat the request.
    pub repeat_at: Timestamp,
    /// Whether the received grant was appended and not yet read back.
    pub receiving: bool,
    /// Whether the holder answered that nothing is left.
    pub denied: bool,
}

/// Release of an ended run's memory on its engines.
#[derive(Debug)]
pub(crate) struct MemoryRelease {
    /// Engines that haven't acknowledged the release.
    pub engines: BTreeSet<EngineId>,
    /// Time at which to repeat the release.
    pub repeat_at: Timestamp,
    /// Delay between that repetition and the next one.
    pub backoff: Duration,
    /// Whether the completion of the release was appended.
    pub appended: bool,
}
