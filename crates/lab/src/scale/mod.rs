//! Slopes of state, messages and processor time by role.

mod fit;
mod fleet;
mod memory;
mod report;

use std::process::ExitCode;

use crate::command_line::Scale;
use fleet::experiment::{self, Domain};
use report::Report;

/// Seed of every experiment, so that a run can be repeated.
const SEED: u64 = 2;

/// Shares of messages lost, in percent.
const LOSSES: [f64; 4] = [0.0, 1.0, 5.0, 10.0];

/// Multiples of the target's rate of replacements.
const CHURN_MULTIPLES: [f64; 4] = [1.0, 10.0, 20.0, 40.0];

/// Runs the experiment and prints its report.
pub fn run(options: Scale) -> eyre::Result<ExitCode> {
    let mut report = Report::default();
    let mut held = Vec::new();
    for nodes in sizes(options.nodes) {
        let (steady, fleet) = experiment::steady(nodes, SEED)?;
        held.push(fleet);
        report.steady.push(steady);
    }
    drop(held);
    for nodes in sizes(options.nodes) {
        report.detection.push(experiment::detection(nodes, SEED));
    }
    for loss_percent in LOSSES {
        let accusations = experiment::false_accusations(options.nodes, loss_percent, SEED);
        report.accusations.push(accusations);
    }
    for multiple in CHURN_MULTIPLES {
        report
            .churn
            .push(experiment::churn(options.nodes, multiple, SEED));
    }
    for domain in [Domain::Rack, Domain::Zone, Domain::RegionCut] {
        let failure = experiment::mass_failure(options.nodes, domain, SEED);
        report.failures.push(failure);
    }
    report.print();
    if let Some(path) = options.json {
        std::fs::write(path, serde_json::to_string_pretty(&report)?)?;
    }
    Ok(ExitCode::SUCCESS)
}

/// At least four sizes up to `largest`: powers of ten where there are enough, else halves.
fn sizes(largest: usize) -> Vec<usize> {
    let tens = (1..).map(|power| 10_usize.pow(power));
    let mut sizes: Vec<usize> = tens.take_while(|size| *size < largest).collect();
    if sizes.len() < 3 {
        sizes = vec![largest / 8, largest / 4, largest / 2];
        sizes.retain(|size| *size > 0);
    }
    sizes.push(largest);
    sizes
}
