//! Requests to servers over connections that are kept for further requests.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::header::{HOST, HeaderValue};
use actix_http::{ConnectionType, RequestHead, RequestHeadType, ResponseHead, ServiceConfig};
use bytes::{Bytes, BytesMut};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::connect::ConnectError;
use crate::exchange::{Body, Connection, Exchange, ExchangeError};
use crate::response::ResponseError;

/// Time for which an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Interval at which connections idle for longer are closed.
const CLOSING_INTERVAL: Duration = Duration::from_secs(5);

/// The reason why no valid response head was received.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No connection was established.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The exchange on a connection failed.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
}

/// Sends requests. Clones share their connections.
#[derive(Clone)]
pub struct Client {
    shared: Rc<Shared>,
}

struct Shared {
    connect_timeout: Duration,
    /// One permit for each exchange that may be in progress.
    permits: Arc<Semaphore>,
    /// Created at the first request, because it needs a runtime.
    config: OnceCell<ServiceConfig>,
    idle: IdleConnections,
}

impl Client {
    /// Creates a client without open connections. Connecting fails after `connect_timeout`; further
    /// requests wait while `max_exchanges` are in progress, from sending to the end of the response.
    pub fn new(connect_timeout: Duration, max_exchanges: usize) -> Self {
        let shared = Shared {
            connect_timeout,
            permits: Arc::new(Semaphore::new(max_exchanges)),
            config: OnceCell::new(),
            idle: IdleConnections::new(),
        };
        Self {
            shared: Rc::new(shared),
        }
    }

    /// Returns whether another client is a clone of this one.
    pub fn shares_connections(&self, other: &Self) -> bool {
        Rc::ptr_eq(&self.shared, &other.shared)
    }

    /// Sends a request to a server and waits for the head of its response. Adds the `Host` header.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::Connect`] or [`ExchangeError::NotSent`] only if no byte of the request can
    /// have reached the server.
    pub async fn send(
        &self,
        server: SocketAddr,
        head: RequestHead,
        body: &Bytes,
    ) -> Result<Response, SendError> {
        let permit = self.permit().await;
        let connection = match self.shared.idle.take(server) {
            Some(connection) => connection,
            None => self.connect(server).await?,
        };
        let exchange = self.exchange(permit, connection, server, head, body);
        Ok(exchange.await?.kept_by(self.clone()))
    }

    /// Like [`Self::send`], on a new connection that is closed afterwards. A server may send more after
    /// an answer than belongs to it; on a connection of its own, a request gets no answer to another one.
    ///
    /// # Errors
    ///
    /// As [`Self::send`].
    pub async fn send_alone(
        &self,
        server: SocketAddr,
        mut head: RequestHead,
        body: &Bytes,
    ) -> Result<Response, SendError> {
        let permit = self.permit().await;
        let connection = self.connect(server).await?;
        head.set_connection_type(ConnectionType::Close);
        let exchange = self.exchange(permit, connection, server, head, body);
        Ok(exchange.await?)
    }

    /// Opens a connection to a server.
    ///
    /// # Errors
    ///
    /// Fails with the error of the socket, and with `TimedOut` after the time for connecting.
    pub async fn connect(&self, server: SocketAddr) -> Result<Connection, ConnectError> {
        Connection::open(server, self.shared.connect_timeout).await
    }

    /// Like [`Self::send`], on a connection to the server.
    ///
    /// # Errors
    ///
    /// Fails with [`ExchangeError::NotSent`] only if no byte of the request can have reached the server.
    pub async fn send_on(
        &self,
        connection: Connection,
        server: SocketAddr,
        head: RequestHead,
        body: &Bytes,
    ) -> Result<Response, ExchangeError> {
        let permit = self.permit().await;
        let exchange = self.exchange(permit, connection, server, head, body);
        Ok(exchange.await?.kept_by(self.clone()))
    }

    async fn permit(&self) -> OwnedSemaphorePermit {
        let permit = self.shared.permits.clone().acquire_owned().await;
        permit.expect("the semaphore is never closed")
    }

