//! Accounting of requests in progress at workers.

use std::net::SocketAddr;
use std::rc::Rc;

use elderworks_gateway_core::run_moves::Engine;
use elderworks_gateway_core::stream_versions::SoftwareVersion;
use elderworks_gateway_core::worker_ends::identity::RequestIdentity;
use elderworks_gateway_core::workers::WorkerInstance;

use crate::gateway::Gateway;
use crate::peers::PlacedSuspect;
use crate::upstream::WorkerResponse;

/// Counts a request as in progress at a worker until dropped.
pub(super) struct WorkerUse {
    gateway: Rc<Gateway>,
    pub(super) worker: String,
    /// Version of the worker's software when the request was sent, if known.
    pub(super) software: Option<SoftwareVersion>,
    life: WorkerInstance,
    request: RequestIdentity,
    /// Set if the request may be the cause of the end of a worker.
    _suspect: Option<PlacedSuspect>,
}

impl WorkerUse {
    /// Counts a request under which `ended` workers have ended so far.
    pub(super) fn start(
        gateway: &Rc<Gateway>,
        worker: &str,
        request: &RequestIdentity,
        ended: usize,
    ) -> Self {
        let now = gateway.now();
        let mut workers = gateway.workers.borrow_mut();
        let software = workers.get(worker).and_then(|known| known.software);
        let life = workers.note_start(worker, now);
        drop(workers);
        gateway.requests.ends.borrow_mut().begin_send(request);
        let is_suspect = ended > 0;
        Self {
            gateway: gateway.clone(),
            worker: worker.to_owned(),
            software,
            life,
            request: *request,
            _suspect: is_suspect.then(|| PlacedSuspect::place(gateway, request, worker, ended)),
        }
    }
}

impl Drop for WorkerUse {
    fn drop(&mut self) {
        let mut workers = self.gateway.workers.borrow_mut();
        workers.note_completion(&self.life);
        let mut ends = self.gateway.requests.ends.borrow_mut();
        ends.end_send(&self.request);
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
