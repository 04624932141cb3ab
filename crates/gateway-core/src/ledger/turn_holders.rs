//! The nodes that may hold tokens for a turn, and what they are told of its end.
//!
//! Every node that was asked to start a turn may have reserved tokens for it, also if its reply was
//! lost. Only that node can return them, so it has to learn the end of the turn itself.

use std::time::Duration;

use elderworks_types::NodeId;

use super::wallet::MAX_TURN_DURATION;

/// Pause after the first report that a node doesn't confirm. Each further pause is twice as long, up
/// to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Maximum pause between two reports.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// What a node is told of the end of a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndReport {
    /// The node.
    pub node: NodeId,
    /// Tokens that the turn has generated on this node's account.
    pub used: u64,
}

/// The node on whose account a turn runs, as far as known.
#[derive(Debug, Default)]
pub struct TurnHolders {
    granter: Option<NodeId>,
    /// Whether the granter has confirmed the end of the turn.
    is_end_known: bool,
}

impl TurnHolders {
    /// Returns the node that granted the turn.
    pub fn granter(&self) -> Option<&NodeId> {
        self.granter.as_ref()
    }

    /// Records which node has granted the turn. Returns the reports to the other nodes that were
    /// asked: the turn doesn't run on their account.
    pub fn note_granted(&mut self, granter: NodeId, asked: Vec<NodeId>) -> Vec<EndReport> {
        let others = asked.into_iter().filter(|node| *node != granter);
        let reports = others.map(|node| EndReport { node, used: 0 }).collect();
        self.granter = Some(granter);
        reports
    }

    /// Records which node has stored the turn, and with it learned its end.
    pub fn note_stored(&mut self, node: &NodeId) {
        self.is_end_known |= self.granter.as_ref() == Some(node);
    }

    /// Returns the reports at the end of a turn that has generated `used` tokens.
    pub fn reports_at_end(&self, asked: Vec<NodeId>, used: u64) -> Vec<EndReport> {
        match self.granter.clone() {
            Some(_) if self.is_end_known => Vec::new(),
            Some(node) => vec![EndReport { node, used }],
            None => {
                let asked = asked.into_iter();
                asked.map(|node| EndReport { node, used: 0 }).collect()
            }
        }
    }
}

/// When to repeat a report that its node has not confirmed.
#[derive(Debug)]
pub struct ReportSchedule {
    pause: Duration,
}

impl Default for ReportSchedule {
    fn default() -> Self {
        Self { pause: FIRST_PAUSE }
    }
}

impl ReportSchedule {
    /// Returns the pause before the next report, `elapsed` after the first one; `None` once the node
    /// no longer waits for the end of the turn.
    pub fn next_pause(&mut self, elapsed: Duration) -> Option<Duration> {
        if elapsed >= MAX_TURN_DURATION {
            return None;
        }
        let pause = self.pause;
        self.pause = (pause * 2).min(MAX_PAUSE);
        Some(pause)
    }
}
