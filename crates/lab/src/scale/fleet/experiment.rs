//! Experiments on hollow fleets.

use std::time::Duration;

use elderworks_membership::ControlSource;
use elderworks_protocol::gossip::{CellState, MemberState};
use elderworks_types::Timestamp;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::layout::{Layout, NODES_PER_CELL};
use super::traffic::{CAUSES, Traffic};
use super::{HollowFleet, HollowNode, Subject};
use crate::scale::memory::resident_bytes;

/// How long the steady state is measured.
const STEADY: Duration = Duration::from_secs(60);

/// How long a fleet rests once it is complete, so that the news of its start has died down.
const REST: Duration = Duration::from_secs(60);

/// How long a fleet is watched under loss.
const LOSSY: Duration = Duration::from_secs(60);

/// Longest wait for a fleet to settle.
const SETTLE_BOUND: Duration = Duration::from_secs(600);

/// Longest wait for a death to be known, or for a change to be in force.
const DETECT_BOUND: Duration = Duration::from_secs(120);

const STEP: Duration = Duration::from_millis(250);

/// Largest fleet whose regions are kept apart for a whole hour.
const LARGEST_WHOLE_HOUR: usize = 500;

/// Changes of configuration a second at the target: 20,000 a day.
pub const TARGET_CHANGES_PER_SECOND: f64 = 20_000.0 / 86_400.0;

/// Failures and replacements per node and second at the target: 120 and 1,000 a day in 3,200 nodes.
const TARGET_REPLACEMENTS_PER_NODE_SECOND: f64 = 1_120.0 / 3_200.0 / 86_400.0;

/// How long replacements are watched.
const CHURN: Duration = Duration::from_secs(60);

/// Time between the death of a node and the start of its replacement.
const REPLACE_AFTER: Duration = Duration::from_secs(10);

/// Duties of a node in its cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// None.
    Member,
    /// Relay, or reader of the control stream, or both.
    Relay,
}

/// Control traffic of the nodes of one role.
#[derive(Clone, Debug, Serialize)]
pub struct RoleTraffic {
    /// Which role.
    pub role: Role,
    /// How many nodes.
    pub nodes: usize,
    /// Mean bytes a second per node, both directions.
    pub mean_bytes_per_second: f64,
    /// Largest of any node.
    pub max_bytes_per_second: f64,
    /// Mean bytes a second by cause, in the order of `CAUSES`.
    pub by_cause: Vec<f64>,
    /// Mean messages a second by cause, in the order of `CAUSES`.
    pub messages_by_cause: Vec<f64>,
}

/// A fleet of one size at rest, with the target's rate of configuration changes.
#[derive(Clone, Debug, Serialize)]
pub struct Steady {
    /// Nodes.
    pub nodes: usize,
    /// Cells.
    pub cells: usize,
    /// Time from the start of all nodes at once until all know each other, in seconds.
    pub settle_seconds: Option<f64>,
    /// Resident bytes of the detector per node.
    pub bytes_per_node: f64,
    /// Traffic by role.
    pub roles: Vec<RoleTraffic>,
    /// Mean processor time of a tick, in microseconds.
    pub tick_micros: f64,
    /// Mean processor time of a datagram, in microseconds.
    pub datagram_micros: f64,
    /// Mean processor time of encoding or decoding a datagram, in microseconds.
    pub codec_micros: f64,
    /// Share of a core that a node spends, in percent.
    pub core_percent: f64,
    /// Seconds from the append of a change until it is in force on every node: median and worst.
    pub change_seconds: Option<(f64, f64)>,
    /// Changes appended, and those in force everywhere when the run ended.
    pub changes: (usize, usize),
    /// Reads on the log a second, by the whole fleet.
    pub log_reads_per_second: f64,
}

