//! A worker that a request occupies.

use std::net::SocketAddr;
use std::rc::Rc;

use elderworks_gateway_core::run_moves::Engine;
use elderworks_gateway_core::workers::WorkerInstance;

use crate::gateway::Gateway;
use crate::upstream::Answer;

/// A request that occupies a worker.
pub(super) struct Occupied {
    gateway: Rc<Gateway>,
    pub(super) worker: String,
    life: WorkerInstance,
}

impl Occupied {
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

impl Drop for Occupied {
    fn drop(&mut self) {
        let mut workers = self.gateway.workers.borrow_mut();
        workers.note_completion(&self.life);
    }
}

/// The answer of a worker with the worker that it occupies.
pub(super) struct RunningAnswer {
    pub(super) answer: Answer,
    /// Where it runs.
    pub(super) address: SocketAddr,
    pub(super) occupied: Occupied,
}

impl RunningAnswer {
    /// The worker that it runs at.
    pub(super) fn engine(&self) -> Engine {
        Engine {
            worker: self.occupied.worker.clone(),
            address: self.address,
        }
    }
}
