//! Serving of callers' connections: reads requests, handles each, then keeps or closes the
//! connection.

use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::RequestHead;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::header::{EXPECT, HeaderMap};
use bytes::{Bytes, BytesMut};
use elderworks_gateway_core::attempt::NotRun;
use elderworks_gateway_core::config::RequestLimits;
use elderworks_gateway_core::pressure::BufferKind;
use elderworks_http_client::buffered::{self, Receiver, Sender};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Decoder;

use crate::caller::{Caller, Progress};
use crate::forward;
use crate::gateway::{Gateway, Stage};
use crate::memory::MemoryReservation;
use crate::open_work::{WorkCounter, WorkGuard};
use crate::reply::{ErrorStatus, Refusal};
use crate::socket;

/// Maximum time between two reads of a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which the rest of a refused request is discarded before the connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which an idle connection stays open once the node closes its connections, so that a
/// request that has reached the machine is still read.
const CLOSE_DELAY: Duration = Duration::from_millis(50);

/// Pause after a failed accept, for example when no file descriptors are available.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// A request of a caller, read completely.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    /// Method, path and headers.
    pub(crate) head: RequestHead,
    /// The body; `None` if the request has none.
    pub(crate) body: Option<Bytes>,
    /// When its head was read.
    pub(crate) received: Instant,
    /// Address of the caller, if its connection is still open.
    pub(crate) caller: Option<IpAddr>,
    /// Accounts for the body's memory while the request is in progress.
    pub(crate) memory: MemoryReservation,
}

/// Accepts connections of callers until the process is closing.
pub(crate) async fn accept_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = gateway.until_closing() => break,
        };
        match accepted {
            Ok((stream, _)) => spawn_serve(&gateway, stream),
            Err(error) => {
                log::warn!(error = error.to_string().as_str(); "failed to accept a connection");
                actix_rt::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    if let Err(error) = accept_pending(&gateway, listener) {
        log::warn!(error = error.to_string().as_str(); "failed to accept the last connections");
    }
}

/// Accepts the connections that are already established: closing the listener would reset them,
/// and with them requests that were sent a while ago.
fn accept_pending(gateway: &Rc<Gateway>, listener: TcpListener) -> io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                spawn_serve(gateway, TcpStream::from_std(stream)?);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
}

fn spawn_serve(gateway: &Rc<Gateway>, stream: TcpStream) {
    let gateway = gateway.clone();
    actix_rt::spawn(async move { serve(&gateway, stream).await });
}

/// The reason why no further request is read from a connection.
pub(crate) enum ReadEnd {
    /// The caller closed the connection, or it was idle for too long.
    Closed,
    /// The request is refused with this response.
    Refuse(Refusal),
}

/// A connection from which requests are read one after another.
pub(crate) struct RequestReader {
    pub(crate) codec: Codec,
    pub(crate) receiver: Receiver,
    pub(crate) sender: Sender,
    /// Address of the caller, if the connection was still open when it was accepted.
    caller: Option<IpAddr>,
    /// Counts the requests in progress.
    requests: WorkCounter,
    /// Counts the current request, from its first byte until the next one is awaited or the
    /// connection is closed.
    current: Option<WorkGuard>,
}

impl RequestReader {
    /// Creates a reader for an accepted connection, whose requests are counted by `requests`.
    pub(crate) fn new(gateway: &Gateway, stream: TcpStream, requests: WorkCounter) -> Self {
        let caller = stream.peer_addr().ok().map(|address| address.ip());
        let (receiver, sender) = buffered::split(stream);
        Self {
            codec: Codec::new(gateway.http.clone()),
            receiver,
            sender,
            caller,
            requests,
            current: None,
        }
    }

    /// Reads the next request completely.
    pub(crate) async fn next(&mut self, gateway: &Rc<Gateway>) -> Result<CallerRequest, ReadEnd> {
        let limits = request_limits(gateway);
        let Self {
            codec,
            receiver,
            sender,
            caller,
            ..
        } = self;
        self.current = None;
        wait_for_first_byte(gateway, receiver, limits.idle_timeout).await?;
        self.current = Some(self.requests.begin());
        let mut request = read_request(gateway, codec, receiver, sender, &limits).await?;
        request.caller = *caller;
        Ok(request)
    }
}

