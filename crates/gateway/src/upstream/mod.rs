//! Connections to workers and the exchange of one request and its answer.

mod answer;
mod exchange;
mod pool;

pub(crate) use answer::Answer;
pub(crate) use exchange::{ExchangeContext, ExchangeError, OutgoingRequest, Target, exchange};
pub(crate) use pool::Pool;

use crate::buffered::{Receiver, Sender};

/// A connection to a worker, at rest or in use.
#[derive(Debug)]
pub(crate) struct WorkerConnection {
    pub(crate) receiver: Receiver,
    pub(crate) sender: Sender,
}
