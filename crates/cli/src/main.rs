//! The `elderworks` command: processes, operators' verbs and the embedded demo.

mod command_line;
mod demo;
mod process;

use std::process::ExitCode;

use command_line::{Elderworks, ElderworksCmd};

fn main() -> eyre::Result<ExitCode> {
    match Elderworks::from_env_or_exit().subcommand {
        ElderworksCmd::Node(options) => process::node(options.file.as_deref(), &options.set)?,
        ElderworksCmd::Sidecar(options) => process::sidecar(options.file.as_deref(), &options.set)?,
        ElderworksCmd::Check(options) => {
            let files: Vec<_> = std::iter::once(options.file).chain(options.files).collect();
            return Ok(process::check(&files));
        }
        ElderworksCmd::Demo(_) => return demo::run(),
    }
    Ok(ExitCode::SUCCESS)
}
