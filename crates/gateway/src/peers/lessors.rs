//! Quota grants: each tenant with a quota has one lessor node that grants its requests, over UDP.

use std::cell::{OnceCell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderworks_gateway_core::quota::{Order, lessor_of};
use elderworks_gateway_core::tenants::TenantKey;
use elderworks_protocol::encode;
use elderworks_protocol::gateway::{GatewayDatagram, GrantDecision, LessorMessage};
use elderworks_types::{NodeId, Timestamp};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use super::quotas::has_quotas;
use crate::gateway::Gateway;

/// Timeout for the answer to a question; covers one round trip to another zone.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);

/// Maximum number of attempts to ask a lessor, since datagrams can be lost.
const MAX_ASK_ATTEMPTS: u32 = 2;

/// How long a lessor is avoided after it didn't answer.
const SILENT_PAUSE: Duration = Duration::from_millis(500);

/// Interval at which the introduction to a node is repeated until that node has introduced itself.
const INTRODUCTION_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of introductions sent at a time.
const MAX_INTRODUCTIONS: usize = 32;

/// The state of quota grants at this node, both as a lessor and as a client of other lessors.
#[derive(Debug, Default)]
pub(crate) struct Lessors {
    socket: OnceCell<Rc<UdpSocket>>,
    /// Nodes that have introduced themselves as lessors, with the boot number of their process.
    granting: RefCell<BTreeMap<NodeId, u64>>,
    /// When this node last introduced itself to each node.
    introduced: RefCell<BTreeMap<NodeId, Timestamp>>,
    /// Senders for the answers to unanswered questions, by question number.
    pending: RefCell<HashMap<u64, oneshot::Sender<GrantDecision>>>,
    /// Nodes that didn't answer, and when.
    silent: RefCell<BTreeMap<NodeId, Timestamp>>,
}

/// The node that grants a tenant's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Lessor {
    /// This node is the lessor.
    Local,
    /// Another node is the lessor.
    Remote(NodeId),
    /// No lessor: not all serving nodes take part, or the lessor didn't answer recently.
    Unavailable,
}

impl Lessors {
    /// Sets the socket that questions are sent from.
    pub(super) fn set_socket(&self, socket: &Rc<UdpSocket>) {
        // Called only once, by the loop that receives the answers.
        let _ = self.socket.set(socket.clone());
    }

    /// Introduces this node as a lessor to the serving nodes that have not introduced themselves.
    pub(super) fn introduce(&self, gateway: &Gateway) {
        if !uses_lessors(gateway) {
            return;
        }
        let now = gateway.now();
        let mut introduced = self.introduced.borrow_mut();
        introduced.retain(|_, at| now.since(*at) < INTRODUCTION_INTERVAL);
        let serving = gateway.serving.borrow();
        let unknown = serving.iter().filter(|node| !self.grants(gateway, node));
        let due = unknown.filter(|node| !introduced.contains_key(*node));
        let due: Vec<NodeId> = due.take(MAX_INTRODUCTIONS).cloned().collect();
        for node in due {
            if let Some(to) = address_of(gateway, &node) {
                self.send(to, introduction(gateway, false));
            }
            introduced.insert(node, now);
        }
    }

    /// Returns the node that currently grants a tenant's requests.
    pub(crate) fn lessor_for(&self, gateway: &Gateway, tenant: TenantKey) -> Lessor {
        if !gateway.settings.policy.quota_lessors {
            return Lessor::Unavailable;
        }
        let serving = gateway.serving.borrow();
        if !serving.iter().all(|node| self.grants(gateway, node)) {
            return Lessor::Unavailable;
        }
        let Some(lessor) = lessor_of(tenant, serving.iter()) else {
            return Lessor::Unavailable;
        };
        if *lessor == gateway.settings.node {
            return Lessor::Local;
        }
        let now = gateway.now();
        let silent = self.silent.borrow();
        if silent
            .get(lessor)
            .is_some_and(|at| now.since(*at) < SILENT_PAUSE)
        {
            return Lessor::Unavailable;
        }
        Lessor::Remote(lessor.clone())
    }

