//! The `elderworks-lab` command: comparison, load and simulation.

fn main() -> eyre::Result<std::process::ExitCode> {
    env_logger::init();
    elderworks_lab::run()
}