async fn serve(gateway: &Rc<Gateway>, stream: TcpStream) {
    socket::set_caller_options(&stream);
    let mut reader = RequestReader::new(gateway, stream, gateway.in_flight.clone());
    loop {
        match reader.next(gateway).await {
            Ok(request) => {
                if !respond(gateway, &mut reader, request).await {
                    break;
                }
            }
            Err(ReadEnd::Closed) => break,
            Err(ReadEnd::Refuse(refusal)) => {
                let reservation = gateway.memory.reservation(BufferKind::Callers);
                let mut caller =
                    Caller::new(&mut reader.codec, &mut reader.sender, reservation, true);
                // The caller may have disconnected already.
                let _ = caller.send_refusal(&refusal).await;
                reader.sender.shut_down().await;
                discard_input(&mut reader.receiver).await;
                return;
            }
        }
    }
    reader.sender.shut_down().await;
}

fn request_limits(gateway: &Gateway) -> RequestLimits {
    gateway
        .current_config()
        .map(|config| config.limits.clone())
        .unwrap_or_default()
}

/// Handles a request. Returns whether the connection can be kept.
async fn respond(
    gateway: &Rc<Gateway>,
    reader: &mut RequestReader,
    request: CallerRequest,
) -> bool {
    let RequestReader {
        codec,
        receiver,
        sender,
        ..
    } = reader;
    let closing = gateway.stage() != Stage::Serving;
    let received = request.received;
    gateway.metrics.in_flight.inc();
    let reservation = gateway.memory.reservation(BufferKind::Callers);
    let mut caller = Caller::new(codec, sender, reservation, closing);
    let handled = tokio::select! {
        biased;
        handled = forward::handle(gateway, &mut caller, request) => handled.is_ok(),
        () = receiver.closed() => {
            gateway.metrics.caller_left.inc();
            false
        }
    };
    let whole = caller.progress() == Progress::Done;
    gateway.metrics.in_flight.dec();
    gateway
        .metrics
        .request_seconds
        .observe(received.elapsed().as_secs_f64());
    handled && whole && codec.keep_alive() && !closing && gateway.stage() < Stage::Closing
}

async fn read_request(
    gateway: &Rc<Gateway>,
    codec: &mut Codec,
    receiver: &mut Receiver,
    sender: &mut Sender,
    limits: &RequestLimits,
) -> Result<CallerRequest, ReadEnd> {
    let reading = read_head(codec, receiver, limits.head_bytes);
    let head = actix_rt::time::timeout(limits.head_timeout, reading)
        .await
        .map_err(|_| ReadEnd::Refuse(Refusal::head_timeout(NotRun::before_any_attempt())))??;
    let received = Instant::now();
    let mut memory = gateway.memory.reservation(BufferKind::Bodies);
    let body = match codec.message_type() {
        MessageType::None if head.headers.contains_key("content-length") => Some(Bytes::new()),
        MessageType::None => None,
        MessageType::Payload | MessageType::Stream => {
            forward::refuse_before_body(gateway, &head).map_err(ReadEnd::Refuse)?;
            send_continue(&head.headers, sender).await?;
            let read = read_body(codec, receiver, limits.body_bytes, &mut memory).await;
            Some(read.inspect_err(|end| note_body_refused(gateway, &head, end))?)
        }
    };
    Ok(CallerRequest {
        head,
        body,
        received,
        caller: None,
        memory,
    })
}

async fn wait_for_first_byte(
    gateway: &Rc<Gateway>,
    receiver: &mut Receiver,
    idle_timeout: Duration,
) -> Result<(), ReadEnd> {
    if !receiver.buffer.is_empty() {
        return Ok(());
    }
    // Idle connections hold no buffer.
    receiver.buffer = BytesMut::new();
    let closing = async {
        gateway.until_closing().await;
        actix_rt::time::sleep(CLOSE_DELAY).await;
    };
    let received = tokio::select! {
        biased;
        received = actix_rt::time::timeout(idle_timeout, receiver.fill()) => received,
        () = closing => return Err(ReadEnd::Closed),
    };
    match received {
        Ok(Ok(count)) if count > 0 => Ok(()),
        _ => Err(ReadEnd::Closed),
    }
}

