//! Requests to the ledger: to the node that should own the partition, or carried out here.

mod owner;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use elderworks_protocol::ledger::{LedgerReply, LedgerRequest};
use elderworks_types::PartitionId;
use futures_util::future::join_all;
use tokio::sync::{mpsc, oneshot};

use crate::gateway::Gateway;
use owner::Job;

/// Longest wait for another node's reply.
const PEER_TIMEOUT: Duration = Duration::from_millis(600);

/// Other nodes asked before this one acts itself.
const PEERS_TRIED: usize = 2;

/// The partitions that this node has acted for.
#[derive(Debug)]
pub(crate) struct Ledger {
    partitions: u32,
    tasks: RefCell<HashMap<PartitionId, mpsc::UnboundedSender<Job>>>,
}

impl Ledger {
    /// Acts for no partition yet.
    pub(crate) fn new(partitions: u32) -> Self {
        Self {
            partitions,
            tasks: RefCell::default(),
        }
    }
}

/// Makes a request of a partition's ledger.
///
/// Any node can carry it out; the preferred ones are asked first, since they have the state at
/// hand. [`LedgerReply::Unavailable`] if none could.
pub(crate) async fn request(
    gateway: &Rc<Gateway>,
    partition: PartitionId,
    request: LedgerRequest,
) -> LedgerReply {
    for node in gateway
        .peers
        .candidates(partition)
        .into_iter()
        .take(PEERS_TRIED)
    {
        if node == gateway.settings.node {
            break;
        }
        gateway.metrics.ledger_forwarded.inc();
        let asking = gateway
            .peers
            .ask(gateway, &node, partition, request.clone());
        match actix_rt::time::timeout(PEER_TIMEOUT, asking).await {
            Ok(Some(LedgerReply::Unavailable)) => {}
            Ok(Some(reply)) => return reply,
            Ok(None) | Err(_) => {
                log::warn!(
                    peer = node.as_str(), partition = partition.0;
                    "peer did not answer for a partition"
                );
                gateway.peers.avoid(&node);
            }
        }
    }
    carry_out(gateway, partition, request).await
}

/// Carries a request out on this node.
pub(crate) async fn carry_out(
    gateway: &Rc<Gateway>,
    partition: PartitionId,
    request: LedgerRequest,
) -> LedgerReply {
    let (reply, answered) = oneshot::channel();
    let task = gateway
        .ledger
        .tasks
        .borrow_mut()
        .entry(partition)
        .or_insert_with(|| owner::spawn(gateway, partition))
        .clone();
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
        request(gateway, partition, question)
    });
    let mut sure = true;
    for reply in join_all(asking).await {
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