    /// Asks another node to grant a request. Returns [`GrantDecision::Unready`] if it doesn't answer.
    pub(crate) async fn ask(
        &self,
        gateway: &Gateway,
        lessor: &NodeId,
        tenant: TenantKey,
        order: Order,
    ) -> GrantDecision {
        let question = gateway.next_sequence();
        let (sender, mut receiver) = oneshot::channel();
        self.pending.borrow_mut().insert(question, sender);
        let _guard = PendingGuard {
            lessors: self,
            question,
        };
        for _ in 0..MAX_ASK_ATTEMPTS {
            let Some(to) = address_of(gateway, lessor) else {
                break;
            };
            let asked = LessorMessage::Asked {
                question,
                node: gateway.settings.node.clone(),
                tenant: tenant.0,
                begins: order == Order::NewProgram,
            };
            self.send(to, asked);
            if let Ok(Ok(verdict)) = tokio::time::timeout(ANSWER_TIMEOUT, &mut receiver).await {
                self.silent.borrow_mut().remove(lessor);
                return verdict;
            }
        }
        log::info!(lessor = lessor.as_str(); "quota lessor did not answer");
        gateway.metrics.note_quota_grant("silent");
        let now = gateway.now();
        self.silent.borrow_mut().insert(lessor.clone(), now);
        GrantDecision::Unready
    }

    /// Handles another node's message.
    pub(super) fn receive(&self, gateway: &Gateway, from: SocketAddr, message: LessorMessage) {
        match message {
            LessorMessage::Introduction {
                node,
                boot,
                is_answer,
            } => {
                let before = self.granting.borrow_mut().insert(node.clone(), boot);
                if before.is_some_and(|before| before != boot) {
                    let now = gateway.now();
                    gateway.quotas.borrow_mut().note_restart(now, &node);
                }
                if !is_answer && gateway.settings.policy.quota_lessors {
                    self.send(from, introduction(gateway, true));
                }
            }
            LessorMessage::Asked {
                question,
                node,
                tenant,
                begins,
            } => {
                let order = if begins {
                    Order::NewProgram
                } else {
                    Order::Continuation
                };
                let verdict = decide(gateway, TenantKey(tenant), &node, order);
                self.send(from, LessorMessage::Told { question, verdict });
            }
            LessorMessage::Told { question, verdict } => {
                let Some(waiting) = self.pending.borrow_mut().remove(&question) else {
                    return;
                };
                // The request may have timed out and no longer wait for the verdict.
                let _ = waiting.send(verdict);
            }
        }
    }

    /// Returns whether the current process of a node has introduced itself as a lessor.
    fn grants(&self, gateway: &Gateway, node: &NodeId) -> bool {
        if *node == gateway.settings.node {
            return true;
        }
        let nodes = gateway.nodes.borrow();
        let boot = nodes.get(node).map(|known| known.record.boot);
        boot.is_some() && self.granting.borrow().get(node).copied() == boot
    }

    fn send(&self, to: SocketAddr, message: LessorMessage) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        let datagram = encode(&GatewayDatagram::Lessor(message));
        // Lost messages are repeated or time out.
        let _ = socket.try_send_to(&datagram, to);
    }
}

/// Removes a question on drop, including when the request is cancelled.
struct PendingGuard<'a> {
    lessors: &'a Lessors,
    question: u64,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.lessors.pending.borrow_mut().remove(&self.question);
    }
}

/// Decides a request as the tenant's lessor, by the quota in this node's current configuration.
fn decide(gateway: &Gateway, tenant: TenantKey, to: &NodeId, order: Order) -> GrantDecision {
    let config = gateway.current_config();
    let known = config
        .as_ref()
        .and_then(|config| config.tenants.find(tenant));
    let Some(quota) = known.and_then(|tenant| tenant.quota) else {
        return GrantDecision::Unready;
    };
    let now = gateway.now();
    let mut quotas = gateway.quotas.borrow_mut();
    match quotas.grant(now, tenant, quota, gateway.fleet(), Some(to), order) {
        None => GrantDecision::Unready,
        Some(Ok(())) => GrantDecision::Granted,
        Some(Err(over)) => GrantDecision::Refused {
            pause_ms: u32::try_from(over.retry_after.as_millis()).unwrap_or(u32::MAX),
            is_held_back: over.is_held_back,
        },
    }
}

/// Returns whether lessors are enabled and any tenant has a quota.
fn uses_lessors(gateway: &Gateway) -> bool {
    gateway.settings.policy.quota_lessors && has_quotas(gateway)
}

fn introduction(gateway: &Gateway, is_answer: bool) -> LessorMessage {
    LessorMessage::Introduction {
        node: gateway.settings.node.clone(),
        boot: gateway.ledger.boot(),
        is_answer,
    }
}

fn address_of(gateway: &Gateway, node: &NodeId) -> Option<SocketAddr> {
    let nodes = gateway.nodes.borrow();
    Some(nodes.get(node)?.record.peer_address)
}