async fn read_head(
    codec: &mut Codec,
    receiver: &mut Receiver,
    max_bytes: usize,
) -> Result<RequestHead, ReadEnd> {
    loop {
        let before = receiver.buffer.len();
        match codec.decode(&mut receiver.buffer) {
            Ok(Some(Message::Item(request))) => {
                if before - receiver.buffer.len() > max_bytes {
                    return Err(head_too_large());
                }
                return Ok(request.head().clone());
            }
            Ok(Some(Message::Chunk(_))) => continue,
            Ok(None) if receiver.buffer.len() > max_bytes => return Err(head_too_large()),
            Ok(None) => {}
            Err(_) => {
                let reason = "the request is not valid HTTP";
                let refusal = Refusal::error(ErrorStatus::BadRequest, reason);
                return Err(ReadEnd::Refuse(refusal));
            }
        }
        match receiver.fill().await {
            Ok(count) if count > 0 => {}
            _ => return Err(ReadEnd::Closed),
        }
    }
}

fn head_too_large() -> ReadEnd {
    let reason = "the head of the request is too large";
    ReadEnd::Refuse(Refusal::error(ErrorStatus::HeadTooLarge, reason))
}

async fn send_continue(headers: &HeaderMap, sender: &mut Sender) -> Result<(), ReadEnd> {
    if !headers.contains_key(EXPECT) {
        return Ok(());
    }
    sender
        .buffer
        .extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
    sender.flush().await.map_err(|_| ReadEnd::Closed)
}

async fn read_body(
    codec: &mut Codec,
    receiver: &mut Receiver,
    max_bytes: usize,
    memory: &mut MemoryReservation,
) -> Result<Bytes, ReadEnd> {
    let mut body = BytesMut::new();
    loop {
        match codec.decode(&mut receiver.buffer) {
            Ok(Some(Message::Chunk(Some(chunk)))) => {
                if body.len() + chunk.len() > max_bytes {
                    let reason = "the body of the request is too large";
                    let refusal = Refusal::error(ErrorStatus::BodyTooLarge, reason);
                    return Err(ReadEnd::Refuse(refusal));
                }
                if !memory.try_grow_body(chunk.len()) {
                    let reason = "no memory for the body of the request now";
                    let refusal = Refusal::not_run(NotRun::before_any_attempt(), reason);
                    return Err(ReadEnd::Refuse(refusal));
                }
                body.extend_from_slice(&chunk);
            }
            Ok(Some(Message::Chunk(None))) => return Ok(body.freeze()),
            Ok(Some(Message::Item(_))) | Err(_) => {
                let reason = "the body of the request is not valid";
                let refusal = Refusal::error(ErrorStatus::BadRequest, reason);
                return Err(ReadEnd::Refuse(refusal));
            }
            Ok(None) => match actix_rt::time::timeout(BODY_TIMEOUT, receiver.fill()).await {
                Ok(Ok(count)) if count > 0 => {}
                _ => return Err(ReadEnd::Closed),
            },
        }
    }
}

/// Counts and logs a request refused because there is no memory for its body.
fn note_body_refused(gateway: &Gateway, head: &RequestHead, end: &ReadEnd) {
    let ReadEnd::Refuse(refusal) = end else {
        return;
    };
    if !refusal.guarantees_not_run() {
        return;
    }
    gateway.metrics.note_refusal(refusal);
    let attributes = gateway.platform.call_attributes(&head.headers);
    log::info!(
        request = attributes.request_id.as_deref().unwrap_or_default(),
        held = gateway.memory.held(), pressure:? = gateway.memory.pressure();
        "{}", refusal.reason()
    );
}

/// Discards what the caller still sends: closing a socket with unread data would reset the
/// connection and could lose the response.
async fn discard_input(receiver: &mut Receiver) {
    let discarding = async {
        loop {
            receiver.buffer.clear();
            match receiver.fill().await {
                Ok(count) if count > 0 => {}
                _ => return,
            }
        }
    };
    // Whether the caller closed first or the time is over makes no difference.
    let _ = actix_rt::time::timeout(LINGER_TIMEOUT, discarding).await;
}
