//! The admin HTTP listener, which serves health checks, metrics and the operators' interface.

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};

use actix_http::{HttpService, Method, Request, Response, StatusCode, body::BoxBody};
use actix_server::{Server, ServerHandle};
use tokio::sync::{oneshot, watch};

use crate::driver::NodeStatus;
use crate::input::{Input, InputSender};
use crate::operator::{OperatorContext, respond};

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 1_024;

/// Path prefix of the operators' interface.
const OPERATOR_PREFIX: &str = "/apis";

/// State shared by the request handlers.
#[derive(Clone)]
pub(crate) struct Admin {
    pub(crate) operator: OperatorContext,
    pub(crate) inputs: InputSender,
    pub(crate) status: watch::Receiver<NodeStatus>,
}

/// Starts serving on a bound socket, until the returned handle stops the server.
pub(crate) fn serve(listener: TcpListener, admin: Admin) -> std::io::Result<ServerHandle> {
    let server = Server::build()
        .workers(1)
        .max_concurrent_connections(MAX_CONNECTIONS)
        .disable_signals()
        .shutdown_timeout(1)
        .listen("admin", listener, move || {
            let admin = admin.clone();
            HttpService::build()
                .finish(move |request| answer(admin.clone(), request))
                .tcp()
        })?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

/// Returns the address to which a socket is bound.
pub(crate) fn bound_address(listener: &TcpListener) -> std::io::Result<SocketAddr> {
    listener.local_addr()
}

async fn answer(admin: Admin, request: Request) -> Result<Response<BoxBody>, Infallible> {
    let path = request.path().to_owned();
    let response = match (request.method(), path.as_str()) {
        (&Method::GET, "/healthz") => text(StatusCode::OK, "ok\n".to_owned()),
        (&Method::GET, "/readyz") => admin.readiness(),
        (&Method::GET, "/metrics") => admin.metrics().await,
        (_, path) if path.starts_with(OPERATOR_PREFIX) => respond(&admin.operator, request).await,
        _ => text(StatusCode::NOT_FOUND, "not found\n".to_owned()),
    };
    Ok(response)
}

impl Admin {
    fn readiness(&self) -> Response<BoxBody> {
        match self.status.borrow().ready {
            true => text(StatusCode::OK, "ready\n".to_owned()),
            false => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        }
    }

    async fn metrics(&self) -> Response<BoxBody> {
        let (reply, answer) = oneshot::channel();
        let sent = self.inputs.send(Input::Metrics { reply }).await;
        match (sent, answer.await) {
            (Ok(()), Ok(snapshot)) => text(StatusCode::OK, snapshot.encode()),
            _ => text(StatusCode::SERVICE_UNAVAILABLE, "stopped\n".to_owned()),
        }
    }
}

fn text(status: StatusCode, body: String) -> Response<BoxBody> {
    Response::build(status)
        .insert_header(("content-type", "text/plain; charset=utf-8"))
        .body(body)
        .map_into_boxed_body()
}