/// Starts a fleet and waits until its cells and digests are complete.
pub fn settle(nodes: usize, seed: u64) -> (HollowFleet, Option<Duration>) {
    let mut fleet = HollowFleet::new(nodes, seed);
    let settled = fleet.run_until(SETTLE_BOUND, Duration::from_secs(1), is_complete);
    fleet.run(REST);
    fleet.changes.clear();
    (fleet, settled)
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

fn alive_cells(hollow: &HollowNode) -> usize {
    let cells = hollow.membership.cells();
    cells
        .filter(|known| known.digest.state != CellState::Dead)
        .count()
}

/// Measures a fleet at rest. The fleet is returned so that the caller can hold it: freed memory would
/// be used again by the next fleet and spoil the measure of its size.
pub fn steady(nodes: usize, seed: u64) -> eyre::Result<(Steady, HollowFleet)> {
    let memory_before = resident_bytes()?;
    let (mut fleet, settled) = settle(nodes, seed);
    let memory_after = resident_bytes()?;
    fleet.reset_counters();
    run_with_changes(&mut fleet, STEADY, seed);
    let seconds = STEADY.as_secs_f64();
    let cost = fleet.cost;
    let busy = cost.tick.total + cost.datagram.total + cost.codec.total;
    let roles = [Role::Member, Role::Relay];
    let log_reads_per_second = fleet.log_reads as f64 / seconds;
    let roles = roles
        .into_iter()
        .filter_map(|role| role_traffic(&fleet, role, seconds))
        .collect();
    fleet.run(Duration::from_secs(20));
    let (change_seconds, changes) = change_times(&fleet);
    let steady = Steady {
        nodes,
        cells: fleet.layout.cells(),
        settle_seconds: settled.map(|settled| settled.as_secs_f64()),
        bytes_per_node: memory_after.saturating_sub(memory_before) as f64 / nodes as f64,
        roles,
        tick_micros: cost.tick.mean_micros(),
        datagram_micros: cost.datagram.mean_micros(),
        codec_micros: cost.codec.mean_micros(),
        core_percent: busy.as_secs_f64() / seconds / nodes as f64 * 100.0,
        change_seconds,
        changes,
        log_reads_per_second,
    };
    Ok((steady, fleet))
}

/// Runs while changes of configuration are appended at the target's rate, at random times.
fn run_with_changes(fleet: &mut HollowFleet, duration: Duration, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let end = fleet.now + duration;
    while fleet.now < end {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        let gap = Duration::from_secs_f64(-uniform.ln() / TARGET_CHANGES_PER_SECOND);
        let left = end.since(fleet.now);
        fleet.run(gap.min(left));
        if gap < left {
            fleet.append_control_record();
        }
    }
}

fn change_times(fleet: &HollowFleet) -> (Option<(f64, f64)>, (usize, usize)) {
    let running = fleet.running().count();
    let mut seconds: Vec<f64> = fleet
        .in_force
        .iter()
        .filter(|(_, (applied, _))| *applied == running)
        .map(|(revision, (_, last))| last.since(fleet.appended[*revision as usize]))
        .map(|time| time.as_secs_f64())
        .collect();
    seconds.sort_by(f64::total_cmp);
    let changes = (fleet.appended.len(), seconds.len());
    let median = seconds.get(seconds.len() / 2);
    let times = median
        .zip(seconds.last())
        .map(|(median, worst)| (*median, *worst));
    (times, changes)
}

fn role_of(fleet: &HollowFleet, hollow: &HollowNode) -> Role {
    let reads_log = hollow.membership.control_source(fleet.now) == ControlSource::Log;
    if hollow.membership.is_relay() || reads_log {
        Role::Relay
    } else {
        Role::Member
    }
}

fn role_traffic(fleet: &HollowFleet, role: Role, seconds: f64) -> Option<RoleTraffic> {
    let traffic: Vec<Traffic> = fleet
        .running()
        .filter(|(_, hollow)| role_of(fleet, hollow) == role)
        .map(|(_, hollow)| hollow.traffic)
        .collect();
    if traffic.is_empty() {
        return None;
    }
    let mut all = Traffic::default();
    for one in &traffic {
        all.add(one);
    }
    let node_seconds = traffic.len() as f64 * seconds;
    let largest = traffic.iter().map(Traffic::total_bytes).max();
    Some(RoleTraffic {
        role,
        nodes: traffic.len(),
        mean_bytes_per_second: all.total_bytes() as f64 / node_seconds,
        max_bytes_per_second: largest.unwrap_or(0) as f64 / seconds,
        by_cause: all
            .bytes
            .iter()
            .map(|bytes| *bytes as f64 / node_seconds)
            .collect(),
        messages_by_cause: all
            .messages
            .iter()
            .map(|messages| *messages as f64 / node_seconds)
            .collect(),
    })
}

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
pub fn detection(nodes: usize, seed: u64) -> Detection {
    let (mut fleet, _) = settle(nodes, seed);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut cells: Vec<usize> = (0..fleet.layout.cells()).collect();
    cells.shuffle(&mut random);
    cells.truncate(20);
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
        let (times, complete) = times_held_dead(&fleet, *victim, start);
        first.extend(times.first().copied());
        if complete {
            all.extend(times.last().copied());
        }
    }
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

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / (values.len().max(1) as f64)
}

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
pub fn false_accusations(nodes: usize, loss_percent: f64, seed: u64) -> FalseAccusations {
    let (mut fleet, _) = settle(nodes, seed);
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
    FalseAccusations {
        nodes,
        loss_percent,
        seconds,
        suspicions: count(|about| matches!(about, Subject::Member(_, MemberState::Suspect))),
        deaths: count(|about| matches!(about, Subject::Member(_, MemberState::Dead))),
        cell_deaths: count(|about| matches!(about, Subject::Cell(_, CellState::Dead))),
        bytes_per_second: bytes as f64 / nodes as f64 / seconds,
    }
}

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
pub fn churn(nodes: usize, multiple: f64, seed: u64) -> Churn {
    let (mut fleet, _) = settle(nodes, seed);
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
            fleet.start(*node, 2 + returned as u64);
        }
        returned += due;
    }
    let (bytes_per_second, max_bytes_per_second) = byte_rates(&fleet, start);
    Churn {
        nodes,
        multiple,
        replaced: replaced.len(),
        bytes_per_second,
        max_bytes_per_second,
    }
}

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
pub fn mass_failure(nodes: usize, domain: Domain, seed: u64) -> MassFailure {
    let (mut fleet, _) = settle(nodes, seed);
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
    let (bytes_per_second, max_bytes_per_second) = byte_rates(&fleet, start);
    if matches!(domain, Domain::RegionCut) {
        fleet.run(cut.saturating_sub(fleet.now.since(start)));
    }
    fleet.reset_counters();
    let back = fleet.now;
    fleet.cut_regions.clear();
    for node in &members {
        if fleet.nodes[*node].is_none() {
            fleet.start(*node, 2);
        }
    }
    let healed = fleet.run_until(SETTLE_BOUND, STEP, is_complete);
    let (heal_bytes_per_second, _) = byte_rates(&fleet, back);
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
        Duration::from_secs(300)
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

fn byte_rates(fleet: &HollowFleet, since: Timestamp) -> (f64, f64) {
    let seconds = fleet.now.since(since).as_secs_f64().max(f64::MIN_POSITIVE);
    let rates: Vec<f64> = fleet
        .running()
        .map(|(_, hollow)| hollow.traffic.total_bytes() as f64 / seconds)
        .collect();
    (mean(&rates), rates.iter().copied().fold(0.0, f64::max))
}

/// Names of causes, for tables.
pub fn cause_names() -> Vec<String> {
    CAUSES.iter().map(|cause| format!("{cause:?}")).collect()
}
