//! Messages between nodes: budget allotments and the relay of control records.

use elderworks_execution as execution;
use elderworks_protocol::peer::{FromNode, PeerMessage};
use elderworks_types::{Credits, NodeId, PartitionId, Sequence, TenantId};
use xxhash_rust::xxh3::xxh3_64;

use crate::core::NodeCore;
use crate::effect::Effect;
use crate::event::Connection;

/// The partition whose owner holds a tenant's budget.
pub fn budget_holder(tenant: &TenantId, partition_count: u32) -> PartitionId {
    let hash = xxh3_64(tenant.as_str().as_bytes());
    PartitionId((hash % u64::from(partition_count.max(1))) as u32)
}

impl NodeCore {
    /// A peer's message, on the connection it opened or on the one that this node opened to it.
    pub(crate) fn peer_message(
        &mut self,
        node: &NodeId,
        connection: Option<Connection>,
        message: PeerMessage,
    ) {
        match message {
            PeerMessage::ControlFetch { from } => {
                let reply = self.control_records(from);
                match connection {
                    Some(connection) => self.agenda.effect(Effect::Send {
                        connection,
                        message: FromNode::Peer(reply),
                    }),
                    None => self.send_to_node(node, reply),
                }
            }
            PeerMessage::ControlRecords { records, next } => {
                self.relayed_records(records, next);
            }
            PeerMessage::AllotmentRequest {
                tenant,
                partition,
                request,
                amount,
            } => {
                self.allotment_requested(tenant, partition, request, amount);
            }
            PeerMessage::AllotmentGrant {
                tenant,
                partition,
                request,
                amount,
            } => {
                self.agenda.partition(
                    partition,
                    execution::Event::AllotmentGranted {
                        tenant,
                        request,
                        amount,
                    },
                );
            }
        }
    }

    fn send_to_node(&mut self, node: &NodeId, message: PeerMessage) {
        if let Some(peer) = self.node_address(node) {
            self.agenda.effect(Effect::SendPeer { peer, message });
        }
    }

    /// A partition of this node wants part of a tenant's budget.
    pub(crate) fn request_allotment(
        &mut self,
        partition: PartitionId,
        tenant: TenantId,
        request: Sequence,
        amount: Credits,
    ) {
        let holder = budget_holder(&tenant, self.settings.partition_count);
        if self.ownership.owns(holder) {
            self.allotment_requested(tenant, partition, request, amount);
            return;
        }
        let message = PeerMessage::AllotmentRequest {
            tenant,
            partition,
            request,
            amount,
        };
        self.send_to_owner(holder, message);
    }

    fn allotment_requested(
        &mut self,
        tenant: TenantId,
        partition: PartitionId,
        request: Sequence,
        amount: Credits,
    ) {
        let holder = budget_holder(&tenant, self.settings.partition_count);
        self.agenda.partition(
            holder,
            execution::Event::AllotmentRequested {
                tenant,
                partition,
                request,
                amount,
            },
        );
    }

    /// The holder of a tenant's budget answers a partition, here or elsewhere.
    pub(crate) fn grant_allotment(
        &mut self,
        tenant: TenantId,
        partition: PartitionId,
        request: Sequence,
        amount: Credits,
    ) {
        if self.ownership.owns(partition) {
            self.agenda.partition(
                partition,
                execution::Event::AllotmentGranted {
                    tenant,
                    request,
                    amount,
                },
            );
            return;
        }
        let message = PeerMessage::AllotmentGrant {
            tenant,
            partition,
            request,
            amount,
        };
        self.send_to_owner(partition, message);
    }

    /// Sends to the wanted owner of a partition; lost messages are asked for again by execution.
    fn send_to_owner(&mut self, partition: PartitionId, message: PeerMessage) {
        let owner = self
            .owner_address(partition)
            .filter(|owner| owner.node != self.settings.node);
        match owner {
            Some(peer) => self.agenda.effect(Effect::SendPeer { peer, message }),
            None => self.counters.allotments_undeliverable += 1,
        }
    }

    /// Tells a partition gained just now the limits of the tenants whose budgets it holds.
    pub(crate) fn announce_tenant_limits(&mut self, partition: PartitionId) {
        for (tenant, limit) in self.services.tenant_limits() {
            if budget_holder(tenant, self.settings.partition_count) == partition {
                self.agenda.partition(
                    partition,
                    execution::Event::TenantLimit {
                        tenant: tenant.clone(),
                        limit: Some(*limit),
                    },
                );
            }
        }
    }

    /// Tells the holders of a tenant's budget that its limit changed.
    pub(crate) fn announce_tenant_limit(&mut self, tenant: TenantId, limit: Option<Credits>) {
        let holder = budget_holder(&tenant, self.settings.partition_count);
        if self.ownership.owns(holder) {
            self.agenda
                .partition(holder, execution::Event::TenantLimit { tenant, limit });
        }
    }
}
