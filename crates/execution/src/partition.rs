//! The state machine of one partition.

mod allotments;
mod attempts;
#[cfg(feature = "broken")]
mod broken;
mod ending;
mod failures;
mod intake;
mod memory;
mod ordering;
mod ownership;
mod records;
mod recovery;
mod refusals;
mod release;
mod timers;
mod view;

pub use intake::LOG_RETRY_AFTER;
pub use view::RunSummary;

use std::collections::BTreeMap;

use elderworks_protocol::journal::JournalBody;
use elderworks_protocol::record::Writer;
use elderworks_protocol::sidecar::NodeMessage;
use elderworks_types::{
    Credits, EngineId, Epoch, Offset, PartitionId, ResourceName, RunId, TenantId, Timestamp,
};

use crate::event::Connection;
use crate::soft_state::SoftState;
use crate::state::{JournalState, Loader};
use crate::{Counters, Effect, Event, ExecutionSettings};

/// The state machine of one partition on one node, which follows the partition's stream and may own
/// the partition.
pub struct Partition {
    id: PartitionId,
    writer: Writer,
    settings: ExecutionSettings,
    /// State computed from the partition's stream.
    journal: JournalState,
    loader: Loader,
    /// The epoch at which this node owns the partition.
    owned: Option<Epoch>,
    /// Whether the pending claim is forced; `None` if this node need not claim the partition.
    pending_claim: Option<bool>,
    /// Epoch of this node's claim that is not yet read back.
    claimed_epoch: Option<Epoch>,
    /// Records applied since the last complete snapshot.
    records_since_snapshot: u64,
    log_reachable: bool,
    /// Budget limits of the tenants whose budget this partition holds.
    tenant_limits: BTreeMap<TenantId, Credits>,
    /// Offset of the first part of the last complete snapshot.
    snapshot_offset: Option<Offset>,
    pending_snapshot: Option<Offset>,
    soft: SoftState,
    counters: Counters,
    effects: Vec<Effect>,
}

impl Partition {
    /// Creates a partition that has read nothing yet, for the node incarnation `writer`. The node
    /// must stamp the partition's records with the same writer.
    pub fn new(id: PartitionId, writer: Writer, settings: ExecutionSettings) -> Self {
        Self {
            id,
            writer,
            soft: SoftState::new(&settings),
            settings,
            journal: JournalState::default(),
            loader: Loader::Empty,
            owned: None,
            pending_claim: None,
            claimed_epoch: None,
            records_since_snapshot: 0,
            log_reachable: true,
            tenant_limits: BTreeMap::new(),
            snapshot_offset: None,
            pending_snapshot: None,
            counters: Counters::default(),
            effects: Vec::new(),
        }
    }

    /// Replaces the settings; they apply to open calls from their next step.
    pub fn configure(&mut self, settings: ExecutionSettings) {
        self.soft.retry.configure(&settings);
        self.settings = settings;
    }

    /// Returns the id of the partition.
    pub fn id(&self) -> PartitionId {
        self.id
    }

    /// Returns the epoch at which this node owns the partition, if it does.
    pub fn owned_epoch(&self) -> Option<Epoch> {
        self.owned
    }

    /// Returns the epoch of the last successful claim, and its writer unless the partition was
    /// released since.
    pub fn owner(&self) -> (Epoch, Option<&Writer>) {
        let ownership = &self.journal.ownership;
        (ownership.epoch, ownership.owner.as_ref())
    }

    /// Returns whether the state is complete, that is, loaded from a complete snapshot or read from
    /// the start of the stream.
    pub fn is_loaded(&self) -> bool {
        matches!(self.loader, Loader::Done)
    }

    /// Returns whether the snapshot from which this reader started is incomplete or unreadable. The
    /// caller then has to create a new partition and feed it from an earlier offset.
    pub fn load_failed(&self) -> bool {
        matches!(self.loader, Loader::Failed)
    }

    /// Returns the offset of the first part of the last complete snapshot, from which a new reader
    /// can start.
    pub fn snapshot_offset(&self) -> Option<Offset> {
        self.snapshot_offset
    }

    /// Returns a hash of the durable state; readers at the same offset have equal hashes.
    pub fn state_digest(&self) -> u64 {
        self.journal.digest()
    }

    /// Returns the size of the encoded durable state in bytes.
    pub fn encoded_size(&self) -> usize {
        self.journal.encode().len()
    }

    /// Returns whether the run is active.
    pub fn is_run_active(&self, run: RunId) -> bool {
        self.journal
            .runs
            .get(&run)
            .is_some_and(|state| state.is_active())
    }

    /// Returns the program of a run.
    pub fn program(&self, run: RunId) -> Option<&ResourceName> {
        self.journal.runs.get(&run).map(|state| &state.spec.program)
    }

