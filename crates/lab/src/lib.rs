//! The experiments behind the `elderworks-lab` command, and what its benchmarks share with them.

mod command_line;
mod compare;
mod load;
mod seeds;
mod simulate;
mod workload;

use command_line::{LabCommand, LabCommandCmd};

/// Runs the subcommand that the process's arguments name; exits where they name none.
pub fn run() -> eyre::Result<std::process::ExitCode> {
    match LabCommand::from_env_or_exit().subcommand {
        LabCommandCmd::Compare(options) => compare::run(options),
        LabCommandCmd::Load(options) => load::run(options),
        LabCommandCmd::Simulate(options) => simulate::run(options),
    }
}
