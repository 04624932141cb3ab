//! A model engine: the engine model driven by the real clock.

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

/// Longest time between two looks at the engine, so that abandoned requests are found.
const MAX_STEP: Duration = Duration::from_millis(250);

/// How an engine stand-in is set up.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Its name.
    pub id: EngineId,
    /// Models loaded at the start.
    pub models: Vec<ModelName>,
    /// Speed, memory and limits.
    pub parameters: EngineParameters,
    /// Bytes of weights that it can load per second.
    pub weights_bytes_per_second: u64,
    /// How long it goes on with a request that nobody reads.
    pub resume_grace: Duration,
    /// Seed of its random choices.
    pub seed: u64,
}

impl EngineSettings {
    /// An ordinary engine with no model loaded.
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

/// Parameters of an engine that computes `speed` times as fast.
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

/// Faults of an engine. The default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Nothing is answered.
    pub down: bool,
    /// It takes requests, but generates nothing.
    pub hang: bool,
    /// It is being taken away: no new work.
    pub leave: bool,
    /// New requests are refused as though the queue were full.
    pub full: bool,
}

/// Serves an idle engine; must be called within an actix runtime.
pub fn serve(listener: TcpListener, settings: EngineSettings) -> io::Result<ServerHandle> {
    let service = Arc::new(Shared::new(EngineService::new(settings, now())));
    actix_rt::spawn(drive(Arc::downgrade(&service), service.subscribe()));
    server::serve(
        "engine",
        listener,
        Arc::new(EngineApplication::new(service)),
    )
}

/// Moves the engine on whenever something is due, for as long as it is served.
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

/// Does what is due and returns the time until something else will be.
fn advance(service: &Shared<EngineService>) -> Duration {
    let now = now();
    let mut state = service.lock();
    state.advance(now);
    let next = state.next_due().map_or(MAX_STEP, |due| due.since(now));
    next.min(MAX_STEP)
}
