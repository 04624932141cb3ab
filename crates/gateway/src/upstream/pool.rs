//! Connections to workers at rest, kept for the next request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::WorkerConnection;

/// Share of the worker's own idle time for which a connection is used again: the worker's clock
/// starts earlier than ours, and it gives the time in whole seconds.
const USABLE_SHARE: f64 = 0.7;

/// A worker that names no idle time closes after less than a second.
const UNNAMED_IDLE_TIME: Duration = Duration::from_millis(350);

#[derive(Debug)]
struct IdleConnection {
    connection: WorkerConnection,
    usable_until: Instant,
}

/// Connections at rest by worker id.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<String, Vec<IdleConnection>>>,
}

impl Pool {
    /// Takes the connection that was used last and is still open.
    pub(crate) fn take(&self, worker: &str) -> Option<WorkerConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(worker)?;
        let now = Instant::now();
        while let Some(mut candidate) = connections.pop() {
            if candidate.usable_until > now && candidate.connection.receiver.is_quiet() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Whether a connection to a worker is likely to be at rest.
    pub(crate) fn has(&self, worker: &str) -> bool {
        let idle = self.idle.borrow();
        let connections = idle.get(worker);
        let now = Instant::now();
        connections.is_some_and(|all| all.iter().any(|one| one.usable_until > now))
    }

    /// Keeps a connection for the next request, unless as many as allowed are kept. `idle_time` is
    /// what the worker said.
    pub(crate) fn put(
        &self,
        worker: &str,
        connection: WorkerConnection,
        idle_time: Option<Duration>,
        most: usize,
    ) {
        let usable_for = idle_time.map_or(UNNAMED_IDLE_TIME, |time| time.mul_f64(USABLE_SHARE));
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(worker.to_owned()).or_default();
        if connections.len() >= most {
            return;
        }
        connections.push(IdleConnection {
            connection,
            usable_until: Instant::now() + usable_for,
        });
    }

    /// Closes the connections of a worker that is gone.
    pub(crate) fn discard_connections(&self, worker: &str) {
        self.idle.borrow_mut().remove(worker);
    }

    /// Closes connections that are too old to be used again.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| connection.usable_until > now);
            !connections.is_empty()
        });
    }
}
