//! `elderworks demo`: runs the platform's stand-ins, a node and a sidecar in one process on free
//! loopback ports, and one program of each deployment through them. The components communicate over
//! the same HTTP and framed messages as separate processes do.

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

/// Token of the tenant `lublin`, which runs the boundary correction, as in the example settings.
const LUBLIN_TOKEN: &str = "lublin-example-token";

/// Token of the tenant `ulaanbaatar`, which runs the weekly menu, as in the example settings.
const ULAANBAATAR_TOKEN: &str = "ulaanbaatar-example-token";

/// Runs the demo and returns success if every check passed.
pub fn run() -> eyre::Result<ExitCode> {
    actix_rt::System::new().block_on(run_demo())
}

async fn run_demo() -> eyre::Result<ExitCode> {
    let report = Report::new();
    report.heading("Starting log, engines, tool, machine list, node and sidecar");
    let system = System::start().await?;
    for (component, address) in system.components() {
        report.component(component, &address);
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
    checks.check_run(&lublin, &correction).await?;
    checks.check_run(&ulaanbaatar, &menu).await?;
    checks.check_ran_once("claim-submission").await?;
    checks.check_ran_once("diet-order").await?;
    report.summary(&[correction, menu], checks.results());
    system.stop().await;
    Ok(match checks.all_passed() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}
