//! Sends one request to one worker and waits for the head of its answer.

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
use elderworks_gateway_core::workers::WorkerRecord;
use prometheus_client::metrics::counter::Counter;
use tokio_util::codec::{Decoder, Encoder};

use super::answer::{Home, ends_with_connection, named_idle_time};
use super::{Answer, Pool, WorkerConnection};
use crate::buffered;
use crate::memory::MemoryTracker;
use crate::ports::Platform;
use crate::socket;

/// Answers to other requests that are passed over before the connection is given up.
const MAX_FOREIGN_ANSWERS: u32 = 2;

/// Why no valid head of an answer came.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ExchangeError {
    /// No byte of the request can have reached the worker.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request was sent, in part at least.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

/// A request as it goes to a worker.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingRequest {
    /// Method, path and the caller's headers.
    pub(crate) head: Rc<RequestHead>,
    /// The whole body; absent for requests that have none.
    pub(crate) body: Option<Bytes>,
    /// Its id, which the answer must bear.
    pub(crate) request_id: Option<String>,
}

/// A worker to send to.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Its id.
    pub(crate) worker: String,
    /// Its address.
    pub(crate) address: SocketAddr,
    /// Where an engine takes the prompt from.
    pub(crate) prompt_source: PromptSource,
    /// The engine to which the run's memory is copied while it runs.
    pub(crate) backup_at: Option<SocketAddr>,
}

impl Target {
    /// A worker that reads the whole prompt itself.
    pub(crate) fn plain(record: &WorkerRecord) -> Self {
        Self {
            worker: record.id.clone(),
            address: record.address,
            prompt_source: PromptSource::Read,
            backup_at: None,
        }
    }
}

/// What an exchange needs besides the request.
pub(crate) struct ExchangeContext<'a> {
    pub(crate) pool: &'a Rc<Pool>,
    pub(crate) http: &'a ServiceConfig,
    /// Counts answers that are collected.
    pub(crate) memory: &'a MemoryTracker,
    pub(crate) platform: &'a dyn Platform,
    pub(crate) connections_made: &'a Counter,
    /// Most connections at rest that this node may keep to the worker.
    pub(crate) most_idle: usize,
    /// Set before the first byte of the request may go out.
    pub(crate) mark: SendMark,
}

/// Sends a request and waits for the head of the answer to it.
pub(crate) async fn exchange(
    context: &ExchangeContext<'_>,
    target: &Target,
    request: &OutgoingRequest,
    extra_headers: HeaderMap,
) -> Result<Answer, ExchangeError> {
    let connection = open(context, target).await?;
    let mut transfer = Transfer {
        codec: ClientCodec::new(context.http.clone()),
        connection,
        sending: true,
        any_sent: false,
    };
    transfer.encode(request, extra_headers)?;
    context.mark.note_sending();
    for _ in 0..=MAX_FOREIGN_ANSWERS {
        let head = transfer.next_head().await?;
        if is_answer_to(context.platform, request, &head) {
            return Ok(transfer.into_answer(context, target, &request.head.method, head));
        }
        log::warn!(
            request = request.request_id.as_deref().unwrap_or_default(), worker = target.worker.as_str();
            "answer to another request passed over"
        );
        transfer.skip_body(context, &head).await?;
    }
    Err(ExchangeError::NoAnswer(
        "answers to other requests".to_owned(),
    ))
}

async fn open(
    context: &ExchangeContext<'_>,
    target: &Target,
) -> Result<WorkerConnection, ExchangeError> {
    if let Some(connection) = context.pool.take(&target.worker) {
        return Ok(connection);
    }
    let stream = socket::connect(target.address)
        .await
        .map_err(|error| ExchangeError::NotSent(error.to_string()))?;
    context.connections_made.inc();
    let (receiver, sender) = buffered::split(stream);
    Ok(WorkerConnection { receiver, sender })
}

/// Whether an answer belongs to the request. Refusals by whoever has taken over the address bear
/// no id.
fn is_answer_to(platform: &dyn Platform, request: &OutgoingRequest, head: &ResponseHead) -> bool {
    match platform.response_request_id(&head.headers) {
        Some(id) => Some(id) == request.request_id.as_deref(),
        None => platform.was_not_run(head) || request.request_id.is_none(),
    }
}

/// A request under way on one connection.
struct Transfer {
    codec: ClientCodec,
    connection: WorkerConnection,
    sending: bool,
    any_sent: bool,
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

    /// Sends what is left to send while waiting for the head of an answer.
    async fn next_head(&mut self) -> Result<ResponseHead, ExchangeError> {
        loop {
            let buffer = &mut self.connection.receiver.buffer;
            match self.codec.decode(buffer) {
                Ok(Some(head)) if head.status.is_informational() => continue,
                Ok(Some(head)) => return Ok(head),
                Ok(None) => {}
                Err(error) => return Err(ExchangeError::NoAnswer(error.to_string())),
            }
            self.transfer_some().await?;
        }
    }

    async fn transfer_some(&mut self) -> Result<(), ExchangeError> {
        let WorkerConnection { receiver, sender } = &mut self.connection;
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
                    // The worker may have answered before it closed.
                    Err(_) => Ok(()),
                }
            }
            received = receiver.fill() => {
                self.any_sent |= sender.buffer.len() < unsent;
                match received {
                    Ok(0) => Err(ExchangeError::NoAnswer("connection closed".to_owned())),
                    Ok(_) => Ok(()),
                    Err(error) => Err(ExchangeError::NoAnswer(error.to_string())),
                }
            }
        }
    }

    fn into_answer(
        self,
        context: &ExchangeContext<'_>,
        target: &Target,
        method: &Method,
        head: ResponseHead,
    ) -> Answer {
        let home = Home {
            pool: context.pool.clone(),
            worker: target.worker.clone(),
            reusable: !self.sending,
            idle_time: named_idle_time(&head.headers),
            most_idle: context.most_idle,
        };
        let collected = context.memory.reservation(BufferKind::Answers);
        Answer::new(method, head, self.codec, self.connection, home, collected)
    }

    /// Reads to the end of an answer to another request. The connection is not used again after
    /// the right answer: the fresh codec does not vouch for it.
    async fn skip_body(
        &mut self,
        context: &ExchangeContext<'_>,
        head: &ResponseHead,
    ) -> Result<(), ExchangeError> {
        if ends_with_connection(head) {
            let reason = "answer to another request without an end".to_owned();
            return Err(ExchangeError::NoAnswer(reason));
        }
        let has_body = self.codec.message_type() != MessageType::None;
        let fresh = ClientCodec::new(context.http.clone());
        let codec = std::mem::replace(&mut self.codec, fresh);
        if !has_body {
            return Ok(());
        }
        let mut payload = codec.into_payload_codec();
        loop {
            let buffer = &mut self.connection.receiver.buffer;
            match payload.decode(buffer) {
                Ok(Some(Some(_))) => {}
                Ok(Some(None)) => return Ok(()),
                Ok(None) => self.transfer_some().await?,
                Err(error) => return Err(ExchangeError::NoAnswer(error.to_string())),
            }
        }
    }
}
