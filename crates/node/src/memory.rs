//! Orders about the memory that engines hold for runs.

use std::time::Duration;

use elderworks_backend::{EngineClient, HttpClient, transfer};
use elderworks_node_core::Event;
use elderworks_types::{EngineId, RunId};

use crate::attempts::engine_client;
use crate::input::{Input, InputSender};

/// Carries out orders, each in its own task.
#[derive(Clone)]
pub(crate) struct MemoryOrders {
    http: HttpClient,
    inputs: InputSender,
}

impl MemoryOrders {
    pub(crate) fn new(http: HttpClient, inputs: InputSender) -> Self {
        Self { http, inputs }
    }

    /// Frees what an engine holds; only a success is reported, and execution repeats the order.
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

    /// Keeps a run's blocks; without an answer they fall to ordinary eviction.
    pub(crate) fn retain(&self, run: RunId, url: &str, lease: Duration) {
        let retaining = engine_client(&self.http, url).retain(run, lease);
        actix_rt::spawn(async move {
            let _ = retaining.await;
        });
    }

    /// Copies a run's blocks; without them the importing engine computes the prefix anew.
    pub(crate) fn transfer(&self, run: RunId, from_url: &str, to_url: &str) {
        let from = engine_client(&self.http, from_url);
        let to = engine_client(&self.http, to_url);
        actix_rt::spawn(async move {
            let _ = transfer(&from, &to, run).await;
        });
    }
}
