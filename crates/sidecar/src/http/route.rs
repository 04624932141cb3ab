//! Mapping of methods and paths to routes.

use actix_http::{Method, StatusCode};
use elderworks_types::RunId;

use super::error::ApiError;

/// The routes of the callers' API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// `GET /metrics`.
    Metrics,
    /// `GET /healthz`.
    Healthz,
    /// `GET /readyz`.
    Readyz,
    /// `POST /v1/chat/completions`.
    ChatCompletions,
    /// `POST /v1/runs`.
    StartRun,
    /// `GET /v1/runs/{id}`.
    ReadRun(RunId),
    /// `DELETE /v1/runs/{id}`.
    EndRun(RunId),
    /// `GET /v1/runs/{id}/history`.
    History(RunId),
    /// `GET /v1/runs/{id}/watch`.
    Watch(RunId),
    /// `POST /v1/runs/{id}/calls`.
    Call(RunId),
}

impl Route {
    /// Finds the route of a request.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such route or the method is not allowed. A malformed run id
    /// is reported like an unknown run.
    pub fn resolve(method: &Method, path: &str) -> Result<Self, ApiError> {
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        match segments.as_slice() {
            ["metrics"] => require_method(method, Method::GET, Route::Metrics),
            ["healthz"] => require_method(method, Method::GET, Route::Healthz),
            ["readyz"] => require_method(method, Method::GET, Route::Readyz),
            ["v1", "chat", "completions"] => {
                require_method(method, Method::POST, Route::ChatCompletions)
            }
            ["v1", "runs"] => require_method(method, Method::POST, Route::StartRun),
            ["v1", "runs", id] if *method == Method::DELETE => Ok(Route::EndRun(parse_run_id(id)?)),
            ["v1", "runs", id] => {
                require_method(method, Method::GET, Route::ReadRun(parse_run_id(id)?))
            }
            ["v1", "runs", id, "calls"] => {
                require_method(method, Method::POST, Route::Call(parse_run_id(id)?))
            }
            ["v1", "runs", id, "history"] => {
                require_method(method, Method::GET, Route::History(parse_run_id(id)?))
            }
            ["v1", "runs", id, "watch"] => {
                require_method(method, Method::GET, Route::Watch(parse_run_id(id)?))
            }
            _ => {
                let message = format!("no resource at {path}");
                Err(ApiError::request(
                    StatusCode::NOT_FOUND,
                    "not_found",
                    message,
                ))
            }
        }
    }

    /// Returns the route's name for metric labels.
    pub fn name(&self) -> &'static str {
        match self {
            Route::Metrics => "metrics",
            Route::Healthz => "healthz",
            Route::Readyz => "readyz",
            Route::ChatCompletions => "chat_completions",
            Route::StartRun => "start_run",
            Route::ReadRun(_) => "read_run",
            Route::EndRun(_) => "end_run",
            Route::History(_) => "history",
            Route::Watch(_) => "watch",
            Route::Call(_) => "call",
        }
    }
}

fn require_method(method: &Method, allowed: Method, route: Route) -> Result<Route, ApiError> {
    if *method == allowed {
        return Ok(route);
    }
    let message = format!("only {allowed} is allowed for this resource");
    let status = StatusCode::METHOD_NOT_ALLOWED;
    Err(ApiError::request(status, "method_not_allowed", message))
}

fn parse_run_id(id: &str) -> Result<RunId, ApiError> {
    id.parse().map_err(|_| ApiError::run_not_found())
}