    async fn exchange(
        &self,
        permit: OwnedSemaphorePermit,
        connection: Connection,
        server: SocketAddr,
        mut head: RequestHead,
        body: &Bytes,
    ) -> Result<Response, ExchangeError> {
        let host = HeaderValue::from_str(&server.to_string()).expect("an address is a valid value");
        head.headers.insert(HOST, host);
        let head = RequestHeadType::Owned(head);
        let config = self.shared.config.get_or_init(ServiceConfig::default);
        let mut exchange = Exchange::new(connection, config, head, Some(body))?;
        let decoded = exchange.next_head().await?;
        let (head, body) = exchange.into_body(decoded);
        Ok(Response {
            head,
            body: Some(body),
            server,
            keeper: None,
            _permit: permit,
        })
    }
}

/// A response whose body is received in parts.
pub struct Response {
    /// Status and headers.
    pub head: ResponseHead,
    /// `None` after the end of the body.
    body: Option<Body>,
    server: SocketAddr,
    /// The client that keeps the connection after the body, if it is kept.
    keeper: Option<Client>,
    _permit: OwnedSemaphorePermit,
}

impl Response {
    /// Keeps the connection after the body.
    fn kept_by(self, client: Client) -> Self {
        Self {
            keeper: Some(client),
            ..self
        }
    }

    /// Returns the next part of the body; `None` once it is whole. Cancel safe.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed, or if its connection ends before it.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, ResponseError> {
        let Some(body) = &mut self.body else {
            return Ok(None);
        };
        let chunk = body.next_chunk().await?;
        if chunk.is_none()
            && let Some(body) = self.body.take()
            && let Some(client) = &self.keeper
            && let Some(connection) = body.into_connection()
        {
            client.shared.idle.put(self.server, connection);
        }
        Ok(chunk)
    }

    /// Returns the whole body of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Fails if the body is larger or malformed, or if its connection ends before it.
    pub async fn whole_body(&mut self, max_bytes: usize) -> Result<Bytes, ResponseError> {
        let remaining = self.body.as_ref().and_then(Body::remaining);
        if remaining.is_some_and(|bytes| bytes > max_bytes as u64) {
            return Err(ResponseError::TooLarge(max_bytes));
        }
        let mut whole = BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            if whole.len() + chunk.len() > max_bytes {
                return Err(ResponseError::TooLarge(max_bytes));
            }
            whole.extend_from_slice(&chunk);
        }
        Ok(whole.freeze())
    }
}

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

impl IdleConnection {
    fn is_usable(&mut self) -> bool {
        self.idle_since.elapsed() < IDLE_TIMEOUT && self.connection.receiver.is_idle()
    }
}

/// Idle connections by server.
struct IdleConnections {
    by_server: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    closed_old: Cell<Instant>,
}

impl IdleConnections {
    fn new() -> Self {
        Self {
            by_server: RefCell::default(),
            closed_old: Cell::new(Instant::now()),
        }
    }

    /// Takes the most recently used connection that is still open.
    fn take(&self, server: SocketAddr) -> Option<Connection> {
        let mut by_server = self.by_server.borrow_mut();
        let connections = by_server.get_mut(&server)?;
        while let Some(mut candidate) = connections.pop() {
            if candidate.is_usable() {
                return Some(candidate.connection);
            }
        }
        None
    }

    fn put(&self, server: SocketAddr, connection: Connection) {
        let idle = IdleConnection {
            connection,
            idle_since: Instant::now(),
        };
        let mut by_server = self.by_server.borrow_mut();
        by_server.entry(server).or_default().push(idle);
        drop(by_server);
        self.close_old();
    }

    fn close_old(&self) {
        if self.closed_old.get().elapsed() < CLOSING_INTERVAL {
            return;
        }
        self.closed_old.set(Instant::now());
        self.by_server.borrow_mut().retain(|_, connections| {
            connections.retain_mut(IdleConnection::is_usable);
            !connections.is_empty()
        });
    }
}
