//! Ledger requests, which are sent to the partition's preferred owner or executed on this node.

mod handover;
mod log_calls;
mod owner;
mod turn_ends;

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use elderworks_gateway_core::ledger::{SentNumber, WitnessMemory};
use elderworks_gateway_core::partition_failover::{SkipReason, StartupGrace};
use elderworks_gateway_core::start::Milestone;
use elderworks_protocol::ledger::{LedgerReply, LedgerRequest};
use elderworks_types::{NodeId, PartitionId};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::{mpsc, oneshot};

use crate::gateway::Gateway;
use crate::open_work::WorkCounter;
use crate::peers::NoReply;
use owner::Job;

pub(crate) use handover::request_from_granter;
pub(crate) use turn_ends::report_end;

/// Pause before a request that no node could execute is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(120);

/// The partitions for which this node runs an owner, and its memory as a witness.
#[derive(Debug)]
pub(crate) struct Ledger {
    /// Number of partitions.
    partitions: u32,
    tasks: RefCell<HashMap<PartitionId, mpsc::UnboundedSender<Job>>>,
    /// What this node remembers as a witness for owners on other nodes.
    witness: RefCell<WitnessMemory>,
    /// Requests to the owners of this node, and first reports of turns' ends to other nodes.
    requests: WorkCounter,
    /// Partitions whose owners have settlements to append.
    unsettled: RefCell<BTreeSet<PartitionId>>,
}

impl Ledger {
    /// Creates a ledger without any running owner.
    pub(crate) fn new(partitions: u32) -> Self {
        Self {
            partitions,
            tasks: RefCell::default(),
            witness: RefCell::new(WitnessMemory::new(rand::random())),
            requests: WorkCounter::default(),
            unsettled: RefCell::default(),
        }
    }

    /// Returns how many requests, reports and partitions are waiting for a call to the log or an
    /// answer. They are lost if the process exits now.
    pub(crate) fn work(&self) -> usize {
        let requests = usize::try_from(self.requests.count()).unwrap_or(usize::MAX);
        requests.saturating_add(self.unsettled.borrow().len())
    }

    /// Records whether the owner of a partition has settlements to append.
    fn note_settlements(&self, partition: PartitionId, has_some: bool) {
        let mut unsettled = self.unsettled.borrow_mut();
        match has_some {
            true => unsettled.insert(partition),
            false => unsettled.remove(&partition),
        };
    }

    /// Returns a random number that identifies this process among the starts of the node.
    pub(crate) fn boot(&self) -> u64 {
        self.witness.borrow().boot()
    }
}

/// The nodes to which requests for a turn were sent, whether or not they replied: any of them may
/// have executed one.
#[derive(Clone, Debug, Default)]
pub(crate) struct AskedNodes(Rc<RefCell<BTreeSet<NodeId>>>);

impl AskedNodes {
    /// Returns the nodes asked so far.
    pub(crate) fn list(&self) -> Vec<NodeId> {
        self.0.borrow().iter().cloned().collect()
    }

    fn insert(&self, node: &NodeId) {
        self.0.borrow_mut().insert(node.clone());
    }
}

/// A reply and the node that sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LedgerAnswer {
    /// The ledger's reply.
    pub(crate) reply: LedgerReply,
    /// The node that replied, or at which the request failed.
    pub(crate) node: NodeId,
}

/// Maximum number of candidates that are considered before this node acts for a partition itself.
/// Reading a partition is expensive, and every node would read it at once after the loss of its owner.
const MAX_CANDIDATES_ASKED: usize = 3;

