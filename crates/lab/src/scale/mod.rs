//! Slopes of state, messages and processor time by role.

mod fit;
mod fleet;
mod memory;
mod report;
pub mod roles;
mod timing;

use std::process::ExitCode;

use crate::command_line::Scale;
use fleet::mass_failure::Domain;
use fleet::{HollowFleet, churn, detection, loss, mass_failure, steady};
use report::Report;
use roles::FilledRoles;

/// Seed of every experiment, so that a run can be repeated.
const SEED: u64 = 2;

/// Shares of messages lost, in percent.
const LOSSES: [f64; 4] = [0.0, 1.0, 5.0, 10.0];

/// Multiples of the target's rate of replacements.
const CHURN_MULTIPLES: [f64; 4] = [1.0, 10.0, 20.0, 40.0];

/// Turns of the longest runs.
const TURNS: [u32; 4] = [70, 140, 280, 560];

/// Runs of that many turns.
const RUNS_OF_MANY_TURNS: usize = 50;

/// Most budgets: the target's tenants, and more.
const BUDGETS: usize = 16_000;

/// Most cached blocks indexed by one node.
const BLOCKS: usize = 400_000;

/// Most calls open on one sidecar.
const SIDECAR_CALLS: usize = 16_000;

/// Runs the experiment, printing each table as soon as it is known. What the roles hold is held to the
/// end, and its state is encoded only then: freed memory would be used again and spoil the measure of
/// what follows.
pub(crate) fn run(options: Scale) -> eyre::Result<ExitCode> {
    let mut report = Report::default();
    let roles = fill_roles(options.workers, options.runs)?;
    report.filled = roles.filled();
    report.print_roles();
    let mut fleets = measure_fleets(options.nodes, &mut report)?;
    report.print_steady();
    report.print_detection();
    if let Some(fleet) = fleets.last_mut() {
        measure_faults(fleet, &mut report);
    }
    report.filled = roles.filled_and_encoded();
    if let Some(path) = options.json {
        std::fs::write(path, serde_json::to_string_pretty(&report)?)?;
    }
    Ok(ExitCode::SUCCESS)
}

/// Fleets at rest, and deaths in them.
fn measure_fleets(nodes: usize, report: &mut Report) -> eyre::Result<Vec<HollowFleet>> {
    let mut fleets = Vec::new();
    for size in sizes(nodes) {
        let (steady, mut fleet) = steady::measure(size, SEED)?;
        report.steady.push(steady);
        report.detection.push(detection::measure(&mut fleet, SEED));
        fleets.push(fleet);
    }
    Ok(fleets)
}

fn measure_faults(fleet: &mut HollowFleet, report: &mut Report) {
    for loss_percent in LOSSES {
        report.accusations.push(loss::measure(fleet, loss_percent));
    }
    report.print_accusations();
    for multiple in CHURN_MULTIPLES {
        report.churn.push(churn::measure(fleet, multiple, SEED));
    }
    report.print_churn();
    for domain in [Domain::Rack, Domain::Zone, Domain::RegionCut] {
        report.failures.push(mass_failure::measure(fleet, domain));
    }
    report.print_failures();
}

/// Fills each role that carries runs.
fn fill_roles(workers: usize, runs: usize) -> eyre::Result<FilledRoles> {
    let mut roles = FilledRoles::default();
    for count in eighths(BUDGETS) {
        roles.controls.push(roles::control::fill_budgets(count)?);
    }
    for count in eighths(workers) {
        roles.controls.push(roles::control::fill_engines(count)?);
    }
    for count in eighths(workers) {
        let filled = roles::placement::fill_engines(count)?;
        roles.placements.push(filled);
    }
    for count in eighths(BLOCKS) {
        let filled = roles::placement::fill_blocks(count)?;
        roles.placements.push(filled);
    }
    for count in eighths(SIDECAR_CALLS) {
        roles.sidecars.push(roles::sidecar::fill(count)?);
    }
    for count in eighths(runs) {
        let role = "owner: runs of 10 turns";
        let filled = roles::owner::fill(role, count, count, 10)?;
        roles.owners.push(filled);
    }
    for turns in TURNS {
        let count = RUNS_OF_MANY_TURNS * turns as usize;
        let role = "owner: turns of 50 runs";
        let filled = roles::owner::fill(role, count, RUNS_OF_MANY_TURNS, turns)?;
        roles.owners.push(filled);
    }
    Ok(roles)
}

/// Four sizes, doubling up to `largest`.
fn eighths(largest: usize) -> [usize; 4] {
    [8, 4, 2, 1].map(|part| (largest / part).max(1))
}

/// At least four sizes up to `largest`: powers of ten where there are enough, else halves.
fn sizes(largest: usize) -> Vec<usize> {
    let tens = (1..).map(|power| 10_usize.pow(power));
    let sizes: Vec<usize> = tens.take_while(|size| *size < largest).collect();
    if sizes.len() < 3 {
        return eighths(largest).to_vec();
    }
    [sizes, vec![largest]].concat()
}
