//! How soon the death of single nodes is known.

use elderworks_protocol::gossip::MemberState;
use elderworks_types::Timestamp;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::layout::NODES_PER_CELL;
use super::settling::{DETECT_BOUND, STEP, mean, recover};
use super::{HollowFleet, Subject};

/// Most nodes killed at once, each in a cell of its own.
const MAX_KILLED: usize = 20;

/// Detection of single deaths.
#[derive(Clone, Debug, Serialize)]
pub struct Detection {
    /// Nodes.
    pub nodes: usize,
    /// Nodes killed, in different cells where there are enough.
    pub killed: usize,
    /// Seconds until the first member of the cell held one dead: mean over the killed.
    pub first_mean_seconds: f64,
    /// Seconds until every member of the cell held it dead: mean and worst over the killed.
    pub all_mean_seconds: f64,
    /// The worst of these.
    pub all_worst_seconds: f64,
    /// Deaths not known to all within the bound.
    pub missed: usize,
}

/// Kills nodes and measures how soon their cells know.
pub fn measure(fleet: &mut HollowFleet, seed: u64) -> Detection {
    let nodes = fleet.layout.nodes;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut cells: Vec<usize> = (0..fleet.layout.cells()).collect();
    cells.shuffle(&mut random);
    cells.truncate(MAX_KILLED);
    let victims: Vec<usize> = cells.iter().map(|cell| cell * NODES_PER_CELL).collect();
    let start = fleet.now;
    for victim in &victims {
        fleet.kill(*victim);
    }
    fleet.run_until(DETECT_BOUND, STEP, |fleet| {
        victims
            .iter()
            .all(|victim| times_held_dead(fleet, *victim, start).1)
    });
    let mut first = Vec::new();
    let mut all = Vec::new();
    for victim in &victims {
        let (times, complete) = times_held_dead(fleet, *victim, start);
        first.extend(times.first().copied());
        if complete {
            all.extend(times.last().copied());
        }
    }
    recover(fleet);
    Detection {
        nodes,
        killed: victims.len(),
        first_mean_seconds: mean(&first),
        all_mean_seconds: mean(&all),
        all_worst_seconds: all.iter().copied().fold(0.0, f64::max),
        missed: victims.len() - all.len(),
    }
}

/// When each member of the victim's cell came to hold it dead, in seconds, and whether all have.
fn times_held_dead(fleet: &HollowFleet, victim: usize, start: Timestamp) -> (Vec<f64>, bool) {
    let dead = Subject::Member(fleet.layout.name(victim), MemberState::Dead);
    let times: Vec<f64> = fleet
        .changes
        .iter()
        .filter(|change| change.about == dead)
        .map(|change| change.at.since(start).as_secs_f64())
        .collect();
    let cell = fleet.layout.cell(victim);
    let peers = fleet
        .running()
        .filter(|(node, _)| fleet.layout.cell(*node) == cell)
        .count();
    let complete = times.len() >= peers;
    (times, complete)
}