    /// Returns whether the engine may hold memory for the run: the run is active and one of its
    /// calls was sent to this engine.
    pub fn may_hold_memory(&self, run: RunId, engine: &EngineId) -> bool {
        self.journal
            .runs
            .get(&run)
            .is_some_and(|state| state.is_active() && state.engines.contains(engine))
    }

    /// Returns whether a shutdown would leave work to the next owner: an open call, or a record
    /// that was not read back. A pending release doesn't count, since the next owner can claim
    /// without it.
    pub fn has_unfinished_work(&self) -> bool {
        let mut in_flight = self.soft.in_flight.iter();
        self.soft.call_count() > 0
            || in_flight.any(|body| !matches!(body, JournalBody::Release { .. }))
    }

    /// Returns the counters and current sizes.
    pub fn counters(&self) -> Counters {
        Counters {
            runs: self.journal.runs.len() as u64,
            open_calls: self.soft.call_count() as u64,
            unreleased_runs: self.journal.unreleased.len() as u64,
            timers: self.soft.timers.len() as u64,
            records_in_flight: self.soft.in_flight.len() as u64,
            ..self.counters
        }
    }

    /// Processes one event and returns the effects to carry out, in order.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        match event {
            Event::RecordRead { offset, record } => self.on_record_read(now, offset, record),
            Event::Claim { forced } => self.on_claim(now, forced),
            Event::Release => self.on_release(now),
            Event::LogReachable(reachable) => self.on_log_reachable(now, reachable),
            Event::StartRun {
                connection,
                spec,
                limits,
            } => self.on_start_run(now, connection, spec, limits),
            Event::SubmitCall(call) => self.on_submit_call(now, call),
            Event::Acknowledge { .. } => {}
            Event::ReadRun {
                connection,
                query,
                tenant,
                run,
            } => self.on_read_run(connection, query, &tenant, run),
            Event::EndRun {
                connection,
                tenant,
                run,
            } => self.on_end_run(now, connection, &tenant, run),
            Event::ConnectionClosed { connection } => self.on_connection_closed(connection),
            Event::TakeSnapshot => self.on_take_snapshot(),
            Event::Tick => self.on_tick(now),
            other => self.handle_report(now, other),
        }
        std::mem::take(&mut self.effects)
    }

    /// Handles events from back ends and from other partitions.
    fn handle_report(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::AttemptPlaced {
                call,
                attempt,
                engine,
                note,
            } => self.on_attempt_placed(now, call, attempt, engine, note),
            Event::AttemptRefused {
                call,
                attempt,
                refusal,
            } => self.on_attempt_refused(now, call, attempt, refusal),
            Event::AttemptChunk {
                call,
                attempt,
                index,
                text,
            } => self.on_attempt_chunk(now, call, attempt, index, &text),
            Event::AttemptCompleted {
                call,
                attempt,
                content,
                usage,
            } => self.on_attempt_completed(now, call, attempt, content, usage),
            Event::AttemptFailed {
                call,
                attempt,
                failure,
            } => self.on_attempt_failed(now, call, attempt, failure),
            Event::MemoryReleased { run, engine } => self.on_memory_released(run, &engine),
            Event::EngineGone { engine } => self.on_engine_gone(&engine),
            Event::AllotmentRequested {
                tenant,
                partition,
                request,
                amount,
            } => self.on_allotment_requested(tenant, partition, request, amount),
            Event::AllotmentGranted {
                tenant,
                request,
                amount,
            } => self.on_allotment_granted(now, &tenant, request, amount),
            Event::TenantLimit { tenant, limit } => self.on_tenant_limit(tenant, limit),
            _ => {}
        }
    }

    /// Returns whether this node owns the partition and hasn't appended its release.
    fn is_serving(&self) -> bool {
        let released = self.soft.release.is_some_and(|release| release.appended);
        self.owned.is_some() && !released
    }

    fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    fn send(&mut self, connection: Connection, message: NodeMessage) {
        self.emit(Effect::Send {
            connection,
            message,
        });
    }

    /// Appends a record as the owner.
    fn append(&mut self, body: JournalBody) {
        let Some(epoch) = self.owned else {
            return;
        };
        self.soft.in_flight.push_back(body.clone());
        self.emit(Effect::Append { epoch, body });
    }

    /// Schedules a check of a run.
    fn wake_at(&mut self, at: Timestamp, run: RunId) {
        self.soft.timers.insert((at, run));
    }
}

/// Returns which of `partition_count` partitions holds a tenant's budget.
pub fn tenant_budget_holder(tenant: &TenantId, partition_count: u32) -> PartitionId {
    let hash = xxhash_rust::xxh3::xxh3_64(tenant.as_str().as_bytes());
    PartitionId((hash % u64::from(partition_count.max(1))) as u32)
}
