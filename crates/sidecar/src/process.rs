//! Startup and shutdown of the sidecar process.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use actix_server::{Server, ServerHandle};
use elderworks_settings::SidecarProcessSettings;
use elderworks_sidecar_core::SidecarSettings;
use eyre::WrapErr;
use tokio::sync::mpsc;

use crate::core_client::CoreClient;
use crate::driver::Driver;
use crate::http::{App, http_service};
use crate::known_runs::KnownRuns;
use crate::metrics::Metrics;

/// Time added to the call timeout to get the limit of a graceful shutdown.
const STOP_MARGIN: Duration = Duration::from_secs(10);

/// A running sidecar.
pub struct SidecarHandle {
    address: SocketAddr,
    server: ServerHandle,
}

impl SidecarHandle {
    /// Returns the address on which it serves callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits for open requests to complete.
    pub async fn stop(self) {
        self.server.stop(true).await;
    }
}

/// Starts a sidecar in the current actix system.
///
/// # Errors
///
/// Returns an error if the listening socket or the HTTP server can't be set up.
pub fn start(settings: SidecarProcessSettings) -> eyre::Result<SidecarHandle> {
    let listener = TcpListener::bind(settings.listen)
        .wrap_err_with(|| format!("cannot listen on {}", settings.listen))?;
    let address = listener.local_addr()?;
    let metrics = Arc::new(Metrics::new());
    let (commands, command_receiver) = mpsc::unbounded_channel();
    let core_settings = SidecarSettings {
        nodes: settings.nodes.clone(),
        seed: rand::random(),
        max_open_calls: settings.limits.max_open_calls,
        call_timeout: settings.limits.call_timeout,
        hand_over_timeout: settings.limits.hand_over_timeout,
    };
    let driver = Driver::new(core_settings, command_receiver, metrics.clone());
    actix_rt::spawn(driver.run());
    let stop_timeout = settings.limits.call_timeout + STOP_MARGIN;
    let app = App {
        core: CoreClient::new(commands),
        known_runs: Arc::new(KnownRuns::default()),
        metrics,
        settings: Arc::new(settings),
    };
    let builder = Server::build()
        .workers(1)
        .disable_signals()
        .shutdown_timeout(stop_timeout.as_secs());
    let stop_signal = builder.graceful_shutdown_signal();
    let server = builder
        .listen("callers", listener, move || {
            http_service(app.clone(), stop_signal.clone())
        })?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    log::info!(address:% = address; "sidecar is listening");
    Ok(SidecarHandle {
        address,
        server: handle,
    })
}