/// Sends a request to a partition's ledger.
///
/// Any node can execute it. The partition's candidates are asked in order, because the first one
/// already has the state in memory; if none of them can, this node tries. Returns
/// [`LedgerReply::Unavailable`] if no node could execute the request.
pub(crate) async fn request(
    gateway: &Rc<Gateway>,
    partition: PartitionId,
    request: LedgerRequest,
    asked: &AskedNodes,
) -> LedgerAnswer {
    let own = &gateway.settings.node;
    let mut candidates = gateway.peers.candidates(gateway, partition);
    candidates.truncate(MAX_CANDIDATES_ASKED);
    let is_candidate = candidates.contains(own);
    let before_own = candidates.into_iter().take_while(|node| node != own);
    for node in before_own {
        asked.insert(&node);
        let reason = match ask_peer(gateway, &node, partition, request.clone()).await {
            // The log may refuse only that node.
            Ok(LedgerReply::Unavailable) => SkipReason::Unavailable,
            Ok(reply) => return LedgerAnswer { reply, node },
            Err(NoReply::Unreachable | NoReply::Silent) => SkipReason::Absent,
            // The log is slow, and a second owner of the partition would only add load.
            Err(NoReply::TooSlow) => {
                let reply = LedgerReply::Unavailable;
                return LedgerAnswer { reply, node };
            }
        };
        if !may_skip(gateway, reason) {
            let reply = LedgerReply::Unavailable;
            return LedgerAnswer { reply, node };
        }
    }
    let may_act = gateway.log_reach.borrow().may_serve(is_candidate) && may_act_alone(gateway);
    let reply = if may_act {
        asked.insert(own);
        execute(gateway, partition, request).await
    } else {
        LedgerReply::Unavailable
    };
    let node = own.clone();
    LedgerAnswer { reply, node }
}

fn acting_state(gateway: &Gateway) -> StartupGrace {
    StartupGrace {
        age: gateway.uptime(),
    }
}

/// Returns whether the next candidate may be asked after one that failed. Shortly after the start,
/// failed candidates are not skipped.
fn may_skip(gateway: &Gateway, reason: SkipReason) -> bool {
    !gateway.settings.policy.starting_restraint || acting_state(gateway).may_skip(reason)
}

/// Returns whether this node may act for a partition although no candidate could.
fn may_act_alone(gateway: &Gateway) -> bool {
    let has_joined = gateway.start.has_reached(Milestone::Joined);
    !gateway.settings.policy.starting_restraint || acting_state(gateway).may_serve_alone(has_joined)
}

/// Sends a request that waits for the end of a log outage to the partition's first candidate. That
/// node executes it as soon as the log is available, or replies after a timeout that it still isn't.
pub(crate) async fn request_when_log_returns(
    gateway: &Rc<Gateway>,
    partition: PartitionId,
    request: LedgerRequest,
) -> LedgerAnswer {
    let candidates = gateway.peers.candidates(gateway, partition);
    let own = &gateway.settings.node;
    let node = candidates.first().unwrap_or(own).clone();
    let replied = request_at(gateway, &node, partition, request).await;
    let reply = replied.unwrap_or(LedgerReply::Unavailable);
    LedgerAnswer { reply, node }
}

/// Sends a request to one node, which may be this one.
async fn request_at(
    gateway: &Rc<Gateway>,
    node: &NodeId,
    partition: PartitionId,
    wanted: LedgerRequest,
) -> Result<LedgerReply, NoReply> {
    if *node == gateway.settings.node {
        return Ok(execute(gateway, partition, wanted).await);
    }
    ask_peer(gateway, node, partition, wanted).await
}

/// Like [`request`], but retries for up to `patience` while no node can execute the request: a log
/// outage may end in time, and other owners may settle their budget reservations.
pub(crate) async fn request_with_retries(
    gateway: &Rc<Gateway>,
    partition: PartitionId,
    wanted: LedgerRequest,
    patience: Duration,
    asked: &AskedNodes,
) -> LedgerAnswer {
    let started = Instant::now();
    loop {
        let answered = request(gateway, partition, wanted.clone(), asked).await;
        let may_change = matches!(
            answered.reply,
            LedgerReply::Unavailable | LedgerReply::BudgetUnsure
        );
        let is_over = started.elapsed() + RETRY_PAUSE >= patience;
        if !may_change || is_over {
            return answered;
        }
        actix_rt::time::sleep(RETRY_PAUSE).await;
    }
}

