//! Sends one request to one worker and waits for the head of its response.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, RequestHeadType, ServiceConfig};
use bytes::Bytes;
use elderworks_gateway_core::answers::{AnswerHead, CarriedRequests, Outcome, WaitingRequest};
use elderworks_gateway_core::attempt::SendMark;
use elderworks_gateway_core::engines::PromptSource;
use elderworks_gateway_core::pressure::BufferKind;
use elderworks_gateway_core::run_moves::Engine;
use elderworks_gateway_core::workers::WorkerRecord;
use elderworks_http_client::connect::ConnectError;
use elderworks_http_client::exchange::{self, Connection, Exchange};
use prometheus_client::metrics::counter::Counter;

use super::response::{PoolReturn, keep_alive_timeout};
use super::{Pool, WorkerConnection, WorkerResponse};
use crate::clock::Clock;
use crate::memory::MemoryTracker;
use crate::ports::Platform;
use crate::socket;

/// Maximum number of responses to other requests that are skipped on a connection.
const MAX_MISMATCHED_RESPONSES: u32 = 2;

/// Maximum number of bytes received of a response to another request.
const MAX_SKIPPED_BYTES: usize = 1024 * 1024;

/// The reason why no valid response head was received.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ExchangeError {
    /// No connection could be established: nothing listens at the address, or there is no way there.
    #[error("not reached: {0}")]
    NotReached(String),
    /// No byte of the request can have reached the worker.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request was sent, at least in part.
    #[error("no response: {0}")]
    NoResponse(String),
}

impl From<exchange::ExchangeError> for ExchangeError {
    fn from(error: exchange::ExchangeError) -> Self {
        match error {
            exchange::ExchangeError::NotSent(reason) => Self::NotSent(reason),
            exchange::ExchangeError::NoResponse(error) => Self::NoResponse(error.to_string()),
        }
    }
}

impl From<ConnectError> for ExchangeError {
    fn from(error: ConnectError) -> Self {
        match error {
            ConnectError::Unreachable(error) => Self::NotReached(error.to_string()),
            ConnectError::Failed(error) => Self::NotSent(error.to_string()),
        }
    }
}

/// A request to a worker.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingRequest {
    /// Method, path and the caller's headers.
    pub(crate) head: Rc<RequestHead>,
    /// The whole body; `None` for requests without a body.
    pub(crate) body: Option<Bytes>,
    /// The request's id, which the response must repeat.
    pub(crate) request_id: Option<String>,
}

/// The worker that a request is sent to.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Id of the worker.
    pub(crate) worker: String,
    /// Address of the worker.
    pub(crate) address: SocketAddr,
    /// Where an engine gets the prompt's cached state from.
    pub(crate) prompt_source: PromptSource,
    /// The engine to which the run's memory is copied while the run is in progress.
    pub(crate) backup_at: Option<SocketAddr>,
}

impl Target {
    /// Creates a target for a run at an engine.
    pub(crate) fn at(engine: &Engine) -> Self {
        Self {
            worker: engine.worker.clone(),
            address: engine.address,
            prompt_source: PromptSource::Read,
            backup_at: None,
        }
    }

    /// Returns the worker as an engine.
    pub(crate) fn engine(&self) -> Engine {
        Engine {
            worker: self.worker.clone(),
            address: self.address,
        }
    }

    /// Creates a target that processes the whole prompt itself and has no backup.
    pub(crate) fn direct(record: &WorkerRecord) -> Self {
        Self {
            worker: record.id.clone(),
            address: record.address,
            prompt_source: PromptSource::Read,
            backup_at: None,
        }
    }
}

/// The parameters of an exchange that don't depend on the request.
pub(crate) struct ExchangeContext<'a> {
    pub(crate) pool: &'a Rc<Pool>,
    pub(crate) http: &'a ServiceConfig,
    pub(crate) clock: Clock,
    /// Accounts for buffered responses.
    pub(crate) memory: &'a MemoryTracker,
    pub(crate) platform: &'a dyn Platform,
    pub(crate) connections_opened: &'a Counter,
    /// Maximum number of idle connections that this node keeps to the worker.
    pub(crate) max_idle: usize,
    /// Set before the first byte of the request may be sent.
    pub(crate) mark: SendMark,
}

