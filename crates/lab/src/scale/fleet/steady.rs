//! A fleet at rest, with configuration changes at the target's rate.

use std::time::Duration;

use elderworks_membership::ControlSource;
use elderworks_types::PartitionId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::settling::settle;
use super::traffic::{CAUSES, Traffic};
use super::{HollowFleet, HollowNode, work};
use crate::scale::memory::resident_bytes;
use crate::scale::timing::EventTime;

/// How long the steady state is measured.
const STEADY: Duration = Duration::from_secs(60);

/// Partitions whose assignment is timed.
const ASSIGNED_PARTITIONS: u32 = 1_000;

/// Changes of configuration a second at the target: 20,000 a day.
const TARGET_CHANGES_PER_SECOND: f64 = 20_000.0 / 86_400.0;

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
    /// Processor time by event.
    pub times: Vec<EventTime>,
    /// Share of a core that a node spends, in percent.
    pub core_percent: f64,
    /// Seconds from the append of a change until it is in force on every node: median and worst.
    pub change_seconds: Option<(f64, f64)>,
    /// Changes appended, and those in force everywhere when the run ended.
    pub changes: (usize, usize),
    /// Reads on the log a second, by the whole fleet.
    pub log_reads_per_second: f64,
}

/// Measures a fleet at rest. The fleet is returned so that the caller can hold it: freed memory would
/// be used again by the next fleet and spoil the measure of its size.
pub fn measure(nodes: usize, seed: u64) -> eyre::Result<(Steady, HollowFleet)> {
    let memory_before = resident_bytes()?;
    let (mut fleet, settled) = settle(nodes, seed);
    let memory_after = resident_bytes()?;
    fleet.reset_counters();
    run_with_changes(&mut fleet, STEADY, seed);
    let seconds = STEADY.as_secs_f64();
    let busy = fleet.timer.total();
    assign_partitions(&mut fleet);
    let times = fleet.timer.means();
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
        times,
        core_percent: busy.as_secs_f64() / seconds / nodes as f64 * 100.0,
        change_seconds,
        changes,
        log_reads_per_second,
    };
    Ok((steady, fleet))
}

/// Asks one node for the home of many partitions.
fn assign_partitions(fleet: &mut HollowFleet) {
    let node = fleet.nodes.iter().flatten().next();
    let Some(node) = node else { return };
    for partition in (0..ASSIGNED_PARTITIONS).map(PartitionId) {
        fleet
            .timer
            .time(work::ASSIGN, || node.membership.home_of(partition));
    }
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

/// Names of causes, for tables.
pub fn cause_names() -> Vec<String> {
    CAUSES.iter().map(|cause| format!("{cause:?}")).collect()
}
