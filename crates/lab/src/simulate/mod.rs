//! Simulation of the complete system under injected faults.

mod report;

use std::process::ExitCode;

use elderworks_simulation::broken::BrokenVariant;
use elderworks_simulation::shrink::shrink;
use elderworks_simulation::table::fault_table;
use elderworks_simulation::{FaultKind, Plan, Preset, Report, run as simulate};
use eyre::{WrapErr, eyre};

use crate::command_line::Simulate;
use report::{Summary, print_failure, print_table};

/// Maximum number of failing runs that are shrunk and printed; further ones are only counted.
const MAX_FAILURES_SHOWN: usize = 3;

/// Runs the simulations and prints the report. The exit code is 1 if an invariant was violated.
///
/// # Errors
///
/// Returns an error if an option is invalid or the JSON file cannot be written.
pub fn run(options: Simulate) -> eyre::Result<ExitCode> {
    let preset = parse_preset(options.preset.as_deref())?;
    let broken = parse_broken(options.broken.as_deref())?;
    let mut summary = Summary::default();
    for seed in options.seeds.0 {
        for plan in plans(seed, preset, options.faults.as_deref(), broken)? {
            run_plan(&plan, &mut summary);
        }
    }
    print_table(&summary);
    if let Some(file) = options.json {
        let json = serde_json::to_string_pretty(&summary)?;
        std::fs::write(&file, json).wrap_err_with(|| format!("cannot write {}", file.display()))?;
    }
    println!("{} runs, {} violations", summary.runs, summary.violations);
    if summary.violations > 0 {
        return Ok(ExitCode::FAILURE);
    }
    Ok(ExitCode::SUCCESS)
}

fn run_plan(plan: &Plan, summary: &mut Summary) {
    let report = simulate(plan);
    summary.add(&report);
    if !report.violations.is_empty() && summary.failures.len() < MAX_FAILURES_SHOWN {
        let shortest: Report = shrink(plan, &report);
        print_failure(&report, &shortest);
        summary.failures.push(shortest);
    }
}

fn parse_preset(name: Option<&str>) -> eyre::Result<Preset> {
    Ok(name.unwrap_or("lublin").parse()?)
}

fn parse_broken(name: Option<&str>) -> eyre::Result<Option<BrokenVariant>> {
    name.map(|name| name.parse().map_err(|problem| eyre!("{problem}")))
        .transpose()
}

/// Returns the plans of one seed: one with randomly drawn faults, or one per row of the fault
/// table. Without a choice of faults, a broken variant gets those that must expose it.
fn plans(
    seed: u64,
    preset: Preset,
    faults: Option<&str>,
    broken: Option<BrokenVariant>,
) -> eyre::Result<Vec<Plan>> {
    let mut plans = match faults {
        Some("table") => fault_table(seed, preset),
        None if broken.is_some() => {
            let kinds = broken.map_or(&[][..], |broken| broken.faults);
            vec![Plan::with_random_faults(seed, preset, kinds)]
        }
        names => vec![Plan::with_random_faults(
            seed,
            preset,
            &parse_faults(names)?,
        )],
    };
    if let Some(broken) = broken {
        for plan in &mut plans {
            broken.apply(plan);
        }
    }
    Ok(plans)
}

fn parse_faults(names: Option<&str>) -> eyre::Result<Vec<FaultKind>> {
    match names.unwrap_or("all") {
        "all" => Ok(FaultKind::all().collect()),
        "none" => Ok(Vec::new()),
        names => names
            .split(',')
            .map(|name| Ok(name.trim().parse()?))
            .collect(),
    }
}
