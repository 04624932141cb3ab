//! Simulation of the whole system under faults.

use std::process::ExitCode;

use crate::command_line::Simulate;

/// Runs the experiment and prints its report.
pub fn run(_options: Simulate) -> eyre::Result<ExitCode> {
    eyre::bail!("not built yet")
}
