//! Requests to the ledger: to the node that should own the partition, or carried out here.

mod log_calls;
mod owner;

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use elderworks_gateway_core::ledger::WitnessMemory;
use elderworks_gateway_core::partition_failover::{SkipReason, StartupGrace};
use elderworks_gateway_core::start::Milestone;
use elderworks_protocol::ledger::{LedgerReply, LedgerRequest};
use elderworks_types::{NodeId, PartitionId};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::{mpsc, oneshot};

use crate::gateway::Gateway;
use crate::peers::NoReply;
use owner::Job;

/// Pause before a request that no node could carry out is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(120);

/// The partitions that this node has acted for.
#[derive(Debug)]
pub(crate) struct Ledger {
    partitions: u32,
    tasks: RefCell<HashMap<PartitionId, mpsc::UnboundedSender<Job>>>,
    /// What this node witnesses for other owners.
    witness: RefCell<WitnessMemory>,
}

impl Ledger {
    /// Acts for no partition yet.
    pub(crate) fn new(partitions: u32) -> Self {
        Self {
            partitions,
            tasks: RefCell::default(),
            witness: RefCell::new(WitnessMemory::new(rand::random())),
        }
    }

    /// Names this start of the node.
    pub(crate) fn boot(&self) -> u64 {
        self.witness.borrow().boot()
    }
}

/// The nodes to which requests for a turn went, whether or not they replied: any of them may have
/// carried one out.
#[derive(Clone, Debug, Default)]
pub(crate) struct AskedNodes(Rc<RefCell<BTreeSet<NodeId>>>);

impl AskedNodes {
    /// Those asked so far.
    pub(crate) fn list(&self) -> Vec<NodeId> {
        self.0.borrow().iter().cloned().collect()
    }

    fn note(&self, node: &NodeId) {
        self.0.borrow_mut().insert(node.clone());
    }
}

/// A reply and the node that gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LedgerAnswer {
    /// The reply.
    pub(crate) reply: LedgerReply,
    /// The node.
    pub(crate) by: NodeId,
}

/// Times that a node is told that a turn does not run.
const WITHDRAW_TRIES: u32 = 5;

/// Pause between two of these.
const WITHDRAW_PAUSE: Duration = Duration::from_millis(800);

/// Other nodes that are asked for a partition before this one reads the partition itself. Reading
/// is dear, and all nodes would do it at the same time for a partition whose owner is lost.
const MOST_PEERS_ASKED: usize = 3;

/// Makes a request of a partition's ledger.
///
/// Any node can carry it out; those that should act for the partition are asked in order, since
/// the first of them has the state at hand. If none of them can, this node tries.
/// [`LedgerReply::Unavailable`] if nobody could.
pub(crate) async fn request(
    gateway: &Rc<Gateway>,
    partition: PartitionId,
    request: LedgerRequest,
    asked: &AskedNodes,
) -> LedgerAnswer {
    let own = &gateway.settings.node;
    let mut candidates = gateway.peers.candidates(gateway, partition);
    candidates.truncate(MOST_PEERS_ASKED);
    let is_candidate = candidates.contains(own);
    let before_own = candidates.into_iter().take_while(|node| node != own);
    for by in before_own {
        asked.note(&by);
        let reason = match ask_peer(gateway, &by, partition, request.clone()).await {
            // The log may refuse that node alone.
            Ok(LedgerReply::Unavailable) => SkipReason::Unavailable,
            Ok(reply) => return LedgerAnswer { reply, by },
            Err(NoReply::Unreachable | NoReply::Silent) => SkipReason::Absent,
            // The log is slow; a second node at the same partition would not help.
            Err(NoReply::TooSlow) => {
                let reply = LedgerReply::Unavailable;
                return LedgerAnswer { reply, by };
            }
        };
        if !may_pass_over(gateway, reason) {
            let reply = LedgerReply::Unavailable;
            return LedgerAnswer { reply, by };
        }
    }
    let may_act = gateway.log_reach.borrow().may_serve(is_candidate) && may_act_alone(gateway);
    let reply = if may_act {
        asked.note(own);
        carry_out(gateway, partition, request).await
    } else {
        LedgerReply::Unavailable
    };
    let by = own.clone();
    LedgerAnswer { reply, by }
}

fn standing(gateway: &Gateway) -> StartupGrace {
    StartupGrace {
        age: gateway.uptime(),
    }
}

/// Whether to go on past a candidate; for a moment after the start, one that is left out stays so.
fn may_pass_over(gateway: &Gateway, reason: SkipReason) -> bool {
    !gateway.settings.policy.starting_restraint || standing(gateway).may_skip(reason)
}

fn may_act_alone(gateway: &Gateway) -> bool {
    let has_joined = gateway.start.has_reached(Milestone::Joined);
    !gateway.settings.policy.starting_restraint || standing(gateway).may_serve_alone(has_joined)
}

