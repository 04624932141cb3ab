//! Requests to engines about the cache memory that they hold for runs.

use std::time::Duration;

use elderworks_backend::{EngineClient, HttpClient, transfer};
use elderworks_node_core::Event;
use elderworks_types::{EngineId, RunId};

use crate::attempts::engine_client;
use crate::input::{Input, InputSender};

/// Sends memory requests, each in its own task.
#[derive(Clone)]
pub(crate) struct MemoryRequests {
    http: HttpClient,
    inputs: InputSender,
}

impl MemoryRequests {
    pub(crate) fn new(http: HttpClient, inputs: InputSender) -> Self {
        Self { http, inputs }
    }

    /// Frees the memory that an engine holds for a run. Only success is reported; without a report
    /// the state machine repeats the request.
    pub(crate) fn release(&self, run: RunId, engine: EngineId, url: &str) {
        let releasing = engine_client(&self.http, url).release(run);
        let inputs = self.inputs.clone();
        actix_rt::spawn(async move {
            if releasing.await.is_ok() {
                let released = Event::MemoryReleased { run, engine };
                let _ = inputs.send(Input::Event(Box::new(released))).await;
            }
        });
    }

    /// Protects a run's blocks from eviction for the duration of `lease`. If the request fails, the
    /// blocks stay subject to normal eviction.
    pub(crate) fn retain(&self, run: RunId, url: &str, lease: Duration) {
        let retaining = engine_client(&self.http, url).retain(run, lease);
        actix_rt::spawn(async move {
            let _ = retaining.await;
        });
    }

    /// Copies a run's blocks between engines. If that fails, the target engine recomputes the prefix.
    pub(crate) fn transfer(&self, run: RunId, from_url: &str, to_url: &str) {
        let from = engine_client(&self.http, from_url);
        let to = engine_client(&self.http, to_url);
        actix_rt::spawn(async move {
            let _ = transfer(&from, &to, run).await;
        });
    }
}
