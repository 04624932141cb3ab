//! Replacements of single nodes.

use std::time::Duration;

use elderworks_types::Timestamp;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::HollowFleet;
use super::settling::{byte_rates, recover};

/// Failures and replacements per node and second at the target: 120 and 1,000 a day in 3,200 nodes.
const TARGET_REPLACEMENTS_PER_NODE_SECOND: f64 = 1_120.0 / 3_200.0 / 86_400.0;

/// How long replacements are watched.
const CHURN: Duration = Duration::from_secs(40);

/// Time between the death of a node and the start of its replacement.
const REPLACE_AFTER: Duration = Duration::from_secs(10);

/// Replacements of single nodes at a multiple of the target's rate.
#[derive(Clone, Debug, Serialize)]
pub struct Churn {
    /// Nodes.
    pub nodes: usize,
    /// Multiple of the target's rate of 1,120 failures and replacements a day in 3,200 nodes.
    pub multiple: f64,
    /// Nodes replaced.
    pub replaced: usize,
    /// Mean bytes a second per node.
    pub bytes_per_second: f64,
    /// Largest of any node.
    pub max_bytes_per_second: f64,
}

/// Kills a node at a time and starts it anew ten seconds later.
pub fn measure(fleet: &mut HollowFleet, multiple: f64, seed: u64) -> Churn {
    let nodes = fleet.layout.nodes;
    fleet.reset_counters();
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let start = fleet.now;
    let per_second = multiple * TARGET_REPLACEMENTS_PER_NODE_SECOND * nodes as f64;
    let gap = Duration::from_secs_f64(1.0 / per_second);
    let mut replaced: Vec<(Timestamp, usize)> = Vec::new();
    let mut returned = 0;
    while fleet.now.since(start) < CHURN {
        let victim = random.random_range(0..nodes);
        if fleet.nodes[victim].is_some() {
            fleet.kill(victim);
            replaced.push((fleet.now, victim));
        }
        fleet.run(gap);
        let due = |(killed, _): &&(Timestamp, usize)| fleet.now.since(*killed) >= REPLACE_AFTER;
        let due = replaced[returned..].iter().take_while(due).count();
        for (_, node) in &replaced[returned..returned + due] {
            fleet.restart_if_dead(*node);
        }
        returned += due;
    }
    let (bytes_per_second, max_bytes_per_second) = byte_rates(fleet, start);
    recover(fleet);
    Churn {
        nodes,
        multiple,
        replaced: replaced.len(),
        bytes_per_second,
        max_bytes_per_second,
    }
}
