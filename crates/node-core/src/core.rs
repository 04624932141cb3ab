//! Composition of the state machines of a node.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use elderworks_control::{Control, Watches};
use elderworks_execution::{self as execution, ExecutionSettings};
use elderworks_logstream as logstream;
use elderworks_membership::settings::{PROBE_INTERVAL, PROBE_TIMEOUT, SUSPICION_TIMEOUT};
use elderworks_membership::{self as membership, Membership, MembershipSettings};
use elderworks_placement::{self as placement, Placement, PlacementSettings};
use elderworks_protocol::record::{StreamName, Writer};
use elderworks_protocol::sidecar::NodeAddress;
use elderworks_types::{
    CellId, Credits, Incarnation, NodeId, Offset, PartitionId, TenantId, Timestamp, ZoneId,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::assignment::Assignment;
use crate::control_plane::{JoinState, RelayBuffer};
use crate::counters::Counters;
use crate::dispatch::Attempts;
use crate::drain::DrainState;
use crate::engines::Engines;
use crate::loading::ControlLoading;
use crate::ownership::Ownership;
use crate::sidecars::Requests;
use crate::step::{Agenda, BackEndRequest, Step};
use crate::streams::{Streams, control_stream};
use crate::{Effect, Event};

/// Interval at which the driver sends [`Event::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two events from which the process is assumed to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the node.
    pub node: NodeId,
    /// Zone of the node.
    pub zone: ZoneId,
    /// Cell of the node. All nodes with the empty name form a single cell.
    pub cell: CellId,
    /// Address for gossip.
    pub gossip_address: SocketAddr,
    /// Address for connections from sidecars and peers.
    pub address: SocketAddr,
    /// Gossip addresses of the nodes to contact at the start.
    pub seeds: Vec<SocketAddr>,
    /// Number of partitions; must be the same on all nodes and sidecars.
    pub partition_count: u32,
    /// Seed of the random number generator; must differ between starts of the process.
    pub seed: u64,
    /// Execution limits, unless a `Configuration` sets others.
    pub execution: ExecutionSettings,
}

/// The state machine of one node.
pub struct NodeCore {
    pub(crate) settings: NodeSettings,
    pub(crate) now: Timestamp,
    pub(crate) agenda: Agenda,
    pub(crate) counters: Counters,
    random: ChaCha8Rng,
    /// Identifies this start of the process until its incarnation is known.
    pub(crate) nonce: u64,
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) join: JoinState,
    pub(crate) drain: DrainState,
    pub(crate) streams: Streams,
    pub(crate) control: Control,
    pub(crate) control_loading: Option<ControlLoading>,
    pub(crate) relay: RelayBuffer,
    pub(crate) membership: Option<Membership>,
    pub(crate) assignment: Assignment,
    pub(crate) ownership: Ownership,
    pub(crate) placement: Placement,
    /// Tenant limits as last sent to the partitions that hold their budgets.
    pub(crate) tenant_limits: BTreeMap<TenantId, Credits>,
    pub(crate) engines: Engines,
    pub(crate) attempts: Attempts,
    /// Requests to back ends that wait until the stream of their partition has been read to its end.
    pub(crate) withheld_requests: Vec<BackEndRequest>,
    pub(crate) requests: Requests,
    pub(crate) watches: Watches,
}

