//! Starting a fleet, and when it is complete.

use std::time::Duration;

use elderworks_protocol::gossip::{CellState, MemberState};
use elderworks_types::Timestamp;

use super::{HollowFleet, HollowNode};

/// Longest wait for a fleet to settle.
pub const SETTLE_BOUND: Duration = Duration::from_secs(600);

/// Longest wait for a death to be known, or for a change to be in force.
pub const DETECT_BOUND: Duration = Duration::from_secs(120);

/// How often a condition is looked at.
pub const STEP: Duration = Duration::from_millis(250);

/// How long a fleet rests once it is complete, so that the news of its start has died down.
const FIRST_REST: Duration = Duration::from_secs(60);

/// How long a fleet rests after an experiment.
const REST: Duration = Duration::from_secs(20);

/// Starts a fleet and waits until its cells and digests are complete.
pub fn settle(nodes: usize, seed: u64) -> (HollowFleet, Option<Duration>) {
    let mut fleet = HollowFleet::new(nodes, seed);
    let settled = fleet.run_until(SETTLE_BOUND, Duration::from_secs(1), is_complete);
    fleet.run(FIRST_REST);
    fleet.changes.clear();
    (fleet, settled)
}

/// Mends everything that an experiment broke, and rests.
pub fn recover(fleet: &mut HollowFleet) {
    fleet.loss_percent = 0.0;
    fleet.cut_regions.clear();
    for node in 0..fleet.nodes.len() {
        fleet.restart_if_dead(node);
    }
    fleet.run_until(SETTLE_BOUND, STEP, is_complete);
    fleet.run(REST);
    fleet.changes.clear();
}

/// Whether every running node knows every running member of its cell, and every living cell.
pub fn is_complete(fleet: &HollowFleet) -> bool {
    let mut alive_in_cell = vec![0; fleet.layout.cells()];
    for (node, _) in fleet.running() {
        alive_in_cell[fleet.layout.cell(node)] += 1;
    }
    let cells = alive_in_cell.iter().filter(|alive| **alive > 0).count();
    fleet.running().all(|(node, hollow)| {
        let members = alive_members(hollow) == alive_in_cell[fleet.layout.cell(node)];
        members && alive_cells(hollow) == cells
    })
}

fn alive_members(hollow: &HollowNode) -> usize {
    let members = hollow.membership.members();
    members
        .filter(|member| member.update.state == MemberState::Alive)
        .count()
}

/// Cells that a node does not hold dead.
pub fn alive_cells(hollow: &HollowNode) -> usize {
    let cells = hollow.membership.cells();
    cells
        .filter(|known| known.digest.state != CellState::Dead)
        .count()
}

/// Bytes a second per node since a moment: mean and largest.
pub fn byte_rates(fleet: &HollowFleet, since: Timestamp) -> (f64, f64) {
    let seconds = fleet.now.since(since).as_secs_f64().max(f64::MIN_POSITIVE);
    let rates: Vec<f64> = fleet
        .running()
        .map(|(_, hollow)| hollow.traffic.total_bytes() as f64 / seconds)
        .collect();
    (mean(&rates), rates.iter().copied().fold(0.0, f64::max))
}

/// Arithmetic mean; 0 of nothing.
pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / (values.len().max(1) as f64)
}
