//! The `elderworks-lab` command: comparison, load, simulation and scale experiments.

mod command_line;
mod compare;
mod load;
mod scale;
mod seeds;
mod simulate;
mod workload;

use command_line::{LabCommand, LabCommandCmd};

fn main() -> eyre::Result<std::process::ExitCode> {
    env_logger::init();
    match LabCommand::from_env_or_exit().subcommand {
        LabCommandCmd::Compare(options) => compare::run(options),
        LabCommandCmd::Load(options) => load::run(options),
        LabCommandCmd::Simulate(options) => simulate::run(options),
        LabCommandCmd::Scale(options) => scale::run(options),
    }
}
