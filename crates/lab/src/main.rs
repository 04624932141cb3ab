//! The `elderworks-lab` command: comparison, load, simulation and scale experiments.

fn main() -> eyre::Result<std::process::ExitCode> {
    env_logger::init();
    elderworks_lab::run()
}
