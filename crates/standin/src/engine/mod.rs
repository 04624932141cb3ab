//! Model engine stand-in: the simulated engine, driven by the system clock.

mod answer;
mod application;
mod convert;
mod requests;
mod state;

use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Weak};
use std::time::Duration;

use actix_rt::time::sleep;
use elderworks_engine_model::EngineParameters;
use elderworks_types::{EngineId, ModelName};
use serde::{Deserialize, Serialize};
use tokio::select;
use tokio::sync::watch;

use crate::clock::now;
use crate::server::{self, ServerHandle};
use crate::shared::{Shared, next_change};
use application::EngineApplication;
use state::EngineService;

/// Maximum interval between two calls of `advance`, so that abandoned requests are detected even
/// when the engine is idle.
const MAX_ADVANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Settings of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Engine id reported by `GET /v1/state`.
    pub id: EngineId,
    /// Models that are loaded at startup.
    pub models: Vec<ModelName>,
    /// Speed, cache size and queue limits.
    pub parameters: EngineParameters,
    /// Rate at which weights are loaded, in bytes per second.
    pub weights_bytes_per_second: u64,
    /// Time after which a request without a reader is cancelled.
    pub resume_grace: Duration,
    /// Seed of the engine's random choices.
    pub seed: u64,
}

impl EngineSettings {
    /// Returns default settings with no model loaded.
    pub fn new(id: EngineId) -> Self {
        Self {
            id,
            models: Vec::new(),
            parameters: EngineParameters::default(),
            weights_bytes_per_second: 1_000_000_000,
            resume_grace: Duration::from_millis(elderworks_platform_api::engine::RESUME_GRACE_MS),
            seed: 0,
        }
    }
}

/// Returns parameters of an engine that computes `speed` times as fast.
pub fn with_speed(parameters: EngineParameters, speed: f64) -> EngineParameters {
    let faster = |nanos: u64| (nanos as f64 / speed) as u64;
    EngineParameters {
        step_base: parameters.step_base.div_f64(speed),
        step_per_sequence: parameters.step_per_sequence.div_f64(speed),
        step_nanos_per_context_token: faster(parameters.step_nanos_per_context_token),
        step_nanos_per_prefill_token: faster(parameters.step_nanos_per_prefill_token),
        transfer_per_block: parameters.transfer_per_block.div_f64(speed),
        ..parameters
    }
}

/// Injected faults of an engine; none by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Connections are closed without a response.
    pub down: bool,
    /// Requests are accepted, but nothing is generated.
    pub hang: bool,
    /// The engine is shutting down and accepts no new requests.
    pub leave: bool,
    /// New requests are refused as if the queue were full.
    pub full: bool,
}

/// Serves an idle engine. Must be called within an actix runtime.
///
/// # Errors
///
/// Returns an error if the server cannot be started on `listener`.
pub fn serve(listener: TcpListener, settings: EngineSettings) -> io::Result<ServerHandle> {
    let service = Arc::new(Shared::new(EngineService::new(settings, now())));
    actix_rt::spawn(drive(Arc::downgrade(&service), service.subscribe()));
    server::serve(
        "engine",
        listener,
        Arc::new(EngineApplication::new(service)),
    )
}

/// Advances the engine whenever work is due or its state changes, until the service is dropped.
async fn drive(service: Weak<Shared<EngineService>>, mut changes: watch::Receiver<()>) {
    while let Some(service) = service.upgrade() {
        let next = advance(&service);
        drop(service);
        select! {
            () = sleep(next) => {}
            () = next_change(&mut changes) => {}
        }
    }
}

/// Processes all due work and returns the time until the next call.
fn advance(service: &Shared<EngineService>) -> Duration {
    let now = now();
    let mut state = service.lock();
    state.advance(now);
    let next = state
        .next_due()
        .map_or(MAX_ADVANCE_INTERVAL, |due| due.since(now));
    next.min(MAX_ADVANCE_INTERVAL)
}
