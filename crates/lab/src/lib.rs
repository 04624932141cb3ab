//! Implementation of the `elderworks-lab` command.

mod command_line;
mod compare;
mod load;
mod seeds;
mod simulate;
mod workload;

use command_line::{LabCommand, LabCommandCmd};

/// Runs the subcommand given by the process's arguments; exits the process if they are invalid.
///
/// # Errors
///
/// Returns the error of the subcommand.
pub fn run() -> eyre::Result<std::process::ExitCode> {
    match LabCommand::from_env_or_exit().subcommand {
        LabCommandCmd::Compare(options) => compare::run(options),
        LabCommandCmd::Load(options) => load::run(options),
        LabCommandCmd::Simulate(options) => simulate::run(options),
    }
}
