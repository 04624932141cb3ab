//! Operator subcommands: maps parsed flags to verbs and errors to exit codes.

use std::ops::ControlFlow;
use std::process::ExitCode;
use std::time::Duration;

use elderworks_cli::verbs::client::DEFAULT_SERVER;
use elderworks_cli::verbs::watch::{WatchTarget, format_line, watch};
use elderworks_cli::verbs::{ApiClient, OutputFormat, VerbError, apply, delete, explain, get};
use elderworks_control::api::Collection;
use elderworks_types::resource::Kind;

use crate::command_line::{Apply, Delete, Describe, Explain, Get, Watch};

/// Environment variable that holds the base URLs of nodes, separated by commas.
const SERVER_VARIABLE: &str = "ELDERWORKS_SERVER";

/// Environment variable that holds the operator token.
const TOKEN_VARIABLE: &str = "ELDERWORKS_TOKEN";

/// An operator subcommand with its parsed flags.
pub enum Command {
    /// Creates or changes resources.
    Apply(Apply),
    /// Lists resources or shows one.
    Get(Get),
    /// Shows every field of a resource.
    Describe(Describe),
    /// Streams changes of resources.
    Watch(Watch),
    /// Deletes a resource.
    Delete(Delete),
    /// Explains a run or the configuration keys.
    Explain(Explain),
}

/// Runs a command, prints its result or error, and returns the exit code.
pub fn run(command: Command, server: Option<String>, token: Option<String>) -> ExitCode {
    let server = server
        .or_else(|| std::env::var(SERVER_VARIABLE).ok())
        .unwrap_or_else(|| DEFAULT_SERVER.to_owned());
    let token = token.or_else(|| std::env::var(TOKEN_VARIABLE).ok());
    let result = actix_rt::System::new().block_on(async move {
        let client = ApiClient::new(&server, token);
        execute(&client, command).await
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error)
        }
    }
}

async fn execute(client: &ApiClient, command: Command) -> Result<(), VerbError> {
    match command {
        Command::Apply(options) => apply_files(client, &options).await,
        Command::Get(options) => {
            let format = options.output.unwrap_or_default();
            let name = options.name.as_deref();
            println!("{}", get::get(client, options.kind, name, format).await?);
            Ok(())
        }
        Command::Describe(options) => {
            let text = get::describe(client, options.kind, &options.name).await?;
            print!("{text}");
            Ok(())
        }
        Command::Watch(options) => print_changes(client, options).await,
        Command::Delete(options) => {
            let revision = options.revision;
            let deleted = delete::delete(client, options.kind, &options.name, revision).await?;
            println!("{deleted}");
            Ok(())
        }
        Command::Explain(options) => explain_subject(client, options).await,
    }
}

async fn apply_files(client: &ApiClient, options: &Apply) -> Result<(), VerbError> {
    let wait = Duration::from_secs(options.wait.unwrap_or_default());
    for manifest in apply::read_files(&options.file)? {
        println!("{}", apply::apply(client, &manifest, wait).await?);
    }
    Ok(())
}

async fn print_changes(client: &ApiClient, options: Watch) -> Result<(), VerbError> {
    let target = WatchTarget::new(options.kind, options.name, options.after)?;
    let format = options.output.unwrap_or_default();
    let mut failure = None;
    watch(client, &target, |line| match format_line(line, format) {
        Ok(text) => {
            println!("{text}");
            ControlFlow::Continue(())
        }
        Err(error) => {
            failure = Some(error);
            ControlFlow::Break(())
        }
    })
    .await?;
    failure.map_or(Ok(()), Err)
}

async fn explain_subject(client: &ApiClient, options: Explain) -> Result<(), VerbError> {
    let format: OutputFormat = options.output.unwrap_or_default();
    let text = match (options.subject, &options.id) {
        (Collection::Runs, Some(id)) => explain::run(client, id, format).await?,
        (Collection::Writable(Kind::Configuration), None) => explain::configuration(),
        _ => {
            let usage = "expected: explain run ID, or explain configuration";
            return Err(VerbError::Usage(usage.to_owned()));
        }
    };
    println!("{text}");
    Ok(())
}
