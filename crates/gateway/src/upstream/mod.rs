//! Connections to workers, and the exchange of a request and its response.

mod exchange;
mod pool;
mod response;

pub(crate) use exchange::{
    ExchangeContext, ExchangeError, OutgoingRequest, Target, connect, exchange, exchange_on,
};
pub(crate) use pool::Pool;
pub(crate) use response::WorkerResponse;

use elderworks_types::Timestamp;

use crate::buffered::{Receiver, Sender};

/// A connection to a worker, idle or in use.
#[derive(Debug)]
pub(crate) struct WorkerConnection {
    pub(crate) receiver: Receiver,
    pub(crate) sender: Sender,
    /// When it was open.
    pub(crate) opened: Timestamp,
}
