//! Sends one request to one worker and waits for the head of its response.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message, MessageType};
use actix_http::header::HeaderMap;
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig};
use bytes::Bytes;
use elderworks_gateway_core::attempt::SendMark;
use elderworks_gateway_core::engines::PromptSource;
use elderworks_gateway_core::pressure::BufferKind;
use elderworks_gateway_core::run_moves::Engine;
use elderworks_gateway_core::workers::WorkerRecord;
use prometheus_client::metrics::counter::Counter;
use tokio_util::codec::{Decoder, Encoder};

use super::response::{PoolReturn, ends_on_close, keep_alive_timeout};
use super::{Pool, WorkerConnection, WorkerResponse};
use crate::buffered;
use crate::clock::Clock;
use crate::memory::MemoryTracker;
use crate::ports::Platform;
use crate::socket;

/// Maximum number of responses to other requests that are skipped on a connection.
const MAX_MISMATCHED_RESPONSES: u32 = 2;

/// Maximum number of informational heads before a response.
const MAX_INFORMATIONAL_HEADS: u32 = 8;

/// Maximum number of bytes received of a response to another request.
const MAX_SKIPPED_BYTES: usize = 1024 * 1024;

/// The reason why no valid response head was received.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ExchangeError {
    /// No byte of the request can have reached the worker.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request was sent, at least in part.
    #[error("no response: {0}")]
    NoResponse(String),
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
/// Returns [`ExchangeError::NotSent`] if no byte of the request can have reached the worker, and
/// [`ExchangeError::NoResponse`] if the worker may have received it but no valid response came.
pub(crate) async fn exchange(
    context: &ExchangeContext<'_>,
    target: &Target,
    request: &OutgoingRequest,
    extra_headers: HeaderMap,
) -> Result<WorkerResponse, ExchangeError> {
    let connection = match context.pool.take(&target.worker) {
        Some(connection) => connection,
        None => connect(context, target.address).await?,
    };
    exchange_on(context, connection, target, request, extra_headers).await
}

