//! The permit of a turn: counts its tokens, stores it, and reports its end.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use elderworks_gateway_core::ledger::{EndReport, TurnHolders};
use elderworks_protocol::ledger::{FinishTurn, LedgerReply, LedgerRequest, StoredTurn};
use elderworks_types::{NodeId, PartitionId};

use crate::gateway::Gateway;
use crate::ledger::{self, AskedNodes};
use crate::memory::MemoryReservation;

/// Maximum number of attempts to store a turn.
const MAX_STORE_ATTEMPTS: u32 = 12;

/// Interval between attempts to store a turn.
const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// A permit to run a turn, or the request for one. When it is dropped, every node that may hold
/// tokens for the turn is told that the turn has ended.
pub(super) struct TurnPermit {
    pub(super) gateway: Rc<Gateway>,
    pub(super) partition: PartitionId,
    /// Every node that was asked for the permit.
    pub(super) asked: AskedNodes,
    /// What the nodes that were asked have to be told.
    pub(super) holders: TurnHolders,
    pub(super) program: String,
    pub(super) turn: String,
    pub(super) tokens_per_event: u64,
    pub(super) used: u64,
    pub(super) input: Bytes,
    /// Accounts for the memory of the body, which begins with the turn's conversation.
    pub(super) conversation: MemoryReservation,
}

impl TurnPermit {
    /// Records that an event is sent to the caller.
    pub(super) fn note_event(&mut self) {
        self.used += self.tokens_per_event;
    }

    /// Returns the number of tokens sent to the caller.
    pub(super) fn used(&self) -> u64 {
        self.used
    }

    /// Returns the turn's own input.
    pub(super) fn input(&self) -> Bytes {
        self.input.clone()
    }

    /// Records that a node has granted the permit.
    pub(super) fn note_granted(&mut self, granter: NodeId) {
        let reports = self.holders.note_granted(granter, self.asked.list());
        self.send(reports);
    }

    /// Ends a complete turn. A turn that is to be kept is stored; returns whether it is durable.
    pub(super) async fn finish(&mut self, kept: Option<StoredTurn>) -> bool {
        let (Some(content), Some(granter)) = (kept, self.holders.granter()) else {
            return true;
        };
        let report = FinishTurn {
            kept: Some(content),
            ..self.end_of_turn(self.used)
        };
        let stored_by = store_turn(&self.gateway, granter, self.partition, report).await;
        if let Some(node) = &stored_by {
            self.holders.note_stored(node);
        }
        stored_by.is_some()
    }

    fn end_of_turn(&self, used: u64) -> FinishTurn {
        FinishTurn {
            program: self.program.clone(),
            turn: self.turn.clone(),
            used,
            kept: None,
            waits: false,
        }
    }

    /// Sends reports of the turn's end in the background.
    fn send(&self, reports: Vec<EndReport>) {
        for EndReport { node, used } in reports {
            let gateway = self.gateway.clone();
            let partition = self.partition;
            let finish = self.end_of_turn(used);
            actix_rt::spawn(async move {
                ledger::report_end(&gateway, &node, partition, finish).await;
            });
        }
    }
}

impl Drop for TurnPermit {
    fn drop(&mut self) {
        let reports = self.holders.reports_at_end(self.asked.list(), self.used);
        self.send(reports);
    }
}

/// Stores a turn through its granter, or else through another node that can act for its partition.
/// During a log outage that node holds the report until the log responds again. Returns the node
/// that stored the turn, if one did.
async fn store_turn(
    gateway: &Rc<Gateway>,
    granter: &NodeId,
    partition: PartitionId,
    report: FinishTurn,
) -> Option<NodeId> {
    let immediate = LedgerRequest::Finish(report.clone());
    let deferred = LedgerRequest::Finish(FinishTurn {
        waits: true,
        ..report
    });
    for _ in 0..MAX_STORE_ATTEMPTS {
        let answered =
            ledger::request_from_granter(gateway, granter, partition, immediate.clone()).await;
        if answered.reply == LedgerReply::Finished {
            return Some(answered.node);
        }
        let pause = actix_rt::time::sleep(STORE_RETRY_INTERVAL);
        let answered = ledger::request_when_log_returns(gateway, partition, deferred.clone()).await;
        if answered.reply == LedgerReply::Finished {
            return Some(answered.node);
        }
        pause.await;
    }
    None
}
