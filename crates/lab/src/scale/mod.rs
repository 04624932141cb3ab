//! Slopes of state, messages and processor time by role.

use std::process::ExitCode;

use crate::command_line::Scale;

/// Runs the experiment and prints its report.
pub fn run(_options: Scale) -> eyre::Result<ExitCode> {
    eyre::bail!("not built yet")
}