/// Makes a request, which should say that it waits, of the first node that should act for a
/// partition and can be reached: it carries the request out as soon as the log is back, or says
/// after a while that the log is still away.
pub(crate) async fn request_when_log_returns(
    gateway: &Rc<Gateway>,
    partition: PartitionId,
    request: LedgerRequest,
) -> LedgerReply {
    let candidates = gateway.peers.candidates(gateway, partition);
    let own = &gateway.settings.node;
    match candidates.first() {
        Some(first) if first != own => ask_peer(gateway, first, partition, request)
            .await
            .unwrap_or(LedgerReply::Unavailable),
        _ => carry_out(gateway, partition, request).await,
    }
}

/// Makes a request of the node that has granted a turn, or else of the one that should own its
/// partition now.
pub(crate) async fn request_from_granter(
    gateway: &Rc<Gateway>,
    granter: &NodeId,
    partition: PartitionId,
    wanted: LedgerRequest,
) -> LedgerReply {
    if *granter == gateway.settings.node {
        return carry_out(gateway, partition, wanted).await;
    }
    match ask_peer(gateway, granter, partition, wanted.clone()).await {
        Ok(LedgerReply::Unavailable) | Err(_) => {
            let asked = AskedNodes::default();
            request(gateway, partition, wanted, &asked).await.reply
        }
        Ok(reply) => reply,
    }
}

/// Tells a node that was asked for a turn that the turn does not run, until it has heard.
pub(crate) async fn withdraw(
    gateway: &Rc<Gateway>,
    node: &NodeId,
    partition: PartitionId,
    end_of_turn: LedgerRequest,
) {
    for _ in 0..WITHDRAW_TRIES {
        let reply = if *node == gateway.settings.node {
            Ok(carry_out(gateway, partition, end_of_turn.clone()).await)
        } else {
            ask_peer(gateway, node, partition, end_of_turn.clone()).await
        };
        if reply == Ok(LedgerReply::Finished) {
            return;
        }
        actix_rt::time::sleep(WITHDRAW_PAUSE).await;
    }
}

/// Like [`request`], again and again for up to `patience` while no node can carry it out: an outage
/// of the log may end in time, and other owners settle what they have set aside.
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

/// Asks another node.
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
        // Else the next try would pass it over.
        if may_pass_over(gateway, SkipReason::Absent) {
            gateway.peers.avoid(gateway, node, *reason);
            gateway.peers.stop_presuming(gateway, node);
        }
    }
    replied
}

fn task_of(gateway: &Rc<Gateway>, partition: PartitionId) -> mpsc::UnboundedSender<Job> {
    let mut tasks = gateway.ledger.tasks.borrow_mut();
    let task = tasks.entry(partition);
    task.or_insert_with(|| owner::spawn(gateway, partition))
        .clone()
}

/// Begins to act for the partitions that this node should act for, before anybody asks, so that
/// their state is at hand and an overdraft stands when the log fails.
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
            if gateway.peers.is_foremost(&gateway, partition) {
                task_of(&gateway, partition);
            }
        }
    }
}

/// Carries a request out on this node.
pub(crate) async fn carry_out(
    gateway: &Rc<Gateway>,
    partition: PartitionId,
    request: LedgerRequest,
) -> LedgerReply {
    if let LedgerRequest::Witness(question) = &request {
        let mut witness = gateway.ledger.witness.borrow_mut();
        return LedgerReply::Witness(witness.answer(gateway.now(), question));
    }
    let (reply, answered) = oneshot::channel();
    let task = task_of(gateway, partition);
    if task.send((request, reply)).is_err() {
        return LedgerReply::Unavailable;
    }
    answered.await.unwrap_or(LedgerReply::Unavailable)
}

/// Looks a conversation up in every partition but one. [`LedgerReply::UnknownTurn`] only if every
/// partition is sure.
pub(crate) async fn find_conversation(
    gateway: &Rc<Gateway>,
    except: PartitionId,
    turn: &str,
) -> LedgerReply {
    let others = (0..gateway.ledger.partitions)
        .map(PartitionId)
        .filter(|partition| *partition != except);
    let asking = others.map(|partition| {
        let question = LedgerRequest::Conversation {
            turn: turn.to_owned(),
        };
        async move {
            let asked = AskedNodes::default();
            request(gateway, partition, question, &asked).await
        }
    });
    let mut answers: FuturesUnordered<_> = asking.collect();
    let mut sure = true;
    while let Some(LedgerAnswer { reply, .. }) = answers.next().await {
        match reply {
            LedgerReply::Conversation { .. } => return reply,
            LedgerReply::UnknownTurn => {}
            _ => sure = false,
        }
    }
    if sure {
        LedgerReply::UnknownTurn
    } else {
        LedgerReply::Unavailable
    }
}
