//! Requests of turns whose partition moves to another node before they end.

use std::rc::Rc;
use std::time::Duration;

use elderworks_protocol::ledger::{LedgerReply, LedgerRequest};
use elderworks_types::{NodeId, PartitionId};
use futures_util::future::{self, Either};

use super::{AskedNodes, LedgerAnswer, request, request_at};
use crate::gateway::Gateway;
use crate::peers::NoReply;

/// Time after which the partition's present owner is asked as well: longer than an owner without a
/// competitor takes.
const HANDOVER_WAIT: Duration = Duration::from_millis(120);

/// Sends a request to the node that granted a turn, or to the partition's candidates if that node
/// can't execute it.
///
/// If the partition has moved, the granter competes with the new owner for each append and may lose
/// for long. The new owner is therefore sent the same request if the granter doesn't reply soon; the
/// first reply counts. Ending a turn twice does no harm.
pub(crate) async fn request_from_granter(
    gateway: &Rc<Gateway>,
    granter: &NodeId,
    partition: PartitionId,
    wanted: LedgerRequest,
) -> LedgerAnswer {
    let at_granter = std::pin::pin!(ask(gateway, granter, partition, wanted.clone()));
    let moved = std::pin::pin!(new_owner(gateway, granter, partition));
    let answered = match future::select(at_granter, moved).await {
        Either::Left((answered, _)) => answered,
        Either::Right((owner, at_granter)) => {
            log::info!(
                partition = partition.0, granter = granter.as_str(), owner = owner.as_str();
                "the partition has moved; its new owner is asked as well"
            );
            let at_owner = std::pin::pin!(ask(gateway, &owner, partition, wanted.clone()));
            match future::select(at_granter, at_owner).await {
                Either::Left((None, at_owner)) => at_owner.await,
                Either::Right((None, at_granter)) => at_granter.await,
                Either::Left((answered, _)) | Either::Right((answered, _)) => answered,
            }
        }
    };
    match answered {
        Some(answered) => answered,
        None => request(gateway, partition, wanted, &AskedNodes::default()).await,
    }
}

/// Sends a request to one node. Returns `None` if that node can't execute it.
async fn ask(
    gateway: &Rc<Gateway>,
    node: &NodeId,
    partition: PartitionId,
    wanted: LedgerRequest,
) -> Option<LedgerAnswer> {
    let replied: Result<LedgerReply, NoReply> = request_at(gateway, node, partition, wanted).await;
    let reply = replied
        .ok()
        .filter(|reply| *reply != LedgerReply::Unavailable)?;
    let node = node.clone();
    Some(LedgerAnswer { reply, node })
}

/// Waits until the partition has an owner other than the granter, but at least [`HANDOVER_WAIT`].
async fn new_owner(gateway: &Rc<Gateway>, granter: &NodeId, partition: PartitionId) -> NodeId {
    actix_rt::time::sleep(HANDOVER_WAIT).await;
    let mut changes = gateway.peers.changes();
    loop {
        let candidates = gateway.peers.candidates(gateway, partition);
        if let Some(owner) = candidates.into_iter().next()
            && owner != *granter
        {
            return owner;
        }
        // The sender lives as long as the gateway.
        let _ = changes.changed().await;
    }
}
