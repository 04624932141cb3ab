//! A worker's response: its head, and its body in chunks.

use std::rc::Rc;
use std::time::Duration;

use actix_http::ResponseHead;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use elderworks_gateway_core::answers::{CarriedRequests, Outcome};
use elderworks_gateway_core::pressure::should_read_answer;
use elderworks_http_client::exchange::{Body, Connection};
use elderworks_http_client::response::ResponseError;
use elderworks_types::Timestamp;

use super::{Pool, WorkerConnection};
use crate::memory::MemoryReservation;

/// A worker's response.
pub(crate) struct WorkerResponse {
    /// Status and headers.
    pub(crate) head: ResponseHead,
    /// What it tells about its request.
    pub(crate) outcome: Outcome,
    /// When its connection was open.
    pub(crate) opened: Timestamp,
    /// What remains to be received; `None` after the end of the body.
    rest: Option<Rest>,
    /// Accounts for the memory of the body while it is buffered.
    buffered_bytes: MemoryReservation,
}

/// The body, and what becomes of its connection.
struct Rest {
    body: Body,
    pool_return: PoolReturn,
}

/// Parameters for returning a connection to the pool after its response.
pub(crate) struct PoolReturn {
    /// The pool.
    pub(crate) pool: Rc<Pool>,
    /// Id of the worker.
    pub(crate) worker: String,
    /// When the connection was open.
    pub(crate) opened: Timestamp,
    /// The requests that were sent on it.
    pub(crate) carried: CarriedRequests,
    /// Idle timeout that the worker announced.
    pub(crate) idle_timeout: Option<Duration>,
    /// Maximum number of idle connections that this node keeps to the worker.
    pub(crate) max_idle: usize,
}

impl PoolReturn {
    fn return_connection(self, mut connection: Connection) {
        if !self.carried.is_reusable() {
            return;
        }
        connection.receiver.buffer = bytes::BytesMut::new();
        connection.sender.buffer = bytes::BytesMut::new();
        let connection = WorkerConnection {
            connection,
            opened: self.opened,
            carried: self.carried,
        };
        self.pool
            .put(&self.worker, connection, self.idle_timeout, self.max_idle);
    }
}

impl WorkerResponse {
    /// Creates a response whose body follows.
    pub(crate) fn new(
        head: ResponseHead,
        outcome: Outcome,
        body: Body,
        pool_return: PoolReturn,
        buffered_bytes: MemoryReservation,
    ) -> Self {
        let is_whole = body.is_whole();
        let mut response = Self {
            head,
            outcome,
            opened: pool_return.opened,
            rest: Some(Rest { body, pool_return }),
            buffered_bytes,
        };
        if is_whole {
            response.finish();
        }
        response
    }

    /// Returns the next chunk of the body; `None` after the end of the body.
    pub(crate) async fn next_chunk(&mut self) -> Result<Option<Bytes>, ResponseError> {
        let Some(rest) = &mut self.rest else {
            return Ok(None);
        };
        let chunk = rest.body.next_chunk().await?;
        if chunk.is_none() {
            self.finish();
        }
        Ok(chunk)
    }

    /// Returns the whole body, or an error if it is larger than `max_bytes`.
    pub(crate) async fn buffer_body(&mut self, max_bytes: usize) -> Result<Bytes, ResponseError> {
        let mut whole = bytes::BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            if whole.len() + chunk.len() > max_bytes {
                return Err(ResponseError::TooLarge(max_bytes));
            }
            self.buffered_bytes.set(whole.len() + chunk.len());
            if whole.is_empty() {
                whole = bytes::BytesMut::from(&chunk[..]);
            } else {
                whole.extend_from_slice(&chunk);
            }
            let memory = self.buffered_bytes.memory().clone();
            if !should_read_answer(whole.len(), memory.pressure()) {
                memory.wait_for_capacity().await;
            }
        }
        Ok(whole.freeze())
    }

    /// Returns the connection to the pool after the end of the body if it can be reused.
    fn finish(&mut self) {
        if let Some(Rest { body, pool_return }) = self.rest.take()
            && let Some(connection) = body.into_connection()
        {
            pool_return.return_connection(connection);
        }
    }
}

/// Returns the timeout of a `Keep-Alive` header.
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|text| text.trim().parse::<f64>().ok())?;
    Duration::try_from_secs_f64(seconds).ok()
}
