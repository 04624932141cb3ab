//! Pool of idle connections to workers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use elderworks_types::Timestamp;

use super::WorkerConnection;

/// Fraction of the idle timeout announced by a worker for which a connection is reused. The
/// worker's timer starts earlier than this node's, and it announces whole seconds.
const REUSE_FRACTION: f64 = 0.7;

/// Time for which connections to workers that announce no idle timeout are reused; such workers
/// close them within a second.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(350);

#[derive(Debug)]
struct IdleConnection {
    connection: WorkerConnection,
    usable_until: Instant,
}

/// Idle connections by worker id.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<String, Vec<IdleConnection>>>,
}

impl Pool {
    /// Takes the most recently used connection that is still open.
    pub(crate) fn take(&self, worker: &str) -> Option<WorkerConnection> {
        self.take_where(worker, |_| true)
    }

    /// Takes the most recently used connection that is still open and may carry a caller's request.
    pub(crate) fn take_for(
        &self,
        worker: &str,
        request_id: Option<&str>,
    ) -> Option<WorkerConnection> {
        self.take_where(worker, |connection| {
            connection.carried.may_carry(request_id)
        })
    }

    /// Takes the most recently used connection that is still open and was so at this time.
    pub(crate) fn take_opened_before(
        &self,
        worker: &str,
        time: Timestamp,
    ) -> Option<WorkerConnection> {
        self.take_where(worker, |connection| connection.opened <= time)
    }

    /// Takes the most recently used connection that is still open and is suitable.
    fn take_where(
        &self,
        worker: &str,
        is_suitable: impl Fn(&WorkerConnection) -> bool,
    ) -> Option<WorkerConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(worker)?;
        let now = Instant::now();
        for index in (0..connections.len()).rev() {
            if !is_suitable(&connections[index].connection) {
                continue;
            }
            let mut candidate = connections.remove(index);
            if candidate.usable_until > now && candidate.connection.is_idle() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Returns whether there is an idle connection to a worker that is probably still open.
    pub(crate) fn has_idle(&self, worker: &str) -> bool {
        let idle = self.idle.borrow();
        let connections = idle.get(worker);
        let now = Instant::now();
        connections.is_some_and(|all| all.iter().any(|one| one.usable_until > now))
    }

    /// Adds a connection to the pool unless it has `max_idle` to the worker already. `idle_timeout`
    /// is the idle timeout announced by the worker.
    pub(crate) fn put(
        &self,
        worker: &str,
        connection: WorkerConnection,
        idle_timeout: Option<Duration>,
        max_idle: usize,
    ) {
        let usable_for =
            idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |time| time.mul_f64(REUSE_FRACTION));
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(worker.to_owned()).or_default();
        if connections.len() >= max_idle {
            return;
        }
        connections.push(IdleConnection {
            connection,
            usable_until: Instant::now() + usable_for,
        });
    }

    /// Closes the idle connections to a worker.
    pub(crate) fn discard_connections(&self, worker: &str) {
        self.idle.borrow_mut().remove(worker);
    }

    /// Closes connections whose idle timeout has passed.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| connection.usable_until > now);
            !connections.is_empty()
        });
    }
}
