//! Requests of sidecars: answered here, held back during a takeover, or pointed elsewhere.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use elderworks_execution as execution;
use elderworks_protocol::peer::{FromNode, Hello, ToNode};
use elderworks_protocol::sidecar::{NodeAddress, NodeMessage, SidecarMessage};
use elderworks_types::{CallNumber, CellId, NodeId, PartitionId, RunId, RunSpec, Timestamp};

use crate::core::NodeCore;
use crate::effect::Effect;
use crate::event::Connection;
use crate::services::call_terms;

/// A request is held back at most this long while its partition is being taken over. Longer than a
/// starting node waits for its seeds, so that what comes meanwhile is not turned away just before.
pub const HOLD_LIMIT: Duration = Duration::from_secs(8);

/// Requests held back at the same time; further ones are pointed elsewhere.
pub const MAX_HELD_REQUESTS: usize = 4096;

/// Who speaks on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Speaker {
    Sidecar,
    Peer(NodeId),
}

#[derive(Debug)]
struct HeldRequest {
    partition: PartitionId,
    connection: Connection,
    message: SidecarMessage,
    until: Timestamp,
}

/// Connections and the requests that wait for a partition.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    speakers: BTreeMap<Connection, Speaker>,
    /// In order of arrival, so that the first to expire stands first.
    held: VecDeque<HeldRequest>,
}

impl Requests {
    /// Partitions for which some request waits.
    pub(crate) fn awaited_partitions(&self) -> BTreeSet<PartitionId> {
        self.held.iter().map(|request| request.partition).collect()
    }

    /// Connections opened by sidecars.
    pub(crate) fn sidecars(&self) -> impl Iterator<Item = Connection> {
        self.speakers
            .iter()
            .filter(|(_, speaker)| **speaker == Speaker::Sidecar)
            .map(|(connection, _)| *connection)
    }

    fn holds_for(&self, partition: PartitionId) -> bool {
        let mut held = self.held.iter();
        held.any(|request| request.partition == partition)
    }

    fn take_for(&mut self, partition: PartitionId) -> Vec<HeldRequest> {
        let (taken, kept) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|request: &HeldRequest| request.partition == partition);
        self.held = kept;
        Vec::from_iter::<VecDeque<HeldRequest>>(taken)
    }

    fn take_expired(&mut self, now: Timestamp) -> Vec<HeldRequest> {
        let mut expired = Vec::new();
        while self
            .held
            .front()
            .is_some_and(|request| request.until <= now)
        {
            expired.extend(self.held.pop_front());
        }
        expired
    }
}

/// The run that a request is about, and the call if it makes one.
fn subject(message: &SidecarMessage) -> Option<(RunId, Option<CallNumber>)> {
    match message {
        SidecarMessage::Locate { .. } => None,
        SidecarMessage::StartRun { spec } => Some((spec.id, None)),
        SidecarMessage::SubmitCall { run, spec, .. } => Some((*run, Some(spec.number))),
        SidecarMessage::Acknowledge { call } => Some((call.run, None)),
        SidecarMessage::ReadRun { run, .. } | SidecarMessage::EndRun { run, .. } => {
            Some((*run, None))
        }
    }
}

impl NodeCore {
    /// A message came in on a connection that the other side opened.
    pub(crate) fn received(&mut self, connection: Connection, message: ToNode) {
        let speaker = self.requests.speakers.get(&connection).cloned();
        match (message, speaker) {
            (ToNode::Hello(hello), None) => {
                let speaker = match hello {
                    Hello::Sidecar { .. } => Speaker::Sidecar,
                    Hello::Peer { node } => Speaker::Peer(node),
                };
                self.requests.speakers.insert(connection, speaker);
                if self.draining() {
                    self.send(connection, NodeMessage::Draining);
                }
            }
            (ToNode::Sidecar(message), Some(Speaker::Sidecar)) => {
                self.counters.sidecar_requests += 1;
                self.sidecar_request(connection, message);
            }
            (ToNode::Peer(message), Some(Speaker::Peer(node))) => {
                self.peer_message(&node, Some(connection), message);
            }
            _ => self.counters.unintroduced_messages += 1,
        }
    }

    /// The other side closed its connection.
    pub(crate) fn connection_closed(&mut self, connection: Connection) {
        self.requests.speakers.remove(&connection);
        self.requests
            .held
            .retain(|request| request.connection != connection);
        let owned: Vec<PartitionId> = self.ownership.owned().collect();
        for partition in owned {
            self.agenda
                .partition(partition, execution::Event::ConnectionClosed { connection });
        }
    }

    fn sidecar_request(&mut self, connection: Connection, message: SidecarMessage) {
        let Some((run, number)) = subject(&message) else {
            self.locate(connection, &message);
            return;
        };
        let partition = run.partition(self.settings.partition_count);
        let owned = self.ownership.owns(partition);
        if owned && self.is_behind(partition) {
            // What it would be answered from may be out of date.
            self.hold(partition, connection, message);
        } else if owned {
            self.serve(partition, connection, message);
        } else if matches!(message, SidecarMessage::Acknowledge { .. }) {
            // The chunks it would free are not here.
        } else if self.should_hold(partition) {
            self.hold(partition, connection, message);
        } else {
            self.point_elsewhere(connection, run, number);
        }
    }

    fn locate(&mut self, connection: Connection, message: &SidecarMessage) {
        let SidecarMessage::Locate { partition } = message else {
            return;
        };
        let located = NodeMessage::Located {
            partition: *partition,
            owner: self.owner_address(*partition),
            partition_count: self.settings.partition_count,
        };
        self.send(connection, located);
    }

