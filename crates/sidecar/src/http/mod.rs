//! The HTTP API for callers.

mod auth;
mod body;
mod call_request;
mod calls;
mod chat;
mod chat_wire;
pub(crate) mod error;
mod route;
mod runs;
mod sse;
mod watch;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::CONTENT_TYPE;
use actix_http::{HttpService, Request, Response, StatusCode};
use actix_server::GracefulShutdownSignal;
use actix_service::ServiceFactory;
use elderworks_settings::SidecarProcessSettings;
use serde::Serialize;
use tokio::net::TcpStream;

use crate::core_client::CoreClient;
use crate::known_runs::KnownRuns;
use crate::metrics::Metrics;
use error::ApiError;
use route::Route;

/// Maximum time for a client to send the head of a request.
const CLIENT_REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// State shared by all request handlers; cheap to clone.
#[derive(Clone)]
pub struct App {
    /// Handle to the state machine.
    pub core: CoreClient,
    /// Cache of the runs' tenants and call numbers.
    pub known_runs: Arc<KnownRuns>,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Settings of the process.
    pub settings: Arc<SidecarProcessSettings>,
}

/// The result of a request handler.
pub type ApiResult = Result<Response<BoxBody>, ApiError>;

/// Returns the HTTP service for accepted connections.
pub fn http_service(
    app: App,
    stop: GracefulShutdownSignal,
) -> impl ServiceFactory<
    TcpStream,
    Config = (),
    Response = (),
    Error = actix_http::error::DispatchError,
    InitError = (),
> {
    HttpService::build()
        .client_request_timeout(CLIENT_REQUEST_TIMEOUT)
        .graceful_shutdown_signal(move || {
            let stop = stop.clone();
            async move { stop.notified().await }
        })
        .finish(move |request: Request| {
            let app = app.clone();
            async move { Ok::<_, Infallible>(respond(app, request).await) }
        })
        .tcp()
}

async fn respond(app: App, request: Request) -> Response<BoxBody> {
    let route = Route::resolve(request.method(), request.path());
    let name = route.as_ref().map_or("unknown", Route::name);
    let metrics = app.metrics.clone();
    let result = match route {
        Ok(route) => handle(app, route, request).await,
        Err(error) => Err(error),
    };
    let response = result.unwrap_or_else(ApiError::into_response);
    metrics.count_response(name, response.status().as_u16());
    response
}

async fn handle(app: App, route: Route, request: Request) -> ApiResult {
    match route {
        Route::Metrics => Ok(text(StatusCode::OK, app.metrics.render())),
        Route::Healthz => Ok(text(StatusCode::OK, "ok\n".to_owned())),
        Route::Readyz => Ok(readiness(&app)),
        Route::ChatCompletions => chat::complete(app, request).await,
        Route::StartRun => runs::start(app, request).await,
        Route::ReadRun(run) => runs::read(app, request, run).await,
        Route::EndRun(run) => runs::end(app, request, run).await,
        Route::History(run) => runs::history(app, request, run).await,
        Route::Watch(run) => watch::watch(app, request, run).await,
        Route::Call(run) => calls::create(app, request, run).await,
    }
}

fn readiness(app: &App) -> Response<BoxBody> {
    if app.metrics.is_ready() {
        text(StatusCode::OK, "ready\n".to_owned())
    } else {
        text(
            StatusCode::SERVICE_UNAVAILABLE,
            "no node connected\n".to_owned(),
        )
    }
}

fn text(status: StatusCode, body: String) -> Response<BoxBody> {
    Response::build(status)
        .insert_header((CONTENT_TYPE, "text/plain; charset=utf-8"))
        .body(body)
        .map_into_boxed_body()
}

/// Builds a JSON response.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<BoxBody> {
    let body = serde_json::to_vec(value).expect("responses are plain data");
    Response::build(status)
        .insert_header((CONTENT_TYPE, "application/json"))
        .body(body)
        .map_into_boxed_body()
}
