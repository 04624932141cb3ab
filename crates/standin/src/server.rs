//! The HTTP server shared by all stand-ins.

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

use crate::http::{ErrorResponse, HandlerResult, Incoming, Reply};

/// Worker threads per server; one is enough because all requests lock the same model.
const WORKERS: usize = 1;

/// Time that an idle connection is kept open. Exceeds the clients' own keep-alive time, so that a
/// client does not send on a connection that the server is closing.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Maximum time to receive a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 8_192;

/// Request handler of a stand-in.
pub(crate) trait Application: Send + Sync + 'static {
    /// Handles one request. The future is dropped if the client disconnects before the response.
    fn respond(&self, request: Incoming) -> impl Future<Output = HandlerResult>;
}

/// Handle to a running server. Dropping the handle does not stop the server.
#[derive(Clone, Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    handle: actix_server::ServerHandle,
}

impl ServerHandle {
    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Stops the server and aborts open requests.
    pub async fn stop(&self) {
        self.handle.stop(false).await;
    }
}

/// Binds a listener to an address.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address)
}

/// Serves an application. Must be called within an actix runtime.
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
            // A request is aborted when its client disconnects.
            .h1_allow_half_closed(false)
            .on_connect_ext(store_connection)
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

/// A duplicate of a connection's socket, used to close it without a response.
struct Connection(Socket);

fn store_connection(stream: &TcpStream, extensions: &mut Extensions) {
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
        Err(error) => Err(error),
    };
    match handled {
        Ok(Reply::Response(response)) => Ok(response),
        Err(error) => Ok(error.into_response()),
        Ok(Reply::Disconnect) => disconnect(&request).await,
    }
}

fn healthz(incoming: &Incoming) -> HandlerResult {
    if incoming.method != Method::GET {
        return Err(ErrorResponse::method_not_allowed());
    }
    let response = Response::build(StatusCode::OK).body("ok\n");
    Ok(Reply::Response(response.map_into_boxed_body()))
}

async fn disconnect<T>(request: &Request) -> T {
    if let Some(Connection(socket)) = request.conn_data::<Connection>() {
        // Fails only if the client has already closed the connection.
        let _ = socket.shutdown(std::net::Shutdown::Both);
    }
    // The server drops this future together with the connection.
    std::future::pending().await
}

async fn read_request(request: &mut Request) -> Result<Incoming, ErrorResponse> {
    let segments = paths::segments(request.path());
    let segments = segments.ok_or_else(|| ErrorResponse::invalid("the path is not UTF-8"))?;
    let body = timeout(BODY_TIMEOUT, read_body(request)).await;
    let body =
        body.map_err(|_| ErrorResponse::invalid("the request body was not received in time"))?;
    Ok(Incoming {
        method: request.method().clone(),
        segments,
        query: request.uri().query().unwrap_or_default().to_owned(),
        headers: request.head().headers.clone(),
        body: body?,
    })
}

async fn read_body(request: &mut Request) -> Result<Bytes, ErrorResponse> {
    let mut body = BytesMut::new();
    while let Some(received) = request.payload().next().await {
        let received = received.map_err(ErrorResponse::invalid)?;
        if body.len() + received.len() > MAX_BODY_BYTES {
            return Err(ErrorResponse::not_run(
                StatusCode::PAYLOAD_TOO_LARGE,
                ErrorCode::BodyTooLarge,
                format!("the body is larger than {MAX_BODY_BYTES} bytes"),
            ));
        }
        body.extend_from_slice(&received);
    }
    Ok(body.freeze())
}
