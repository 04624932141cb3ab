//! Living nodes accused while messages are lost.

use std::time::Duration;

use elderworks_protocol::gossip::{CellState, MemberState};
use serde::Serialize;

use super::settling::recover;
use super::{HollowFleet, Subject};

/// How long a fleet is watched under loss.
const LOSSY: Duration = Duration::from_secs(60);

/// Accusations of living nodes under loss.
#[derive(Clone, Debug, Serialize)]
pub struct FalseAccusations {
    /// Nodes.
    pub nodes: usize,
    /// Share of messages lost.
    pub loss_percent: f64,
    /// Seconds watched.
    pub seconds: f64,
    /// Times a node took a living member for suspect on its own or on hearsay.
    pub suspicions: usize,
    /// Times a node took a living member for dead.
    pub deaths: usize,
    /// Times a node took a living cell for dead.
    pub cell_deaths: usize,
    /// Mean bytes a second per node.
    pub bytes_per_second: f64,
}

/// Watches a living fleet under loss.
pub fn measure(fleet: &mut HollowFleet, loss_percent: f64) -> FalseAccusations {
    let nodes = fleet.layout.nodes;
    fleet.reset_counters();
    fleet.loss_percent = loss_percent;
    fleet.run(LOSSY);
    let bytes: u64 = fleet
        .running()
        .map(|(_, hollow)| hollow.traffic.total_bytes())
        .sum();
    let count = |wanted: fn(&Subject) -> bool| {
        let changes = fleet.changes.iter();
        changes.filter(|change| wanted(&change.about)).count()
    };
    let seconds = LOSSY.as_secs_f64();
    let accusations = FalseAccusations {
        nodes,
        loss_percent,
        seconds,
        suspicions: count(|about| matches!(about, Subject::Member(_, MemberState::Suspect))),
        deaths: count(|about| matches!(about, Subject::Member(_, MemberState::Dead))),
        cell_deaths: count(|about| matches!(about, Subject::Cell(_, CellState::Dead))),
        bytes_per_second: bytes as f64 / nodes as f64 / seconds,
    };
    recover(fleet);
    accusations
}
