//! Subcommands that run a node, a sidecar or a gateway, or check settings files.

use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use elderworks_gateway::settings::GatewaySettings;
use elderworks_gateway_core::policy::Policy;
use elderworks_settings::{
    LogFormat, LoggingSettings, NodeProcessSettings, Override, ProcessSettings,
    SidecarProcessSettings, check_file, from_flags, init_logging, init_logging_to, load_with,
    values_from_flags,
};
use tokio::signal::unix::{SignalKind, signal};

/// Maximum time for which a gateway that exits waits for its last log lines to be written.
const MAX_LOG_FLUSH: Duration = Duration::from_millis(150);

/// Runs a node until SIGTERM or SIGINT, then drains it.
pub fn node(file: Option<&Path>, overrides: &[Override]) -> eyre::Result<()> {
    let settings: NodeProcessSettings = load_settings(file, overrides)?;
    init_log(&settings.logging);
    actix_rt::System::new().block_on(async move {
        let node = elderworks_node::start(&settings).await?;
        announce(&[
            ("listening", node.address),
            ("gossip", node.gossip_address),
            ("admin", node.admin_address),
        ])?;
        wait_for_stop_signal().await?;
        log::info!("draining");
        node.drain().await;
        Ok(())
    })
}

/// Runs a sidecar until SIGTERM or SIGINT, then completes its open requests.
pub fn sidecar(file: Option<&Path>, overrides: &[Override]) -> eyre::Result<()> {
    let settings: SidecarProcessSettings = load_settings(file, overrides)?;
    init_log(&settings.logging);
    actix_rt::System::new().block_on(async move {
        let sidecar = elderworks_sidecar::start(settings)?;
        announce(&[("listening", sidecar.address())])?;
        wait_for_stop_signal().await?;
        log::info!("finishing open requests");
        sidecar.stop().await;
        Ok(())
    })
}

/// Runs a gateway on the platform until it receives a stop signal.
pub fn gateway(overrides: &[Override]) -> eyre::Result<()> {
    let policy = policy_with_overrides(overrides)?;
    let mut settings = elderworks_platform::load_settings()?;
    settings.gateway.policy = policy;
    let output = elderworks_gateway::LogOutput::to_stdout();
    let log_flush = output.flush_handle();
    init_logging_to(LogFormat::Json, Box::new(output));
    let result = actix_rt::System::new().block_on(async move {
        let platform = elderworks_platform::PlatformAdapter::new(settings.log_address);
        let reload = Box::new(move || {
            let settings = elderworks_platform::reload_settings()?;
            Ok(GatewaySettings { policy, ..settings })
        });
        elderworks_gateway::run(settings.gateway, Rc::new(platform), reload).await
    });
    log_flush.wait(MAX_LOG_FLUSH);
    result
}

/// Returns the default policy with the overrides of the command line applied.
fn policy_with_overrides(overrides: &[Override]) -> eyre::Result<Policy> {
    let policy: Policy = values_from_flags(overrides)?;
    policy.check()?;
    Ok(policy)
}

/// Prints the listening addresses, so that the parent process learns ports chosen by the system.
fn announce(addresses: &[(&str, SocketAddr)]) -> eyre::Result<()> {
    let pairs: Vec<String> = addresses
        .iter()
        .map(|(name, address)| format!("{name} {address}"))
        .collect();
    println!("{}", pairs.join(" "));
    std::io::stdout().flush()?;
    Ok(())
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_stop_signal() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Checks settings files of any process and prints the result for each file.
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

fn load_settings<T: ProcessSettings>(
    file: Option<&Path>,
    overrides: &[Override],
) -> eyre::Result<T> {
    let settings = match file {
        Some(file) => load_with(file, overrides)?,
        None => from_flags(overrides)?,
    };
    Ok(settings)
}

fn init_log(logging: &LoggingSettings) {
    init_logging(logging.format);
}
