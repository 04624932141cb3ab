//! Messages between nodes: allotments of tenant budgets, and relayed control records.

use std::collections::{BTreeMap, BTreeSet};

use elderworks_execution::{self as execution, tenant_budget_holder};
use elderworks_protocol::peer::{FromNode, PeerMessage};
use elderworks_types::{Credits, NodeId, PartitionId, Sequence, TenantId};

use crate::core::NodeCore;
use crate::effect::Effect;
use crate::event::Connection;

impl NodeCore {
    /// Handles a message from a peer. `connection` is set if the peer opened the connection.
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
            PeerMessage::ControlRecords { records, .. } => self.relayed_records(records),
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

    /// Requests a part of a tenant's budget for a partition of this node from the holder of the budget.
    pub(crate) fn request_allotment(
        &mut self,
        partition: PartitionId,
        tenant: TenantId,
        request: Sequence,
        amount: Credits,
    ) {
        let holder = tenant_budget_holder(&tenant, self.settings.partition_count);
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
        let holder = tenant_budget_holder(&tenant, self.settings.partition_count);
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

    /// Sends a part of a tenant's budget to the partition that requested it.
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

    /// Sends a message to the assigned owner of a partition. Execution repeats requests whose messages
    /// are lost.
    fn send_to_owner(&mut self, partition: PartitionId, message: PeerMessage) {
        let owner = self
            .owner_address(partition)
            .filter(|owner| owner.node != self.settings.node);
        match owner {
            Some(peer) => self.agenda.effect(Effect::SendPeer { peer, message }),
            None => self.counters.allotments_undeliverable += 1,
        }
    }

    /// Sends a newly owned partition the limits of the tenants whose budgets it holds.
    pub(crate) fn announce_tenant_limits(&mut self, partition: PartitionId) {
        for (tenant, limit) in &self.tenant_limits {
            if tenant_budget_holder(tenant, self.settings.partition_count) == partition {
                let event = execution::Event::TenantLimit {
                    tenant: tenant.clone(),
                    limit: Some(*limit),
                };
                self.agenda.partition(partition, event);
            }
        }
    }

    /// Sends changed tenant limits to the partitions that hold the budgets.
    pub(crate) fn tenant_limits_changed(&mut self) {
        let limits: BTreeMap<TenantId, Credits> = self
            .control
            .tenant_limits()
            .map(|(tenant, limit)| (tenant.clone(), limit))
            .collect();
        let before = std::mem::replace(&mut self.tenant_limits, limits.clone());
        let tenants: BTreeSet<&TenantId> = before.keys().chain(limits.keys()).collect();
        for tenant in tenants {
            let limit = limits.get(tenant).copied();
            if before.get(tenant).copied() != limit {
                self.announce_tenant_limit(tenant.clone(), limit);
            }
        }
    }

    /// Sends a tenant limit to the partition that holds the budget, if this node owns it.
    fn announce_tenant_limit(&mut self, tenant: TenantId, limit: Option<Credits>) {
        let holder = tenant_budget_holder(&tenant, self.settings.partition_count);
        if self.ownership.owns(holder) {
            self.agenda
                .partition(holder, execution::Event::TenantLimit { tenant, limit });
        }
    }
}