/// Sends a request and waits for the head of its response.
///
/// # Errors
///
/// Returns [`ExchangeError::NotReached`] if no connection to the worker can be established,
/// [`ExchangeError::NotSent`] if no byte of the request can have reached it for another reason, and
/// [`ExchangeError::NoResponse`] if it may have received the request but no valid response came.
pub(crate) async fn exchange(
    context: &ExchangeContext<'_>,
    target: &Target,
    request: &OutgoingRequest,
    extra_headers: HeaderMap,
) -> Result<WorkerResponse, ExchangeError> {
    let request_id = request.request_id.as_deref();
    let connection = match context.pool.take_for(&target.worker, request_id) {
        Some(connection) => connection,
        None => connect(context, target.address).await?,
    };
    exchange_on(context, connection, target, request, extra_headers).await
}

/// Like [`exchange`], on this connection. Without an id, an answer is the request's own unless it names
/// another one.
pub(crate) async fn exchange_on(
    context: &ExchangeContext<'_>,
    connection: WorkerConnection,
    target: &Target,
    request: &OutgoingRequest,
    extra_headers: HeaderMap,
) -> Result<WorkerResponse, ExchangeError> {
    let WorkerConnection {
        connection,
        opened,
        mut carried,
    } = connection;
    let head = RequestHeadType::Rc(request.head.clone(), Some(extra_headers));
    let mut exchange = Exchange::new(connection, context.http, head, request.body.as_ref())?;
    context.mark.note_sending();
    for skipped in 0..=MAX_MISMATCHED_RESPONSES {
        let decoded = exchange.next_head().await?;
        let waiting = WaitingRequest {
            id: request.request_id.as_deref(),
            carried: carried.count(),
            skipped,
        };
        let answer = context.platform.answer_head(&decoded.head);
        let outcome = answer.outcome(&waiting);
        log_outcome(&target.worker, &waiting, &answer, outcome);
        if let Some(outcome) = outcome {
            carried.note_sent();
            if let (Outcome::NotRun, Some(id)) = (outcome, waiting.id) {
                carried.note_refused(id);
            }
            let pool_return = PoolReturn {
                pool: context.pool.clone(),
                worker: target.worker.clone(),
                opened,
                carried,
                idle_timeout: keep_alive_timeout(&decoded.head.headers),
                max_idle: context.max_idle,
            };
            let (head, body) = exchange.into_body(decoded);
            let buffered_bytes = context.memory.reservation(BufferKind::Answers);
            let response = WorkerResponse::new(head, outcome, body, pool_return, buffered_bytes);
            return Ok(response);
        }
        exchange.skip_body(decoded.body, MAX_SKIPPED_BYTES).await?;
    }
    Err(ExchangeError::NoResponse(
        "only responses to other requests".to_owned(),
    ))
}

/// Opens a connection to a worker.
pub(crate) async fn connect(
    context: &ExchangeContext<'_>,
    address: SocketAddr,
) -> Result<WorkerConnection, ExchangeError> {
    let stream = socket::connect(address).await?;
    context.connections_opened.inc();
    Ok(WorkerConnection {
        connection: Connection::new(stream),
        opened: context.clock.now(),
        carried: CarriedRequests::default(),
    })
}

/// Logs how an answer was judged, unless it is a usual one.
fn log_outcome(
    worker: &str,
    waiting: &WaitingRequest<'_>,
    answer: &AnswerHead<'_>,
    outcome: Option<Outcome>,
) {
    let message = match outcome {
        Some(Outcome::Answered) => return,
        Some(Outcome::NotRun) => "worker refused a request",
        Some(Outcome::Unknown) => "answer leaves open whether its request was run",
        None => "skipped a response to another request",
    };
    log::info!(
        request = waiting.id.unwrap_or_default(), worker = worker, status = answer.status,
        marked = answer.is_marked, named = answer.named.relation_to(waiting.id).text(),
        carried = waiting.carried, skipped = waiting.skipped;
        "{message}"
    );
}
