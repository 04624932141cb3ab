//! The HTTP server under every stand-in.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Extensions, HttpService, Method, Request, Response, StatusCode};
use actix_rt::net::TcpStream;
use actix_rt::time::timeout;
use actix_server::Server;
use bytes::{Bytes, BytesMut};
use elderworks_platform_api::{ErrorCode, MAX_BODY_BYTES, paths};
use futures_util::StreamExt;
use socket2::{SockRef, Socket};

use crate::http::{Handled, Incoming, Refusal, Reply};

/// Worker threads of one server; models are small and behind a lock.
const WORKERS: usize = 1;

/// How long an idle connection is kept. Longer than clients keep theirs, so that a client does not
/// send on a connection that is just being closed.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Longest time to receive a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Most connections at once.
const MAX_CONNECTIONS: usize = 8_192;

/// What a stand-in does with requests.
pub(crate) trait Application: Send + Sync + 'static {
    /// Answers one request. Dropped where the client goes away before the answer.
    fn respond(&self, request: Incoming) -> impl Future<Output = Handled>;
}

/// A running server. It runs on when this is dropped.
#[derive(Clone, Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    handle: actix_server::ServerHandle,
}

impl ServerHandle {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Base URL for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Stops it; open requests are cut off.
    pub async fn stop(&self) {
        self.handle.stop(false).await;
    }
}

/// Binds an address for a server.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address)
}

/// Serves an application; must be called within an actix runtime.
pub(crate) fn serve<A: Application>(
    name: &str,
    listener: TcpListener,
    application: Arc<A>,
) -> io::Result<ServerHandle> {
    let address = listener.local_addr()?;
    let service = move || {
        let application = application.clone();
        HttpService::build()
            .keep_alive(KEEP_ALIVE)
            .tcp_nodelay(true)
            // A client that goes away ends its request.
            .h1_allow_half_closed(false)
            .on_connect_ext(remember_connection)
            .finish(move |request: Request| handle(application.clone(), request))
            .tcp()
    };
    let server = Server::build()
        .workers(WORKERS)
        .max_concurrent_connections(MAX_CONNECTIONS)
        .disable_signals()
        .listen(name, listener, service)?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(ServerHandle { address, handle })
}

/// A second handle on a connection, by which it can be closed without an answer.
struct Connection(Socket);

fn remember_connection(stream: &TcpStream, extensions: &mut Extensions) {
    if let Ok(socket) = SockRef::from(stream).try_clone() {
        extensions.insert(Connection(socket));
    }
}

async fn handle<A: Application>(
    application: Arc<A>,
    mut request: Request,
) -> Result<Response<BoxBody>, actix_http::Error> {
    let handled = match read_request(&mut request).await {
        Ok(incoming) if incoming.path() == ["healthz"] => healthz(&incoming),
        Ok(incoming) => application.respond(incoming).await,
        Err(refusal) => Err(refusal),
    };
    match handled {
        Ok(Reply::Answer(response)) => Ok(response),
        Err(refusal) => Ok(refusal.into_response()),
        Ok(Reply::Disconnect) => disconnect(&request).await,
    }
}

fn healthz(incoming: &Incoming) -> Handled {
    if incoming.method != Method::GET {
        return Err(Refusal::method_not_allowed());
    }
    let response = Response::build(StatusCode::OK).body("ok\n");
    Ok(Reply::Answer(response.map_into_boxed_body()))
}

async fn disconnect<T>(request: &Request) -> T {
    if let Some(Connection(socket)) = request.conn_data::<Connection>() {
        // Fails only where the client has closed the connection already.
        let _ = socket.shutdown(std::net::Shutdown::Both);
    }
    // The server drops this future together with the connection.
    std::future::pending().await
}

async fn read_request(request: &mut Request) -> Result<Incoming, Refusal> {
    let segments = paths::segments(request.path());
    let segments = segments.ok_or_else(|| Refusal::invalid("the path is not UTF-8"))?;
    let body = timeout(BODY_TIMEOUT, read_body(request)).await;
    let body = body.map_err(|_| Refusal::invalid("the body did not come in time"))?;
    Ok(Incoming {
        method: request.method().clone(),
        segments,
        query: request.uri().query().unwrap_or_default().to_owned(),
        headers: request.head().headers.clone(),
        body: body?,
    })
}

async fn read_body(request: &mut Request) -> Result<Bytes, Refusal> {
    let mut body = BytesMut::new();
    while let Some(received) = request.payload().next().await {
        let received = received.map_err(Refusal::invalid)?;
        if body.len() + received.len() > MAX_BODY_BYTES {
            return Err(Refusal::not_run(
                StatusCode::PAYLOAD_TOO_LARGE,
                ErrorCode::BodyTooLarge,
                format!("the body is larger than {MAX_BODY_BYTES} bytes"),
            ));
        }
        body.extend_from_slice(&received);
    }
    Ok(body.freeze())
}
