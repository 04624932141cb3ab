//! The composition.

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
use crate::step::{Agenda, Request, Step};
use crate::streams::{Streams, control_stream};
use crate::{Effect, Event};

/// How often a driver sends [`Event::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// A driver that sent no tick for this long was paused.
const PAUSE_SUSPECTED: Duration = Duration::from_secs(1);

/// What a node is given at its start.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Its name.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell; the empty name puts every node in one cell.
    pub cell: CellId,
    /// Where it takes gossip.
    pub gossip_address: SocketAddr,
    /// Where it takes connections from sidecars and peers.
    pub address: SocketAddr,
    /// Gossip addresses to ask at the start.
    pub seeds: Vec<SocketAddr>,
    /// Number of partitions; the same on every process of the system.
    pub partition_count: u32,
    /// Seed of this process's random choices; different at each start of a process.
    pub seed: u64,
    /// Limits of execution.
    pub execution: ExecutionSettings,
}

/// One node.
pub struct NodeCore {
    pub(crate) settings: NodeSettings,
    pub(crate) now: Timestamp,
    pub(crate) agenda: Agenda,
    pub(crate) counters: Counters,
    random: ChaCha8Rng,
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
    /// Tenants' limits as last told to the partitions that hold their budgets.
    pub(crate) tenant_limits: BTreeMap<TenantId, Credits>,
    pub(crate) engines: Engines,
    pub(crate) attempts: Attempts,
    /// Requests to back ends of partitions whose stream has not been read to its end.
    pub(crate) withheld: Vec<Request>,
    pub(crate) requests: Requests,
    pub(crate) watches: Watches,
}

impl NodeCore {
    /// A node with empty memory.
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
            withheld: Vec::new(),
            requests: Requests::default(),
            watches: Watches::default(),
            settings,
        }
    }

    /// What this node has done so far.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// What its partitions have counted so far, and their sizes as of now.
    pub fn execution_counters(&self) -> execution::Counters {
        self.ownership.execution_counters()
    }

    /// What placement has counted so far, and its sizes as of now.
    pub fn placement_counters(&self) -> placement::Counters {
        self.placement.counters()
    }

    /// Partitions that this node owns now.
    pub fn owned_partitions(&self) -> impl Iterator<Item = PartitionId> {
        self.ownership.owned()
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        self.doubt_after_pause(now);
        self.now = now;
        self.begin();
        self.route(event);
        while let Some(step) = self.agenda.next_step() {
            self.take_step(step);
        }
        self.release_requests_to_back_ends();
        self.agenda.take_effects()
    }

    /// After a pause others may have claimed this node's partitions. Answers that arrived meanwhile
    /// do not show it, so that streams are read anew before anything goes to back ends. No safety
    /// rests on the clock here: it only narrows the time in which a late request can leave.
    fn doubt_after_pause(&mut self, now: Timestamp) {
        if now.since(self.now) < PAUSE_SUSPECTED {
            return;
        }
        for stream in self.streams.partitions.values_mut() {
            stream.mark_end_stale(now);
        }
    }

    fn take_step(&mut self, step: Step) {
        match step {
            Step::Control(event) => self.drive_control(event),
            Step::Membership(event) => self.drive_membership(event),
            Step::Partition(partition, event) => self.drive_partition(partition, event),
            Step::Placement(event) => self.drive_placement(event),
        }
    }

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
                        self.drive_control_stream(logstream::Event::Read { from, result });
                    }
                }
                StreamName::Partition(partition) => {
                    if !self.search_read(partition, from, &result) {
                        let read = logstream::Event::Read { from, result };
                        self.drive_partition_stream(partition, read);
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
                let changes = self.engines.list_leaving(leaving_engines);
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
            Event::EngineHoldings { engine, runs } => self.compare_holdings(&engine, runs),
            Event::EngineAnswered { engine } => {
                let changes = self.engines.answered(&engine);
                self.apply_engine_changes(changes);
            }
            Event::EngineLoad { engine, report } => {
                let changes = self.engines.answered(&engine);
                self.apply_engine_changes(changes);
                self.agenda
                    .placement(placement::Event::Load { engine, report });
            }
            Event::EngineCache { engine, change } => self
                .agenda
                .placement(placement::Event::Cache { engine, change }),
            Event::EngineLeaving { .. } if self.settings.execution.faults.ignore_leaving() => {}
            Event::EngineLeaving { engine } => {
                let changes = self.engines.said_leaving(self.now, &engine);
                self.apply_engine_changes(changes);
            }
            Event::EngineSilent { engine, silent_for } => {
                let limit = self.control.settings().engine_silent_after;
                let changes = self.engines.silent(&engine, silent_for, limit);
                self.apply_engine_changes(changes);
            }
            other => unreachable!("routed before: {other:?}"),
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
                self.drive_control_stream(logstream::Event::Appended { token, result });
            }
            StreamName::Partition(partition) => {
                self.drive_partition_stream(
                    partition,
                    logstream::Event::Appended { token, result },
                );
            }
        }
    }

    fn tick(&mut self) {
        if self.control_loading.is_some() {
            self.continue_control_loading();
            self.judge_drain();
            return;
        }
        self.drive_control_stream(logstream::Event::Tick);
        self.agenda.control(elderworks_control::Event::Tick);
        self.offer_control_snapshot();
        self.agenda.membership(membership::Event::Tick);
        self.agenda.placement(placement::Event::Tick);
        self.pace_partitions();
        let followed: Vec<PartitionId> = self.ownership.held.keys().copied().collect();
        for partition in followed {
            self.drive_partition_stream(partition, logstream::Event::Tick);
            self.agenda.partition(partition, execution::Event::Tick);
            self.release_if_caught_up(partition);
        }
        let changes = self.engines.tick(self.now, &self.attempts.engines());
        self.apply_engine_changes(changes);
        self.expire_requests();
        self.judge_readiness();
        self.reconcile_ownership();
        self.judge_drain();
    }

    /// Membership begins with the incarnation that the log gave.
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

    pub(crate) fn drive_membership(&mut self, event: membership::Event) {
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

    /// Assigns partitions anew after a change of members or cells.
    pub(crate) fn reassign(&mut self) {
        if let Some(membership) = &self.membership {
            self.assignment.recompute(membership);
        }
    }

    /// Whether this node may claim partitions: it is current, knows its peers and stays.
    pub(crate) fn may_take_over(&self) -> bool {
        self.join.ready && !self.draining()
    }
}