/// Sends a request to another node, which is avoided for a while if it doesn't reply.
async fn ask_peer(
    gateway: &Rc<Gateway>,
    node: &NodeId,
    partition: PartitionId,
    request: LedgerRequest,
) -> Result<LedgerReply, NoReply> {
    gateway.metrics.ledger_forwarded.inc();
    let replied = gateway.peers.ask(gateway, node, partition, request).await;
    if let Err(reason) = replied.as_ref() {
        log::warn!(
            peer = node.as_str(), partition = partition.0, reason:? = reason;
            "peer did not answer for a partition"
        );
        // Avoiding a candidate makes the next attempt skip it.
        if may_skip(gateway, SkipReason::Absent) {
            gateway.peers.avoid(gateway, node, *reason);
            gateway.peers.stop_presuming(gateway, node);
        }
    }
    replied
}

/// Returns the queue of this node's owner of a partition, which is started on first use.
fn owner_task(gateway: &Rc<Gateway>, partition: PartitionId) -> mpsc::UnboundedSender<Job> {
    let mut tasks = gateway.ledger.tasks.borrow_mut();
    let task = tasks.entry(partition);
    task.or_insert_with(|| owner::spawn(gateway, partition))
        .clone()
}

/// Starts the owners of the partitions for which this node is the first candidate before any request
/// arrives, so that their state is in memory and an overdraft is in place when the log fails.
pub(crate) async fn prepare_partitions(gateway: Rc<Gateway>) {
    let mut changes = gateway.peers.changes();
    if !gateway.settings.policy.preparation {
        return;
    }
    while changes.changed().await.is_ok() {
        if !gateway.peers.is_settled() {
            continue;
        }
        for partition in (0..gateway.ledger.partitions).map(PartitionId) {
            if gateway.peers.is_first_candidate(&gateway, partition) {
                owner_task(&gateway, partition);
            }
        }
    }
}

/// Executes a request of this node on this node.
async fn execute(
    gateway: &Rc<Gateway>,
    partition: PartitionId,
    request: LedgerRequest,
) -> LedgerReply {
    execute_job(gateway, partition, request, None).await
}

/// Executes a request on this node that another node has sent under this number.
pub(crate) async fn execute_sent(
    gateway: &Rc<Gateway>,
    partition: PartitionId,
    request: LedgerRequest,
    sent: SentNumber,
) -> LedgerReply {
    execute_job(gateway, partition, request, Some(sent)).await
}

async fn execute_job(
    gateway: &Rc<Gateway>,
    partition: PartitionId,
    request: LedgerRequest,
    sent: Option<SentNumber>,
) -> LedgerReply {
    if let LedgerRequest::Witness(question) = &request {
        let mut witness = gateway.ledger.witness.borrow_mut();
        return LedgerReply::Witness(witness.answer(gateway.now(), question));
    }
    let _open = gateway.ledger.requests.begin();
    let (reply, answered) = oneshot::channel();
    let task = owner_task(gateway, partition);
    let job = Job {
        request,
        sent,
        reply,
    };
    if task.send(job).is_err() {
        return LedgerReply::Unavailable;
    }
    answered.await.unwrap_or(LedgerReply::Unavailable)
}

/// Looks up a conversation in every partition but `except`. Returns [`LedgerReply::UnknownTurn`] only
/// if every partition has confirmed that it doesn't know the turn.
pub(crate) async fn find_conversation(
    gateway: &Rc<Gateway>,
    except: PartitionId,
    turn: &str,
) -> LedgerReply {
    let others = (0..gateway.ledger.partitions)
        .map(PartitionId)
        .filter(|partition| *partition != except);
    let requests = others.map(|partition| {
        let question = LedgerRequest::Conversation {
            turn: turn.to_owned(),
        };
        async move {
            let asked = AskedNodes::default();
            request(gateway, partition, question, &asked).await
        }
    });
    let mut answers: FuturesUnordered<_> = requests.collect();
    let mut is_certain = true;
    while let Some(LedgerAnswer { reply, .. }) = answers.next().await {
        match reply {
            LedgerReply::Conversation { .. } => return reply,
            LedgerReply::UnknownTurn => {}
            _ => is_certain = false,
        }
    }
    if is_certain {
        LedgerReply::UnknownTurn
    } else {
        LedgerReply::Unavailable
    }
}
