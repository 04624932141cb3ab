//! Failures of many nodes at once, and the way back.

use std::time::Duration;

use serde::Serialize;

use super::HollowFleet;
use super::layout::{Layout, NODES_PER_CELL};
use super::settling::{
    DETECT_BOUND, SETTLE_BOUND, STEP, alive_cells, byte_rates, is_complete, recover,
};

/// Largest fleet whose regions are kept apart for a whole hour.
const LARGEST_WHOLE_HOUR: usize = 500;

/// A failure of many nodes at once, and the way back.
#[derive(Clone, Debug, Serialize)]
pub struct MassFailure {
    /// What failed.
    pub what: String,
    /// Nodes in all.
    pub nodes: usize,
    /// Nodes that failed.
    pub failed: usize,
    /// Seconds until every survivor knew; `None` if not within the bound.
    pub known_seconds: Option<f64>,
    /// Mean bytes a second per survivor until then.
    pub bytes_per_second: f64,
    /// Largest mean of any survivor.
    pub max_bytes_per_second: f64,
    /// Seconds from the return of all until everyone knew; `None` if not within the bound.
    pub healed_seconds: Option<f64>,
    /// Mean bytes a second per node during the return.
    pub heal_bytes_per_second: f64,
}

/// Which nodes fail together.
#[derive(Clone, Copy, Debug)]
pub enum Domain {
    /// Twenty machines that share a rack, dealt over the cells of one zone.
    Rack,
    /// One zone.
    Zone,
    /// One region is cut off; its nodes live on.
    RegionCut,
}

/// Fails a domain, waits until that is known, brings it back, and waits again.
pub fn measure(fleet: &mut HollowFleet, domain: Domain) -> MassFailure {
    let nodes = fleet.layout.nodes;
    let members = domain_members(fleet.layout, domain);
    let cut = cut_duration(nodes);
    fleet.reset_counters();
    let start = fleet.now;
    let known = match domain {
        Domain::Rack | Domain::Zone => {
            for node in &members {
                fleet.kill(*node);
            }
            fleet.run_until(DETECT_BOUND, STEP, is_complete)
        }
        Domain::RegionCut => {
            fleet.cut_regions = vec![0];
            fleet.run_until(DETECT_BOUND, STEP, is_cut_known)
        }
    };
    let (bytes_per_second, max_bytes_per_second) = byte_rates(fleet, start);
    if matches!(domain, Domain::RegionCut) {
        fleet.run(cut.saturating_sub(fleet.now.since(start)));
    }
    fleet.reset_counters();
    let back = fleet.now;
    fleet.cut_regions.clear();
    for node in &members {
        fleet.restart_if_dead(*node);
    }
    let healed = fleet.run_until(SETTLE_BOUND, STEP, is_complete);
    let (heal_bytes_per_second, _) = byte_rates(fleet, back);
    recover(fleet);
    MassFailure {
        what: match domain {
            Domain::Rack => "rack".to_string(),
            Domain::Zone => "zone".to_string(),
            Domain::RegionCut => format!("region cut for {} s", cut.as_secs()),
        },
        nodes,
        failed: members.len(),
        known_seconds: known.map(|time| time.as_secs_f64()),
        bytes_per_second,
        max_bytes_per_second,
        healed_seconds: healed.map(|time| time.as_secs_f64()),
        heal_bytes_per_second,
    }
}

/// An hour; less for a large fleet, whose hour would take too long to simulate.
fn cut_duration(nodes: usize) -> Duration {
    if nodes <= LARGEST_WHOLE_HOUR {
        Duration::from_secs(3_600)
    } else {
        Duration::from_secs(180)
    }
}

fn domain_members(layout: Layout, domain: Domain) -> Vec<usize> {
    let in_first_zone = (0..layout.nodes).filter(|node| layout.zone(*node) == 0);
    match domain {
        Domain::Rack => {
            let zone: Vec<usize> = in_first_zone.collect();
            let step = (zone.len() / NODES_PER_CELL).max(1);
            zone.into_iter()
                .step_by(step)
                .take(NODES_PER_CELL)
                .collect()
        }
        Domain::Zone => in_first_zone.collect(),
        Domain::RegionCut => (0..layout.nodes)
            .filter(|node| layout.region(*node) == 0)
            .collect(),
    }
}

fn is_cut_known(fleet: &HollowFleet) -> bool {
    let mut cells_of_side = [0, 0];
    for node in (0..fleet.layout.nodes).step_by(NODES_PER_CELL) {
        cells_of_side[side(fleet, node)] += 1;
    }
    let mut nodes = fleet.running();
    nodes.all(|(node, hollow)| alive_cells(hollow) == cells_of_side[side(fleet, node)])
}

fn side(fleet: &HollowFleet, node: usize) -> usize {
    usize::from(fleet.cut_regions.contains(&fleet.layout.region(node)))
}
