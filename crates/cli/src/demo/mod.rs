//! `elderworks demo`: one process that holds the platform's stand-ins, a node and a sidecar on
//! loopback ports of the system's choice, and runs one program of each deployment through them.
//! The parts speak the same HTTP and framed messages as separate processes do.

mod caller;
mod checks;
mod operator;
mod programs;
mod report;
mod system;

use std::process::ExitCode;

use caller::Caller;
use checks::Checks;
use report::Report;
use system::System;

/// Token of the boundary correction's tenant, as in its example settings.
const LUBLIN_TOKEN: &str = "lublin-example-token";

/// Token of the weekly menu's tenant, as in its example settings.
const ULAANBAATAR_TOKEN: &str = "ulaanbaatar-example-token";

/// Runs the demo; the exit code tells whether everything was as expected.
pub fn run() -> eyre::Result<ExitCode> {
    actix_rt::System::new().block_on(play())
}

async fn play() -> eyre::Result<ExitCode> {
    let report = Report::new();
    report.heading("Starting log, engines, tool, machine list, node and sidecar");
    let system = System::start().await?;
    for (part, address) in system.parts() {
        report.part(part, &address);
    }
    report.heading("Applying the resources of both deployments");
    for name in operator::apply_examples(&system).await? {
        report.applied(&name);
    }
    let lublin = Caller::new(&system.sidecar_url(), LUBLIN_TOKEN, report.clone());
    report.heading("Boundary correction (lublin)");
    let correction = programs::boundary_correction(&lublin).await?;
    let ulaanbaatar = Caller::new(&system.sidecar_url(), ULAANBAATAR_TOKEN, report.clone());
    report.heading("Weekly menu (ulaanbaatar)");
    let menu = programs::weekly_menu(&ulaanbaatar).await?;
    let mut checks = Checks::new(system.tool_url());
    checks.run(&lublin, &correction).await?;
    checks.run(&ulaanbaatar, &menu).await?;
    checks.ran_once("claim-submission").await?;
    checks.ran_once("diet-order").await?;
    report.summary(&[correction, menu], checks.results());
    system.stop().await;
    Ok(match checks.all_passed() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}
