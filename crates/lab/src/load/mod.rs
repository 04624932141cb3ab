//! Open-loop load generation against real sidecars.
//!
//! Programs arrive at random times, independently of the system's responses. Latency is measured
//! from the intended start, so that it includes any delay of a system that falls behind.

mod figures;
mod plan;
mod program;
mod report;
#[cfg(test)]
mod tests;

use std::process::ExitCode;
use std::time::Instant;

use elderworks_sidecar::client::CallerClient;
use elderworks_types::ResourceName;
use eyre::WrapErr;
use futures_util::future::join_all;

use crate::command_line::Load;
use figures::Figures;
use plan::{LoadPlan, PlannedProgram};

const DEFAULT_TARGET: &str = "http://127.0.0.1:8001";
const DEFAULT_TOKEN: &str = "lublin-example-token";
const DEFAULT_PROGRAM: &str = "boundary-correction";
/// Programs started per second.
const DEFAULT_RATE: f64 = 5.0;
/// Total number of programs.
const DEFAULT_RUNS: usize = 200;
const DEFAULT_SEED: u64 = 1;

/// Runs the experiment and prints its report. The exit code is 1 if the streamed pieces of any
/// answer differ from the final answer.
///
/// # Errors
///
/// Returns an error if an option is invalid or the JSON file cannot be written.
pub fn run(options: Load) -> eyre::Result<ExitCode> {
    let rate = options.rate.unwrap_or(DEFAULT_RATE);
    if !rate.is_finite() || rate <= 0.0 {
        eyre::bail!("--rate: must be above 0");
    }
    let runs = options.runs.unwrap_or(DEFAULT_RUNS);
    let seed = options.seed.unwrap_or(DEFAULT_SEED);
    let plan = LoadPlan::new(rate, runs, seed);
    let clients = clients(&options);
    let program = ResourceName::new(options.program.as_deref().unwrap_or(DEFAULT_PROGRAM));
    let figures = actix_rt::System::new().block_on(drive(plan, clients, &program));
    report::print(&figures, rate, seed);
    if let Some(file) = &options.json {
        let json = report::to_json(&figures, rate, seed)?;
        std::fs::write(file, json).wrap_err_with(|| format!("cannot write {}", file.display()))?;
    }
    Ok(match figures.broken_answers {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    })
}

fn clients(options: &Load) -> Vec<CallerClient> {
    let token = options.token.as_deref().unwrap_or(DEFAULT_TOKEN);
    let default_targets = [DEFAULT_TARGET.to_owned()];
    let targets = match options.target.as_slice() {
        [] => default_targets.as_slice(),
        targets => targets,
    };
    targets
        .iter()
        .map(|target| CallerClient::new(target, token))
        .collect()
}

/// Runs every program at its planned start time and collects the results.
async fn drive(plan: LoadPlan, clients: Vec<CallerClient>, program: &ResourceName) -> Figures {
    let started = Instant::now();
    let arrivals = plan.programs.into_iter().zip(clients.iter().cycle());
    let running = arrivals.map(|(planned, client)| run_at(started, client, program, planned));
    let mut figures = Figures::new();
    for record in join_all(running).await {
        figures.add(record);
    }
    figures.elapsed = started.elapsed();
    figures
}

async fn run_at(
    started: Instant,
    client: &CallerClient,
    program: &ResourceName,
    planned: PlannedProgram,
) -> program::ProgramRecord {
    let intended = started + planned.start;
    actix_rt::time::sleep_until(intended.into()).await;
    program::run(client, program, &planned, intended).await
}
