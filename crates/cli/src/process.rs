//! Subcommands that run a process or check its settings.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use elderworks_settings::{
    LoggingSettings, NodeProcessSettings, Override, ProcessSettings, SidecarProcessSettings,
    check_file, from_flags, init_logging, load_with,
};

/// Runs a node until it is told to stop.
pub fn node(file: Option<&Path>, overrides: &[Override]) -> eyre::Result<()> {
    let settings: NodeProcessSettings = read(file, overrides)?;
    init(&settings.logging);
    let system = actix_rt::System::new();
    system.block_on(elderworks_node::run(&settings))?;
    Ok(())
}

/// Runs a sidecar until it is told to stop.
pub fn sidecar(file: Option<&Path>, overrides: &[Override]) -> eyre::Result<()> {
    let settings: SidecarProcessSettings = read(file, overrides)?;
    init(&settings.logging);
    actix_rt::System::new().block_on(elderworks_sidecar::run(settings))
}

/// Checks settings files of any process and prints what is wrong with each.
pub fn check(files: &[PathBuf]) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    for file in files {
        match check_file(file) {
            Ok(process) => println!("{}: settings of `{process}`, no mistakes", file.display()),
            Err(error) => {
                println!("{error}");
                code = ExitCode::FAILURE;
            }
        }
    }
    code
}

fn read<T: ProcessSettings>(file: Option<&Path>, overrides: &[Override]) -> eyre::Result<T> {
    let settings = match file {
        Some(file) => load_with(file, overrides)?,
        None => from_flags(overrides)?,
    };
    Ok(settings)
}

fn init(logging: &LoggingSettings) {
    init_logging(logging.format);
}
