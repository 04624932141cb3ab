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

pub use view::RunSummary;

use std::collections::BTreeMap;

use elderworks_protocol::journal::JournalBody;
use elderworks_protocol::record::Writer;
use elderworks_protocol::sidecar::NodeMessage;
use elderworks_types::{
    Credits, EngineId, Epoch, Offset, PartitionId, ResourceName, RunId, TenantId, Timestamp,
};

use crate::event::Connection;
use crate::soft::Soft;
use crate::state::{JournalState, Loader};
use crate::{Counters, Effect, Event, ExecutionSettings};

/// One partition, as one node sees it: follower or owner.
pub struct Partition {
    id: PartitionId,
    writer: Writer,
    settings: ExecutionSettings,
    /// What survives.
    journal: JournalState,
    loader: Loader,
    /// The epoch at which this node owns the partition.
    owned: Option<Epoch>,
    /// The wish to own it: whether without waiting for a release.
    claim: Option<bool>,
    /// The epoch that this node's last claim asked for.
    claimed: Option<Epoch>,
    /// Records that counted since the last whole snapshot.
    records_since_snapshot: u64,
    log_reachable: bool,
    /// Limits of the tenants whose budget this partition holds.
    tenant_limits: BTreeMap<TenantId, Credits>,
    /// Where the last whole snapshot begins.
    snapshot_offset: Option<Offset>,
    pending_snapshot: Option<Offset>,
    soft: Soft,
    counters: Counters,
    effects: Vec<Effect>,
}

impl Partition {
    /// A partition of which nothing is known yet, on the node incarnation that `writer` names. Its
    /// records must be stamped with the same writer.
    pub fn new(id: PartitionId, writer: Writer, settings: ExecutionSettings) -> Self {
        Self {
            id,
            writer,
            soft: Soft::new(&settings),
            settings,
            journal: JournalState::default(),
            loader: Loader::Empty,
            owned: None,
            claim: None,
            claimed: None,
            records_since_snapshot: 0,
            log_reachable: true,
            tenant_limits: BTreeMap::new(),
            snapshot_offset: None,
            pending_snapshot: None,
            counters: Counters::default(),
            effects: Vec::new(),
        }
    }

    /// Changes limits and intervals; open calls meet them at their next step.
    pub fn configure(&mut self, settings: ExecutionSettings) {
        self.soft.retry.configure(&settings);
        self.settings = settings;
    }

    /// Which partition it is.
    pub fn id(&self) -> PartitionId {
        self.id
    }

    /// The epoch at which this node owns the partition, if it does.
    pub fn owned(&self) -> Option<Epoch> {
        self.owned
    }

    /// The epoch of the last claim that won, and who won it; `None` after a release.
    pub fn owner(&self) -> (Epoch, Option<&Writer>) {
        let ownership = &self.journal.ownership;
        (ownership.epoch, ownership.owner.as_ref())
    }

    /// Whether the state is whole: read from the stream's beginning, or from a whole snapshot.
    pub fn is_loaded(&self) -> bool {
        matches!(self.loader, Loader::Done)
    }

    /// Whether the snapshot that this reader began with broke off, so that it must be made anew and
    /// fed from an earlier offset.
    pub fn load_failed(&self) -> bool {
        matches!(self.loader, Loader::Failed)
    }

    /// Where the first part of the last whole snapshot is; a new reader may begin there.
    pub fn snapshot_offset(&self) -> Option<Offset> {
        self.snapshot_offset
    }

    /// Hash of all that survives; equal on all readers that have read as far.
    pub fn state_digest(&self) -> u64 {
        self.journal.digest()
    }

    /// Size of all that survives, encoded, in bytes.
    pub fn approximate_bytes(&self) -> usize {
        self.journal.encode().len()
    }

    /// Whether the run is active.
    pub fn is_run_active(&self, run: RunId) -> bool {
        self.journal
            .runs
            .get(&run)
            .is_some_and(|state| state.is_active())
    }

    /// The program of a run.
    pub fn program(&self, run: RunId) -> Option<&ResourceName> {
        self.journal.runs.get(&run).map(|state| &state.spec.program)
    }

    /// Whether the engine rightly holds memory for the run: the run is active and was given to it.
    pub fn holds_memory(&self, run: RunId, engine: &EngineId) -> bool {
        self.journal
            .runs
            .get(&run)
            .is_some_and(|state| state.is_active() && state.engines.contains(engine))
    }

    /// Whether the end of this process now would leave something for the next owner to take up: an
    /// open call, or a record that was not read back. A release does not count: without it the
    /// next owner claims by force.
    pub fn has_unfinished_work(&self) -> bool {
        let mut in_flight = self.soft.in_flight.iter();
        self.soft.call_count() > 0
            || in_flight.any(|body| !matches!(body, JournalBody::Release { .. }))
    }

    /// Counts and sizes as of now.
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

    /// Takes one event and returns what is to be done, in order.
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

    /// Events from back ends and from other partitions.
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

    /// Whether this node owns the partition and is not handing it over.
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

    /// Looks at a run again at a time.
    fn wake_at(&mut self, at: Timestamp, run: RunId) {
        self.soft.timers.insert((at, run));
    }
}

/// The partition that holds a tenant's budget, out of `partition_count`.
pub fn tenant_budget_holder(tenant: &TenantId, partition_count: u32) -> PartitionId {
    let hash = xxhash_rust::xxh3::xxh3_64(tenant.as_str().as_bytes());
    PartitionId((hash % u64::from(partition_count.max(1))) as u32)
}
