//! Slopes of state, messages and processor time by role.

mod fit;
mod fleet;
mod memory;
mod report;
mod roles;
mod timing;

use std::process::ExitCode;

use crate::command_line::Scale;
use fleet::mass_failure::Domain;
use fleet::{churn, detection, loss, mass_failure, steady};
use report::Report;
use roles::Filled;

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

/// Most calls open on one sidecar.
const SIDECAR_CALLS: usize = 16_000;

/// Runs the experiment, printing each table as soon as it is known.
pub fn run(options: Scale) -> eyre::Result<ExitCode> {
    let mut report = Report::default();
    measure_state(&options, &mut report)?;
    measure_faults(options.nodes, &mut report);
    if let Some(path) = options.json {
        std::fs::write(path, serde_json::to_string_pretty(&report)?)?;
    }
    Ok(ExitCode::SUCCESS)
}

/// Everything whose memory is measured is held until the end, and state is encoded only then: freed
/// memory would be used again and spoil the measure of what follows.
fn measure_state(options: &Scale, report: &mut Report) -> eyre::Result<()> {
    let mut fleets = Vec::new();
    for size in sizes(options.nodes) {
        let (steady, fleet) = steady::measure(size, SEED)?;
        fleets.push(fleet);
        report.steady.push(steady);
    }
    report.print_steady();
    report.filled = fill_roles(options.workers, options.runs)?;
    report.print_roles();
    Ok(())
}

fn measure_faults(nodes: usize, report: &mut Report) {
    report.detection = sizes(nodes)
        .into_iter()
        .map(|size| detection::measure(size, SEED))
        .collect();
    report.print_detection();
    report.accusations = LOSSES
        .map(|loss_percent| loss::measure(nodes, loss_percent, SEED))
        .to_vec();
    report.print_accusations();
    report.churn = CHURN_MULTIPLES
        .map(|multiple| churn::measure(nodes, multiple, SEED))
        .to_vec();
    report.print_churn();
    report.failures = [Domain::Rack, Domain::Zone, Domain::RegionCut]
        .map(|domain| mass_failure::measure(nodes, domain, SEED))
        .to_vec();
    report.print_failures();
}

/// Fills each role that carries runs.
fn fill_roles(workers: usize, runs: usize) -> eyre::Result<Vec<Filled>> {
    let mut filled = Vec::new();
    let mut controls = Vec::new();
    for count in eighths(BUDGETS) {
        controls.push(roles::control::fill_budgets(count)?);
    }
    for count in eighths(workers) {
        controls.push(roles::control::fill_engines(count)?);
    }
    let mut sidecars = Vec::new();
    for count in eighths(SIDECAR_CALLS) {
        let (one, sidecar) = roles::sidecar::fill(count)?;
        filled.push(one);
        sidecars.push(sidecar);
    }
    filled.extend(controls.iter().map(|(one, _)| one.clone()));
    let mut owners = Vec::new();
    for count in eighths(runs) {
        owners.push(roles::owner::fill(
            "owner: runs of 10 turns",
            count,
            count,
            10,
        )?);
    }
    for turns in TURNS {
        let count = RUNS_OF_MANY_TURNS * turns as usize;
        let role = "owner: turns of 50 runs";
        owners.push(roles::owner::fill(role, count, RUNS_OF_MANY_TURNS, turns)?);
    }
    for (mut one, owner) in owners {
        one.encoded_bytes = Some(owner.encoded_bytes());
        filled.push(one);
    }
    Ok(filled)
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
