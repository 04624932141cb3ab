//! Comparison of placement policies on one simulated fleet.

use std::process::ExitCode;

use crate::command_line::Compare;

/// Runs the experiment and prints its report.
pub fn run(_options: Compare) -> eyre::Result<ExitCode> {
    eyre::bail!("not built yet")
}
