//! Open-loop load on real sidecars.

use std::process::ExitCode;

use crate::command_line::Load;

/// Runs the experiment and prints its report.
pub fn run(_options: Load) -> eyre::Result<ExitCode> {
    eyre::bail!("not built yet")
}
