//! Connections to workers, and the exchange of a request and its response.

mod exchange;
mod pool;
mod response;

pub(crate) use exchange::{
    ExchangeContext, ExchangeError, OutgoingRequest, Target, connect, exchange, exchange_on,
};
pub(crate) use pool::Pool;
pub(crate) use response::WorkerResponse;

use elderworks_gateway_core::answers::CarriedRequests;
use elderworks_http_client::exchange::Connection;
use elderworks_types::Timestamp;

/// A connection to a worker, idle or in use.
#[derive(Debug)]
pub(crate) struct WorkerConnection {
    pub(crate) connection: Connection,
    /// When it was open.
    pub(crate) opened: Timestamp,
    /// The requests that were sent on it.
    pub(crate) carried: CarriedRequests,
}

impl WorkerConnection {
    /// Returns whether an idle connection is still open and has no unread bytes.
    fn is_idle(&mut self) -> bool {
        self.connection.receiver.is_idle()
    }
}