/// Like [`exchange`], on this connection.
pub(crate) async fn exchange_on(
    context: &ExchangeContext<'_>,
    connection: WorkerConnection,
    target: &Target,
    request: &OutgoingRequest,
    extra_headers: HeaderMap,
) -> Result<WorkerResponse, ExchangeError> {
    let mut transfer = Transfer {
        codec: ClientCodec::new(context.http.clone()),
        connection,
        sending: true,
        any_sent: false,
        received_bytes: 0,
    };
    transfer.encode(request, extra_headers)?;
    context.mark.note_sending();
    for _ in 0..=MAX_MISMATCHED_RESPONSES {
        let head = transfer.next_head().await?;
        if is_response_to(context.platform, request, &head) {
            return Ok(transfer.into_response(context, target, &request.head.method, head));
        }
        log::warn!(
            request = request.request_id.as_deref().unwrap_or_default(), worker = target.worker.as_str();
            "skipped a response to another request"
        );
        transfer.skip_body(context, &head).await?;
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
    let stream = socket::connect(address)
        .await
        .map_err(|error| ExchangeError::NotSent(error.to_string()))?;
    context.connections_opened.inc();
    let (receiver, sender) = buffered::split(stream);
    Ok(WorkerConnection {
        receiver,
        sender,
        opened: context.clock.now(),
    })
}

/// Returns whether a response belongs to the request. A process that has taken over the worker's
/// address refuses requests without repeating their id.
fn is_response_to(platform: &dyn Platform, request: &OutgoingRequest, head: &ResponseHead) -> bool {
    match platform.response_request_id(&head.headers) {
        Some(id) => Some(id) == request.request_id.as_deref(),
        None => platform.was_not_run(head) || request.request_id.is_none(),
    }
}

/// An exchange in progress on one connection.
struct Transfer {
    codec: ClientCodec,
    connection: WorkerConnection,
    /// Whether part of the request remains to be sent.
    sending: bool,
    /// Whether any byte of the request was sent.
    any_sent: bool,
    /// Number of bytes received.
    received_bytes: usize,
}

impl Transfer {
    fn encode(
        &mut self,
        request: &OutgoingRequest,
        extra_headers: HeaderMap,
    ) -> Result<(), ExchangeError> {
        let size = match &request.body {
            Some(body) => BodySize::Sized(body.len() as u64),
            None => BodySize::None,
        };
        let head = RequestHeadType::Rc(request.head.clone(), Some(extra_headers));
        let buffer = &mut self.connection.sender.buffer;
        let encoded = self.codec.encode(Message::Item((head, size)), buffer);
        encoded.map_err(|error| ExchangeError::NotSent(error.to_string()))?;
        if let Some(body) = &request.body {
            buffer.extend_from_slice(body);
        }
        Ok(())
    }

    /// Sends the rest of the request while waiting for the head of a response.
    async fn next_head(&mut self) -> Result<ResponseHead, ExchangeError> {
        let mut informational_heads = 0;
        loop {
            let buffer = &mut self.connection.receiver.buffer;
            match self.codec.decode(buffer) {
                Ok(Some(head)) if head.status.is_informational() => {
                    informational_heads += 1;
                    if informational_heads > MAX_INFORMATIONAL_HEADS {
                        let reason = "too many informational heads".to_owned();
                        return Err(ExchangeError::NoResponse(reason));
                    }
                    continue;
                }
                Ok(Some(head)) => return Ok(head),
                Ok(None) => {}
                Err(error) => return Err(ExchangeError::NoResponse(error.to_string())),
            }
            self.transfer_some().await?;
        }
    }

    /// Sends a part of the request or receives a part of a response, whichever is possible first.
    async fn transfer_some(&mut self) -> Result<(), ExchangeError> {
        let WorkerConnection {
            receiver, sender, ..
        } = &mut self.connection;
        let unsent = sender.buffer.len();
        tokio::select! {
            sent = sender.flush(), if self.sending => {
                self.any_sent |= sender.buffer.len() < unsent;
                self.sending = false;
                match sent {
                    Ok(()) => Ok(()),
                    Err(error) if !self.any_sent => {
                        Err(ExchangeError::NotSent(error.to_string()))
                    }
                    // The worker may have responded before; the sender remembers the error.
                    Err(_) => Ok(()),
                }
            }
            received = receiver.fill() => {
                self.any_sent |= sender.buffer.len() < unsent;
                match received {
                    Ok(0) => Err(ExchangeError::NoResponse("connection closed".to_owned())),
                    Ok(count) => {
                        self.received_bytes += count;
                        Ok(())
                    }
                    Err(error) => Err(ExchangeError::NoResponse(error.to_string())),
                }
            }
        }
    }

    fn into_response(
        self,
        context: &ExchangeContext<'_>,
        target: &Target,
        method: &Method,
        head: ResponseHead,
    ) -> WorkerResponse {
        let pool_return = PoolReturn {
            pool: context.pool.clone(),
            worker: target.worker.clone(),
            reusable: !self.sending,
            idle_timeout: keep_alive_timeout(&head.headers),
            max_idle: context.max_idle,
        };
        let buffered_bytes = context.memory.reservation(BufferKind::Answers);
        WorkerResponse::new(
            method,
            head,
            self.codec,
            self.connection,
            pool_return,
            buffered_bytes,
        )
    }

    /// Discards the body of a response to another request. The connection isn't returned to the
    /// pool afterwards, because the new codec doesn't know whether it can be kept alive.
    async fn skip_body(
        &mut self,
        context: &ExchangeContext<'_>,
        head: &ResponseHead,
    ) -> Result<(), ExchangeError> {
        if ends_on_close(head) {
            let reason = "response to another request without a length".to_owned();
            return Err(ExchangeError::NoResponse(reason));
        }
        let has_body = self.codec.message_type() != MessageType::None;
        let fresh = ClientCodec::new(context.http.clone());
        let codec = std::mem::replace(&mut self.codec, fresh);
        if !has_body {
            return Ok(());
        }
        let mut payload = codec.into_payload_codec();
        let received_before = self.received_bytes;
        loop {
            if self.received_bytes - received_before > MAX_SKIPPED_BYTES {
                let reason = "a response to another request doesn't end".to_owned();
                return Err(ExchangeError::NoResponse(reason));
            }
            let buffer = &mut self.connection.receiver.buffer;
            match payload.decode(buffer) {
                Ok(Some(Some(_))) => {}
                Ok(Some(None)) => return Ok(()),
                Ok(None) => self.transfer_some().await?,
                Err(error) => return Err(ExchangeError::NoResponse(error.to_string())),
            }
        }
    }
}
