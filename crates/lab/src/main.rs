//! The `elderworks-lab` command: policy comparison, load generation and fault simulation.

fn main() -> eyre::Result<std::process::ExitCode> {
    env_logger::init();
    elderworks_lab::run()
}
