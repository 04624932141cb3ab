//! Requests of tenants with a quota are granted by one node a tenant, over datagrams.

use std::cell::{OnceCell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderworks_gateway_core::config::ServingConfig;
use elderworks_gateway_core::quota::{Order, lessor_of};
use elderworks_gateway_core::tenants::TenantKey;
use elderworks_protocol::encode;
use elderworks_protocol::gateway::{GatewayDatagram, GrantVerdict, LessorMessage};
use elderworks_types::{NodeId, Timestamp};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::gateway::Gateway;

/// Wait for the answer to a question, which needs one way to another zone and back.
const ANSWER_TIME: Duration = Duration::from_millis(80);

/// Times that a lessor is asked: datagrams are lost.
const ASKING_TRIES: u32 = 2;

/// A lessor that has not answered is not asked for this long.
const SILENT_PAUSE: Duration = Duration::from_millis(500);

/// A node that has not said that it grants is told of this one again after this time.
const INTRODUCTION_PAUSE: Duration = Duration::from_secs(1);

/// Most nodes that are told of this one at a time.
const MOST_INTRODUCED: usize = 32;

/// What this node knows of the others as lessors, and its open questions.
#[derive(Debug, Default)]
pub(crate) struct Lessors {
    socket: OnceCell<Rc<UdpSocket>>,
    /// Nodes that have said that they grant, with the boot number of the process that has.
    granting: RefCell<BTreeMap<NodeId, u64>>,
    /// When nodes were told of this one.
    introduced: RefCell<BTreeMap<NodeId, Timestamp>>,
    open: RefCell<HashMap<u64, oneshot::Sender<GrantVerdict>>>,
    /// Nodes that have not answered, and when.
    silent: RefCell<BTreeMap<NodeId, Timestamp>>,
}

/// Who grants a tenant's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Lessor {
    /// This node.
    Local,
    /// Another one.
    Remote(NodeId),
    /// None: not all nodes grant, or the one that should has not answered lately.
    Unavailable,
}

impl Lessors {
    /// Questions are sent from this socket.
    pub(super) fn open(&self, socket: &Rc<UdpSocket>) {
        // Set once, by the loop that receives the answers.
        let _ = self.socket.set(socket.clone());
    }

    /// Tells the nodes that take callers that this one grants, until they have said the same.
    pub(super) fn introduce(&self, gateway: &Gateway) {
        if !is_wanted(gateway) {
            return;
        }
        let now = gateway.now();
        let mut introduced = self.introduced.borrow_mut();
        introduced.retain(|_, at| now.since(*at) < INTRODUCTION_PAUSE);
        let serving = gateway.serving.borrow();
        let unknown = serving.iter().filter(|node| !self.grants(gateway, node));
        let due = unknown.filter(|node| !introduced.contains_key(*node));
        let due: Vec<NodeId> = due.take(MOST_INTRODUCED).cloned().collect();
        for node in due {
            if let Some(to) = address_of(gateway, &node) {
                self.send(to, introduction(gateway, false));
            }
            introduced.insert(node, now);
        }
    }

    /// Who grants a tenant's requests now.
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

    /// Asks another node to grant a request. No answer counts as one that it cannot tell.
    pub(crate) async fn ask(
        &self,
        gateway: &Gateway,
        lessor: &NodeId,
        tenant: TenantKey,
        order: Order,
    ) -> GrantVerdict {
        let question = gateway.next_sequence();
        let (sender, mut receiver) = oneshot::channel();
        self.open.borrow_mut().insert(question, sender);
        let _closing = Closing {
            desk: self,
            question,
        };
        for _ in 0..ASKING_TRIES {
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
            if let Ok(Ok(verdict)) = tokio::time::timeout(ANSWER_TIME, &mut receiver).await {
                self.silent.borrow_mut().remove(lessor);
                return verdict;
            }
        }
        log::info!(lessor = lessor.as_str(); "a lessor of quotas does not answer");
        gateway.metrics.note_quota_grant("silent");
        let now = gateway.now();
        self.silent.borrow_mut().insert(lessor.clone(), now);
        GrantVerdict::Unready
    }

    /// Takes another node's message.
    pub(super) fn take(&self, gateway: &Gateway, from: SocketAddr, message: LessorMessage) {
        match message {
            LessorMessage::Introduction {
                node,
                boot,
                is_answer,
            } => {
                let before = self.granting.borrow_mut().insert(node.clone(), boot);
                if before.is_some_and(|before| before != boot) {
                    gateway.quotas.borrow_mut().note_restart(&node);
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
                let Some(waiting) = self.open.borrow_mut().remove(&question) else {
                    return;
                };
                // Nobody waits for it if the time of the request is over.
                let _ = waiting.send(verdict);
            }
        }
    }

    /// Whether the process of a node that is known now has said that it grants.
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
        // What is lost is asked or told again, or decided without.
        let _ = socket.try_send_to(&datagram, to);
    }
}

/// Ends a question, also of a request whose time is over.
struct Closing<'a> {
    desk: &'a Lessors,
    question: u64,
}

impl Drop for Closing<'_> {
    fn drop(&mut self) {
        self.desk.open.borrow_mut().remove(&self.question);
    }
}

/// Decides as lessor, by the limits of the configuration that is in force here.
fn decide(gateway: &Gateway, tenant: TenantKey, to: &NodeId, order: Order) -> GrantVerdict {
    let config = gateway.current_config();
    let known = config
        .as_ref()
        .and_then(|config| config.tenants.find(tenant));
    let Some(quota) = known.and_then(|tenant| tenant.quota) else {
        return GrantVerdict::Unready;
    };
    let now = gateway.now();
    let mut quotas = gateway.quotas.borrow_mut();
    match quotas.grant(now, tenant, quota, gateway.fleet(), Some(to), order) {
        None => GrantVerdict::Unready,
        Some(Ok(())) => GrantVerdict::Granted,
        Some(Err(over)) => GrantVerdict::Refused {
            pause_ms: u32::try_from(over.retry_after.as_millis()).unwrap_or(u32::MAX),
            is_held_back: over.is_held_back,
        },
    }
}

/// Whether any tenant has a quota, and quotas are granted.
fn is_wanted(gateway: &Gateway) -> bool {
    let has_quotas = |config: &ServingConfig| config.tenants.iter().any(|one| one.quota.is_some());
    let config = gateway.current_config();
    gateway.settings.policy.quota_lessors && config.is_some_and(|config| has_quotas(&config))
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
