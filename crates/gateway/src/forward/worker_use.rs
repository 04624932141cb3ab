//! Accounting of requests in progress at workers.

use std::net::SocketAddr;
use std::rc::Rc;

use elderworks_gateway_core::run_moves::Engine;
use elderworks_gateway_core::workers::WorkerInstance;

use crate::gateway::Gateway;
use crate::upstream::WorkerResponse;

/// Counts a request as in progress at a worker until dropped.
pub(super) struct WorkerUse {
    gateway: Rc<Gateway>,
    pub(super) worker: String,
    life: WorkerInstance,
}

impl WorkerUse {
    pub(super) fn start(gateway: &Rc<Gateway>, worker: &str) -> Self {
        let now = gateway.now();
        let life = gateway.workers.borrow_mut().note_start(worker, now);
        Self {
            gateway: gateway.clone(),
            worker: worker.to_owned(),
            life,
        }
    }
}

impl Drop for WorkerUse {
    fn drop(&mut self) {
        let mut workers = self.gateway.workers.borrow_mut();
        workers.note_completion(&self.life);
    }
}

/// A worker's response while the request is in progress at the worker.
pub(super) struct RunningResponse {
    pub(super) response: WorkerResponse,
    /// Address of the worker.
    pub(super) address: SocketAddr,
    pub(super) worker_use: WorkerUse,
}

impl RunningResponse {
    /// Returns the worker that serves the response.
    pub(super) fn engine(&self) -> Engine {
        Engine {
            worker: self.worker_use.worker.clone(),
            address: self.address,
        }
    }
}
