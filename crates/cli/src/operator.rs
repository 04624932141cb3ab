//! Subcommands for operators: from flags to verbs, and from errors to exit codes.

use std::ops::ControlFlow;
use std::process::ExitCode;
use std::time::Duration;

use elderworks_cli::verbs::client::DEFAULT_SERVER;
use elderworks_cli::verbs::watch::{WatchTarget, print_line, watch};
use elderworks_cli::verbs::{ApiClient, OutputFormat, VerbError, apply, delete, explain, get};
use elderworks_control::api::Collection;
use elderworks_types::resource::Kind;

use crate::command_line::{Apply, Delete, Describe, Explain, Get, Watch};

/// Environment variable with base URLs of nodes, separated by commas.
const SERVER_VARIABLE: &str = "ELDERWORKS_SERVER";

/// Environment variable with the operators' token.
const TOKEN_VARIABLE: &str = "ELDERWORKS_TOKEN";

/// One operator's command.
pub enum Command {
    /// Create or change resources.
    Apply(Apply),
    /// List or show resources.
    Get(Get),
    /// Show every field.
    Describe(Describe),
    /// Follow changes.
    Watch(Watch),
    /// Delete a resource.
    Delete(Delete),
    /// Explain a run or the configuration.
    Explain(Explain),
}

/// Carries out a command and prints what comes of it.
pub fn run(command: Command, server: Option<String>, token: Option<String>) -> ExitCode {
    let server = server
        .or_else(|| std::env::var(SERVER_VARIABLE).ok())
        .unwrap_or_else(|| DEFAULT_SERVER.to_owned());
    let token = token.or_else(|| std::env::var(TOKEN_VARIABLE).ok());
    let result = actix_rt::System::new().block_on(async move {
        let client = ApiClient::new(&server, token);
        carry_out(&client, command).await
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error)
        }
    }
}

async fn carry_out(client: &ApiClient, command: Command) -> Result<(), VerbError> {
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
        Command::Watch(options) => follow(client, options).await,
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

async fn follow(client: &ApiClient, options: Watch) -> Result<(), VerbError> {
    let target = WatchTarget::new(options.kind, options.name, options.after)?;
    let format = options.output.unwrap_or_default();
    let mut failure = None;
    watch(client, &target, |line| match print_line(line, format) {
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
