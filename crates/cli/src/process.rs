//! Subcommands that run a process or check its settings.

use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

use elderworks_gateway::settings::GatewaySettings;
use elderworks_gateway_core::policy::Policy;
use elderworks_settings::{
    LogFormat, LoggingSettings, NodeProcessSettings, Override, ProcessSettings,
    SidecarProcessSettings, check_file, from_flags, init_logging, init_logging_to, load_with,
    values_from_flags,
};
use tokio::signal::unix::{SignalKind, signal};

/// Runs a node until it is told to stop.
pub fn node(file: Option<&Path>, overrides: &[Override]) -> eyre::Result<()> {
    let settings: NodeProcessSettings = read(file, overrides)?;
    init(&settings.logging);
    actix_rt::System::new().block_on(async move {
        let node = elderworks_node::start(&settings).await?;
        announce(&[
            ("listening", node.address),
            ("gossip", node.gossip_address),
            ("admin", node.admin_address),
        ])?;
        stop_signal().await?;
        log::info!("draining");
        node.drain().await;
        Ok(())
    })
}

/// Runs a sidecar until it is told to stop.
pub fn sidecar(file: Option<&Path>, overrides: &[Override]) -> eyre::Result<()> {
    let settings: SidecarProcessSettings = read(file, overrides)?;
    init(&settings.logging);
    actix_rt::System::new().block_on(async move {
        let sidecar = elderworks_sidecar::start(settings)?;
        announce(&[("listening", sidecar.address())])?;
        stop_signal().await?;
        log::info!("finishing open requests");
        sidecar.stop().await;
        Ok(())
    })
}

/// Runs a gateway on the platform until it is told to stop.
pub fn gateway(overrides: &[Override]) -> eyre::Result<()> {
    let policy = policy_from(overrides)?;
    let mut settings = elderworks_platform::load_settings()?;
    settings.gateway.policy = policy;
    init_logging_to(
        LogFormat::Json,
        Box::new(elderworks_gateway::LogOutput::to_stdout()),
    );
    actix_rt::System::new().block_on(async move {
        let platform = elderworks_platform::PlatformAdapter::new(settings.log_address);
        let reload = Box::new(move || {
            let settings = elderworks_platform::reload_settings()?;
            Ok(GatewaySettings { policy, ..settings })
        });
        elderworks_gateway::run(settings.gateway, Rc::new(platform), reload).await
    })
}

/// The policy with what the command line says laid over its defaults.
fn policy_from(overrides: &[Override]) -> eyre::Result<Policy> {
    let policy: Policy = values_from_flags(overrides)?;
    policy.check()?;
    Ok(policy)
}

/// Prints where the process listens, for whoever started it with port 0.
fn announce(addresses: &[(&str, SocketAddr)]) -> eyre::Result<()> {
    let words: Vec<String> = addresses
        .iter()
        .map(|(name, address)| format!("{name} {address}"))
        .collect();
    println!("{}", words.join(" "));
    std::io::stdout().flush()?;
    Ok(())
}

/// Waits for SIGTERM or SIGINT.
async fn stop_signal() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
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
