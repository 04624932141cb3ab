//! Reports the ends of turns to the nodes that were asked to start them.
//!
//! Such a node may hold tokens of the program's budget until it learns that the turn has ended. No
//! other node can return them in its place, and it may stand still or be cut off when the turn
//! ends, so the report is repeated until the node itself confirms it.

use std::rc::Rc;
use std::time::Instant;

use elderworks_gateway_core::ledger::ReportSchedule;
use elderworks_protocol::ledger::{FinishTurn, LedgerReply, LedgerRequest};
use elderworks_types::{NodeId, PartitionId};

use super::{execute, request_at};
use crate::gateway::Gateway;
use crate::peers::NoReply;

/// Reports the end of a turn to a node until it confirms, or until it has ended the turn by itself.
pub(crate) async fn report_end(
    gateway: &Rc<Gateway>,
    node: &NodeId,
    partition: PartitionId,
    finish: FinishTurn,
) {
    let started = Instant::now();
    let report = || LedgerRequest::Finish(finish.clone());
    let mut replied = {
        let _open = gateway.ledger.requests.begin();
        request_at(gateway, node, partition, report()).await
    };
    let mut schedule = ReportSchedule::default();
    while replied != Ok(LedgerReply::Finished) {
        let Some(pause) = schedule.next_pause(started.elapsed()) else {
            log::warn!(
                node = node.as_str(), partition = partition.0, program = finish.program.as_str(),
                turn = finish.turn.as_str(), used = finish.used;
                "the end of a turn was never confirmed"
            );
            return;
        };
        actix_rt::time::sleep(pause).await;
        replied = repeat(gateway, node, partition, report()).await;
    }
}

/// Sends a report once more. That its node doesn't answer was logged and noted the first time.
async fn repeat(
    gateway: &Rc<Gateway>,
    node: &NodeId,
    partition: PartitionId,
    report: LedgerRequest,
) -> Result<LedgerReply, NoReply> {
    if *node == gateway.settings.node {
        return Ok(execute(gateway, partition, report).await);
    }
    gateway.peers.ask(gateway, node, partition, report).await
}
