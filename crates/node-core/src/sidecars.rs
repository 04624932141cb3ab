//! Requests by sidecars: served here, held back during a takeover, or redirected to the owner.

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

/// Maximum time for which a request is held back while its partition is being taken over. Exceeds the time
/// that a starting node waits for its seeds, so that requests received in that time can be served.
pub const MAX_HOLD_TIME: Duration = Duration::from_secs(8);

/// Maximum number of requests held back; further ones are redirected.
pub const MAX_HELD_REQUESTS: usize = 4096;

/// The remote side of a connection, as announced by its hello.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Remote {
    Sidecar,
    Peer(NodeId),
}

/// A request that waits for its partition.
#[derive(Debug)]
pub(crate) struct HeldRequest {
    pub(crate) partition: PartitionId,
    pub(crate) connection: Connection,
    pub(crate) message: SidecarMessage,
    /// Time at which it is redirected if it is still waiting.
    until: Timestamp,
}

/// Open connections, and the requests that wait for a partition.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    remotes: BTreeMap<Connection, Remote>,
    /// In order of arrival and therefore of expiry.
    pub(crate) held: VecDeque<HeldRequest>,
}

impl Requests {
    /// Returns the partitions for which requests wait.
    pub(crate) fn awaited_partitions(&self) -> BTreeSet<PartitionId> {
        self.held.iter().map(|request| request.partition).collect()
    }

    /// Returns the connections opened by sidecars.
    pub(crate) fn sidecars(&self) -> impl Iterator<Item = Connection> {
        self.remotes
            .iter()
            .filter(|(_, remote)| **remote == Remote::Sidecar)
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

/// Returns the run that a request refers to, and the number of the call if it submits one.
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
    /// Handles a message on a connection that the remote side opened.
    pub(crate) fn received(&mut self, connection: Connection, message: ToNode) {
        let remote = self.requests.remotes.get(&connection).cloned();
        match (message, remote) {
            (ToNode::Hello(hello), None) => {
                let remote = match hello {
                    Hello::Sidecar { .. } => Remote::Sidecar,
                    Hello::Peer { node } => Remote::Peer(node),
                };
                self.requests.remotes.insert(connection, remote);
                if self.draining() {
                    self.send(connection, NodeMessage::Draining);
                }
            }
            (ToNode::Sidecar(message), Some(Remote::Sidecar)) => {
                self.counters.sidecar_requests += 1;
                self.sidecar_request(connection, message);
            }
            (ToNode::Peer(message), Some(Remote::Peer(node))) => {
                self.peer_message(&node, Some(connection), message);
            }
            _ => self.counters.unintroduced_messages += 1,
        }
    }

    /// Removes a closed connection and its requests.
    pub(crate) fn connection_closed(&mut self, connection: Connection) {
        self.requests.remotes.remove(&connection);
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
        if self.is_refused_during_outage(partition, &message) {
            self.refuse_during_outage(partition, connection, message);
        } else if self.ownership.owns(partition) {
            if self.is_up_to_date(partition) {
                self.serve(partition, connection, message);
            } else {
                self.hold(partition, connection, message);
            }
        } else if matches!(message, SidecarMessage::Acknowledge { .. }) {
            // The chunks that it would release are not stored on this node.
        } else if self.should_hold(partition) {
            self.hold(partition, connection, message);
        } else {
            self.redirect(connection, run, number);
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

    /// Returns whether to hold back requests for a partition that this node doesn't own yet: the partition
    /// is assigned to this node or to no known one, and the node isn't draining.
    pub(crate) fn should_hold(&self, partition: PartitionId) -> bool {
        if self.draining() {
            return false;
        }
        let is_own = self.assignment.owner(partition) == Some(&self.settings.node);
        is_own || !self.assignment.is_known(partition)
    }

    /// Holds a request back, or redirects it if too many are held back.
    fn hold(&mut self, partition: PartitionId, connection: Connection, message: SidecarMessage) {
        if self.requests.held.len() >= MAX_HELD_REQUESTS {
            self.counters.held_overflow += 1;
            self.redirect_request(connection, &message);
            return;
        }
        self.counters.requests_held += 1;
        self.requests.held.push_back(HeldRequest {
            partition,
            connection,
            message,
            until: self.now + MAX_HOLD_TIME,
        });
    }

    /// Serves the requests held back for a partition that this node now owns.
    pub(crate) fn serve_held_requests(&mut self, partition: PartitionId) {
        for request in self.requests.take_for(partition) {
            self.serve(partition, request.connection, request.message);
        }
    }

    /// Serves the requests held back for an owned partition once its stream has been read to its end.
    pub(crate) fn serve_held_if_caught_up(&mut self, partition: PartitionId) {
        let waiting = self.requests.holds_for(partition);
        if waiting && self.ownership.owns(partition) && self.is_up_to_date(partition) {
            self.serve_held_requests(partition);
        }
    }

    /// Redirects the requests held back for a partition, unless they should still be held back.
    pub(crate) fn redirect_requests_for(&mut self, partition: PartitionId) {
        if self.should_hold(partition) {
            return;
        }
        for request in self.requests.take_for(partition) {
            self.redirect_request(request.connection, &request.message);
        }
    }

    /// Redirects the requests that have been held back for [`MAX_HOLD_TIME`].
    pub(crate) fn expire_requests(&mut self) {
        for request in self.requests.take_expired(self.now) {
            self.counters.held_expired += 1;
            log::info!(
                partition = request.partition.0, owned = self.ownership.owns(request.partition),
                behind = self.is_behind(request.partition), held_ms = MAX_HOLD_TIME.as_millis();
                "held request expired"
            );
            self.redirect_request(request.connection, &request.message);
        }
    }

    /// Redirects all requests held back, because a draining node takes over no more partitions.
    pub(crate) fn redirect_held_requests(&mut self) {
        for request in std::mem::take(&mut self.requests.held) {
            self.redirect_request(request.connection, &request.message);
        }
    }

    fn redirect_request(&mut self, connection: Connection, message: &SidecarMessage) {
        if let Some((run, number)) = subject(message) {
            self.redirect(connection, run, number);
        }
    }

    /// Redirects a sidecar to the assigned owner of a run.
    fn redirect(&mut self, connection: Connection, run: RunId, number: Option<CallNumber>) {
        self.counters.not_owner += 1;
        let partition = run.partition(self.settings.partition_count);
        let owner = self
            .owner_address(partition)
            .filter(|owner| owner.node != self.settings.node);
        self.send(connection, NodeMessage::NotOwner { run, number, owner });
    }

    /// Limits the budget of a run to that of its program.
    fn within_program(&self, mut spec: RunSpec) -> RunSpec {
        if let Some(program) = self.control.program(&spec.program) {
            spec.budget = spec.budget.min(program.run_budget);
        }
        spec
    }

    /// Passes a request to its partition.
    pub(crate) fn serve(
        &mut self,
        partition: PartitionId,
        connection: Connection,
        message: SidecarMessage,
    ) {
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

    /// Returns the address of a partition's assigned owner, or of a representative of its cell if that is
    /// another cell.
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

    /// Sends a message to a sidecar.
    pub(crate) fn send(&mut self, connection: Connection, message: NodeMessage) {
        self.agenda.effect(Effect::Send {
            connection,
            message: FromNode::Node(message),
        });
    }
}