impl NodeCore {
    /// Creates a node that has read nothing from the log.
    pub fn new(settings: NodeSettings) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
        let nonce = random.random();
        let writer = Writer {
            node: settings.node.clone(),
            incarnation: Incarnation(nonce),
        };
        let control_stream = control_stream(writer.clone(), Offset(0), Timestamp(0));
        let placement_seed = random.random();
        let placement = Placement::new(PlacementSettings::new(
            settings.zone.clone(),
            placement_seed,
        ));
        Self {
            now: Timestamp(0),
            agenda: Agenda::default(),
            counters: Counters::default(),
            random,
            nonce,
            incarnation: None,
            join: JoinState::default(),
            drain: DrainState::default(),
            streams: Streams::new(control_stream),
            control: Control::new(writer.clone()),
            control_loading: Some(ControlLoading::new(writer)),
            relay: RelayBuffer::default(),
            membership: None,
            assignment: Assignment::unknown(settings.partition_count),
            ownership: Ownership::default(),
            placement,
            tenant_limits: BTreeMap::new(),
            engines: Engines::default(),
            attempts: Attempts::default(),
            withheld_requests: Vec::new(),
            requests: Requests::default(),
            watches: Watches::default(),
            settings,
        }
    }

    /// Returns the counters of this node.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the counters of all partitions since the start, with current sizes.
    pub fn execution_counters(&self) -> execution::Counters {
        self.ownership.execution_counters()
    }

    /// Returns the counters of placement, with current sizes.
    pub fn placement_counters(&self) -> placement::Counters {
        self.placement.counters()
    }

    /// Returns the partitions that this node currently owns.
    pub fn owned_partitions(&self) -> impl Iterator<Item = PartitionId> {
        self.ownership.owned()
    }

    /// Handles one event and returns the resulting effects in order.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        self.note_pause(now);
        self.now = now;
        self.start();
        self.route(event);
        while let Some(step) = self.agenda.next_step() {
            self.handle_step(step);
        }
        self.send_permitted_requests();
        self.agenda.take_effects()
    }

    /// Marks all partition streams as possibly outdated after a pause of the process, so that they are
    /// read again before requests go to back ends. Other nodes may have claimed partitions during the
    /// pause, and reads that were answered before it ended need not show this. Correctness doesn't depend
    /// on the clock; this only makes late requests less likely.
    fn note_pause(&mut self, now: Timestamp) {
        let pause = now.since(self.now);
        if pause < PAUSE_THRESHOLD || !self.join.started {
            return;
        }
        self.counters.pauses += 1;
        let streams = self.streams.partitions.len();
        log::info!(pause_ms = pause.as_millis(), streams; "resumed after a pause");
        for stream in self.streams.partitions.values_mut() {
            stream.mark_end_stale(now);
            stream.note_pause(now);
        }
        self.streams.control.note_pause(now);
    }

    fn handle_step(&mut self, step: Step) {
        match step {
            Step::Control(event) => self.handle_control_event(event),
            Step::Membership(event) => self.handle_membership_event(event),
            Step::Partition(partition, event) => self.handle_partition_event(partition, event),
            Step::Placement(event) => self.handle_placement_event(event),
        }
    }

    /// Dispatches an event to its handler.
    fn route(&mut self, event: Event) {
        match event {
            Event::LogAppended { token, result } => self.log_appended(token, result),
            Event::LogRead {
                stream,
                from,
                result,
            } => match stream {
                StreamName::Control => {
                    if !self.control_loading_read(&result) {
                        self.handle_control_stream_input(logstream::Event::Read { from, result });
                    }
                }
                StreamName::Partition(partition) => {
                    if !self.search_read(partition, from, &result) {
                        let read = logstream::Event::Read { from, result };
                        self.handle_partition_stream_input(partition, read);
                    }
                }
            },
            Event::Datagram { from, datagram } => self
                .agenda
                .membership(membership::Event::Received { from, datagram }),
            Event::MachineList {
                live,
                leaving,
                leaving_engines,
            } => {
                self.agenda
                    .membership(membership::Event::MachineList { live, leaving });
                let ignored = self.settings.execution.faults.ignore_leaving();
                let leaving_engines = if ignored { Vec::new() } else { leaving_engines };
                let changes = self.engines.set_listed_leaving(leaving_engines);
                self.apply_engine_changes(changes);
            }
            Event::Received {
                connection,
                message,
            } => self.received(connection, message),
            Event::PeerReply { node, message } => self.peer_message(&node, None, message),
            Event::Closed { connection } => self.connection_closed(connection),
            Event::Operator { request, question } => self.operator_request(request, question),
            Event::Drain => self.start_drain(),
            Event::Tick => self.tick(),
            backend => self.route_backend(backend),
        }
    }

    /// Dispatches an event about a back end to its handler.
    fn route_backend(&mut self, event: Event) {
        match event {
            Event::AttemptChunk {
                ticket,
                index,
                text,
            } => self.attempt_chunk(ticket, index, text),
            Event::AttemptCompleted {
                ticket,
                content,
                usage,
            } => {
                self.attempt_completed(ticket, content, usage);
            }
            Event::AttemptFailed { ticket, failure } => self.attempt_failed(ticket, failure),
            Event::MemoryReleased { run, engine } => self.memory_released(run, engine),
            Event::EngineHoldings { engine, runs } => self.release_leftover_memory(&engine, runs),
            Event::EngineAnswered { engine } => {
                let changes = self.engines.record_answer(&engine);
                self.apply_engine_changes(changes);
            }
            Event::EngineLoad { engine, report } => {
                let changes = self.engines.record_answer(&engine);
                self.apply_engine_changes(changes);
                self.agenda
                    .placement(placement::Event::Load { engine, report });
            }
            Event::EngineCache { engine, change } => self
                .agenda
                .placement(placement::Event::Cache { engine, change }),
            Event::EngineLeaving { .. } if self.settings.execution.faults.ignore_leaving() => {}
            Event::EngineLeaving { engine } => {
                let changes = self.engines.record_leaving(self.now, &engine);
                self.apply_engine_changes(changes);
            }
            Event::EngineSilent { engine, silent_for } => {
                let limit = self.control.settings().engine_silent_after;
                let changes = self.engines.record_silence(&engine, silent_for, limit);
                self.apply_engine_changes(changes);
            }
            other => unreachable!("not an event about a back end: {other:?}"),
        }
    }

    fn log_appended(
        &mut self,
        token: crate::event::AppendToken,
        result: Result<Offset, crate::event::NoAnswer>,
    ) {
        let Some((stream, token)) = self.streams.append_ended(token) else {
            return;
        };
        match stream {
            StreamName::Control => {
                self.handle_control_stream_input(logstream::Event::Appended { token, result });
            }
            StreamName::Partition(partition) => {
                self.handle_partition_stream_input(
                    partition,
                    logstream::Event::Appended { token, result },
                );
            }
        }
    }

    fn tick(&mut self) {
        if self.control_loading.is_some() {
            self.continue_control_loading();
            self.update_drain();
            return;
        }
        self.handle_control_stream_input(logstream::Event::Tick);
        self.agenda.control(elderworks_control::Event::Tick);
        self.offer_control_snapshot();
        self.agenda.membership(membership::Event::Tick);
        self.agenda.placement(placement::Event::Tick);
        self.pace_partitions();
        let followed: Vec<PartitionId> = self.ownership.followed.keys().copied().collect();
        for partition in followed {
            self.handle_partition_stream_input(partition, logstream::Event::Tick);
            self.agenda.partition(partition, execution::Event::Tick);
            self.serve_held_if_caught_up(partition);
        }
        let changes = self.engines.tick(self.now, &self.attempts.engines());
        self.apply_engine_changes(changes);
        self.refuse_held_during_outage();
        self.expire_requests();
        self.update_readiness();
        self.reconcile_ownership();
        self.update_drain();
    }

    /// Starts the membership with the incarnation assigned by the log.
    pub(crate) fn start_membership(&mut self, incarnation: Incarnation) {
        let settings = MembershipSettings {
            node: self.settings.node.clone(),
            incarnation,
            zone: self.settings.zone.clone(),
            cell: self.settings.cell.clone(),
            gossip_address: self.settings.gossip_address,
            address: self.settings.address,
            seeds: self.settings.seeds.clone(),
            probe_interval: PROBE_INTERVAL,
            probe_timeout: PROBE_TIMEOUT,
            suspicion_timeout: SUSPICION_TIMEOUT,
            seed: self.random.random(),
        };
        self.membership = Some(Membership::new(settings));
        let next = self.control.next();
        self.agenda
            .membership(membership::Event::ControlApplied { next });
        self.reassign();
    }

    /// Passes an event to the membership and executes its effects.
    pub(crate) fn handle_membership_event(&mut self, event: membership::Event) {
        let Some(membership) = self.membership.as_mut() else {
            return;
        };
        let mut changed = false;
        for effect in membership.handle(self.now, event) {
            match effect {
                membership::Effect::Send { to, datagram } => {
                    self.agenda.effect(Effect::SendDatagram { to, datagram });
                }
                membership::Effect::MemberChanged { .. }
                | membership::Effect::CellChanged { .. } => changed = true,
                membership::Effect::ControlBehind { peer, address, .. } => {
                    let peer = NodeAddress {
                        node: peer,
                        address,
                    };
                    self.control_behind(peer);
                }
            }
        }
        if changed {
            self.reassign();
        }
    }

    /// Recomputes the assignment of partitions after a change of members or cells.
    pub(crate) fn reassign(&mut self) {
        if let Some(membership) = &self.membership {
            self.assignment.recompute(membership);
        }
    }

    /// Returns whether this node may claim partitions: it is ready and not draining.
    pub(crate) fn may_take_over(&self) -> bool {
        self.join.ready && !self.draining()
    }
}
