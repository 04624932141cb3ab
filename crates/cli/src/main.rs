//! The `elderworks` command: runs the processes, the operator verbs and the embedded demo.

mod command_line;
mod demo;
mod operator;
mod process;

use std::process::ExitCode;

use command_line::{Elderworks, ElderworksCmd};
use elderworks_cli::request_log;
use operator::Command;

fn main() -> eyre::Result<ExitCode> {
    let flags = Elderworks::from_env_or_exit();
    let command = match flags.subcommand {
        ElderworksCmd::Node(options) => {
            process::node(options.file.as_deref(), &options.set)?;
            return Ok(ExitCode::SUCCESS);
        }
        ElderworksCmd::Sidecar(options) => {
            process::sidecar(options.file.as_deref(), &options.set)?;
            return Ok(ExitCode::SUCCESS);
        }
        ElderworksCmd::Gateway(options) => {
            process::gateway(&options.set)?;
            return Ok(ExitCode::SUCCESS);
        }
        ElderworksCmd::Check(options) => {
            let files: Vec<_> = std::iter::once(options.file).chain(options.files).collect();
            return Ok(process::check(&files));
        }
        ElderworksCmd::ExplainRequest(options) => {
            print!("{}", request_log::explain(&options.id, &options.log)?);
            return Ok(ExitCode::SUCCESS);
        }
        ElderworksCmd::Demo(_) => return demo::run(),
        ElderworksCmd::Apply(options) => Command::Apply(options),
        ElderworksCmd::Get(options) => Command::Get(options),
        ElderworksCmd::Describe(options) => Command::Describe(options),
        ElderworksCmd::Watch(options) => Command::Watch(options),
        ElderworksCmd::Delete(options) => Command::Delete(options),
        ElderworksCmd::Explain(options) => Command::Explain(options),
    };
    Ok(operator::run(command, flags.server, flags.token))
}