    /// Whether this node is about to own the partition, or does not know yet who should.
    fn should_hold(&self, partition: PartitionId) -> bool {
        if self.draining() {
            return false;
        }
        let is_own = self.assignment.owner(partition) == Some(&self.settings.node);
        is_own || !self.assignment.is_known(partition)
    }

    fn hold(&mut self, partition: PartitionId, connection: Connection, message: SidecarMessage) {
        if self.requests.held.len() >= MAX_HELD_REQUESTS {
            self.counters.held_overflow += 1;
            self.turn_away(connection, &message);
            return;
        }
        self.counters.requests_held += 1;
        self.requests.held.push_back(HeldRequest {
            partition,
            connection,
            message,
            until: self.now + HOLD_LIMIT,
        });
    }

    /// Serves what was held back for a partition that this node owns now.
    pub(crate) fn release_requests(&mut self, partition: PartitionId) {
        for request in self.requests.take_for(partition) {
            self.serve(partition, request.connection, request.message);
        }
    }

    /// Serves what was held back until the partition's stream was read to its end.
    pub(crate) fn release_if_caught_up(&mut self, partition: PartitionId) {
        let waiting = self.requests.holds_for(partition);
        if waiting && self.ownership.owns(partition) && !self.is_behind(partition) {
            self.release_requests(partition);
        }
    }

    /// Turns away what was held back for a partition that another node is to own.
    pub(crate) fn turn_away_for(&mut self, partition: PartitionId) {
        if self.should_hold(partition) {
            return;
        }
        for request in self.requests.take_for(partition) {
            self.turn_away(request.connection, &request.message);
        }
    }

    /// Turns away what has been held back for too long.
    pub(crate) fn expire_requests(&mut self) {
        for request in self.requests.take_expired(self.now) {
            self.turn_away(request.connection, &request.message);
        }
    }

    /// Turns away everything that is held back: this node will own nothing more.
    pub(crate) fn turn_away_held(&mut self) {
        for request in std::mem::take(&mut self.requests.held) {
            self.turn_away(request.connection, &request.message);
        }
    }

    fn turn_away(&mut self, connection: Connection, message: &SidecarMessage) {
        if let Some((run, number)) = subject(message) {
            self.point_elsewhere(connection, run, number);
        }
    }

    fn point_elsewhere(&mut self, connection: Connection, run: RunId, number: Option<CallNumber>) {
        self.counters.not_owner += 1;
        let partition = run.partition(self.settings.partition_count);
        let owner = self
            .owner_address(partition)
            .filter(|owner| owner.node != self.settings.node);
        self.send(connection, NodeMessage::NotOwner { run, number, owner });
    }

    /// A run may spend no more than its program allows, whatever its caller asks for.
    fn within_program(&self, mut spec: RunSpec) -> RunSpec {
        if let Some(program) = self.control.program(&spec.program) {
            spec.budget = spec.budget.min(program.run_budget);
        }
        spec
    }

    fn serve(&mut self, partition: PartitionId, connection: Connection, message: SidecarMessage) {
        let event = match message {
            SidecarMessage::Locate { .. } => return,
            SidecarMessage::StartRun { spec } => {
                let limits = self.control.run_limits(&spec.program);
                execution::Event::StartRun {
                    connection,
                    spec: self.within_program(spec),
                    limits,
                }
            }
            SidecarMessage::SubmitCall {
                tenant,
                run,
                spec,
                delivered,
                abandoned_before,
                submission,
            } => {
                let program = self.program_of(partition, run);
                let terms = call_terms(&self.control, program.as_ref(), &spec.request);
                execution::Event::SubmitCall(execution::SubmittedCall {
                    connection,
                    tenant,
                    run,
                    spec,
                    delivered,
                    abandoned_before,
                    submission,
                    terms,
                })
            }
            SidecarMessage::Acknowledge { call } => execution::Event::Acknowledge { call },
            SidecarMessage::ReadRun { query, tenant, run } => execution::Event::ReadRun {
                connection,
                query,
                tenant,
                run,
            },
            SidecarMessage::EndRun { tenant, run } => execution::Event::EndRun {
                connection,
                tenant,
                run,
            },
        };
        self.agenda.partition(partition, event);
    }

    /// Where the wanted owner of a partition takes connections, or a node of its cell that knows.
    pub(crate) fn owner_address(&self, partition: PartitionId) -> Option<NodeAddress> {
        if let Some(cell) = self.assignment.other_cell(partition) {
            return self.cell_address(cell);
        }
        let owner = self.assignment.owner(partition)?;
        self.node_address(owner)
    }

    fn cell_address(&self, cell: &CellId) -> Option<NodeAddress> {
        let mut cells = self.membership.as_ref()?.cells();
        let known = cells.find(|known| known.digest.cell == *cell)?;
        let representative = known.digest.representatives.first()?;
        Some(NodeAddress {
            node: representative.node.clone(),
            address: representative.address,
        })
    }

    pub(crate) fn node_address(&self, node: &NodeId) -> Option<NodeAddress> {
        let members = self.membership.as_ref()?.members();
        let mut matching = members.filter(|member| member.update.node == *node);
        matching.next().map(|member| NodeAddress {
            node: node.clone(),
            address: member.update.address,
        })
    }

    pub(crate) fn send(&mut self, connection: Connection, message: NodeMessage) {
        self.agenda.effect(Effect::Send {
            connection,
            message: FromNode::Node(message),
        });
    }
}
