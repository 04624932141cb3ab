//! Exchanges with workers that were left without an answer.
//!
//! A worker's process may start again under the same id and at the same address, so that neither tells
//! which process had an exchange. Each exchange therefore counts by itself, as a process that may have
//! ended, until that process shows that it outlived the exchange: by an answer on a connection that was
//! open before the exchange began.

use std::time::Duration;

use elderworks_types::Timestamp;
use xxhash_rust::xxh3::Xxh3;

use super::identity::RequestKey;
use crate::peer_loads::WorkerKey;

/// Time after an exchange from which an answer of the process shows that it outlived the exchange. A
/// process that ends may close its sockets one after another.
pub const MAX_END_DELAY: Duration = Duration::from_millis(800);

/// Number of bits of a key that tell the exchanges with one worker apart.
const EXCHANGE_BITS: u32 = 10;

/// An exchange with a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// The worker.
    pub worker: WorkerKey,
    /// When this node began to send the request.
    pub sent: Timestamp,
}

/// Identifies an exchange of one request. Its upper bits are those of the worker's key, so that other
/// nodes know the worker; nodes of earlier versions take it for a worker of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeKey(pub u32);

/// The part of a worker's key that [`ExchangeKey`] holds. Collisions let a request
/// avoid a further worker, or take a worker for one that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerPart(u32);

/// An answer of the process that listens at a worker's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SignOfLife {
    /// The worker.
    pub worker: WorkerKey,
    /// When the connection was open.
    pub opened: Timestamp,
    /// When the answer was received, or earlier.
    pub answered: Timestamp,
}

impl WorkerPart {
    /// Returns the part of a worker's key.
    pub fn of(worker: WorkerKey) -> Self {
        Self(worker.0 >> EXCHANGE_BITS)
    }
}

impl ExchangeKey {
    /// Returns the key of an exchange of a try.
    pub fn of(exchange: &Exchange, attempt: RequestKey) -> Self {
        let mut hash = Xxh3::new();
        hash.update(&attempt.0.to_le_bytes());
        hash.update(&exchange.sent.0.to_le_bytes());
        let mask = (1 << EXCHANGE_BITS) - 1;
        let low = u32::try_from(hash.digest() & mask).expect("a few bits");
        Self(WorkerPart::of(exchange.worker).0 << EXCHANGE_BITS | low)
    }

    /// Returns the part of the worker's key that it holds.
    pub fn worker_part(self) -> WorkerPart {
        WorkerPart(self.0 >> EXCHANGE_BITS)
    }

    /// Returns whether it was an exchange with this worker.
    pub fn is_with(self, worker: WorkerKey) -> bool {
        self.worker_part() == WorkerPart::of(worker)
    }
}

impl SignOfLife {
    /// Returns whether the process that had an exchange, which was given up at `given_up`, outlived it.
    pub fn outlives(&self, exchange: &Exchange, given_up: Timestamp) -> bool {
        self.worker == exchange.worker
            && self.opened <= exchange.sent
            && self.answered >= given_up + MAX_END_DELAY
    }
}
