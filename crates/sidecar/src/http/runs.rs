//! The run resource: start, read, history, end.

use std::time::Duration;

use actix_http::{Request, StatusCode};
use elderworks_protocol::sidecar::RunView;
use elderworks_types::{CallNumber, Credits, ResourceName, RunId, RunSpec, TenantId, Timestamp};

use super::call_request::check_run;
use super::error::ApiError;
use super::{ApiResult, App, auth, body, json};
use crate::driver::now;
use crate::wire::{EndedRun, StartRunBody, StartedRun, WireHistory, WireRun};

/// Stands for "as much as the program allows".
const UNLIMITED_BUDGET: Credits = Credits(u64::MAX);

/// What a run is started with.
pub struct RunDraft {
    /// The program.
    pub program: ResourceName,
    /// Most credits; `None` for all that the program allows.
    pub budget: Option<Credits>,
    /// When it should be done.
    pub deadline: Option<Timestamp>,
    /// The run that spawns it.
    pub parent: Option<RunId>,
}

/// `POST /v1/runs`.
pub async fn start(app: App, mut request: Request) -> ApiResult {
    let tenant = auth::tenant(&app.settings, &request.head().headers)?;
    let limit = app.settings.limits.max_body_bytes;
    let body: StartRunBody = body::json(&mut request, limit).await?;
    let draft = RunDraft {
        program: body.program,
        budget: body.budget,
        deadline: body.deadline_ms.map(from_now),
        parent: body.parent,
    };
    let id = start_run(&app, &tenant, draft).await?;
    Ok(json(StatusCode::CREATED, &StartedRun { id }))
}

/// Starts a run and notes that it is the tenant's.
pub async fn start_run(app: &App, tenant: &TenantId, draft: RunDraft) -> Result<RunId, ApiError> {
    let id = match draft.parent {
        Some(parent) => {
            check_run(app, tenant, parent).await?;
            parent.child(random_id())
        }
        None => RunId::root(random_id()),
    };
    let spec = RunSpec {
        id,
        tenant: tenant.clone(),
        program: draft.program,
        parent: draft.parent,
        budget: draft.budget.unwrap_or(UNLIMITED_BUDGET),
        deadline: draft.deadline,
    };
    let run = app.core.start_run(spec).await?;
    app.known_runs.record(run, tenant, CallNumber(1));
    Ok(run)
}

/// Zero names no run and no sub-agent.
fn random_id() -> u64 {
    rand::random::<u64>().max(1)
}

/// The time `milliseconds` from now.
pub fn from_now(milliseconds: u64) -> Timestamp {
    now() + Duration::from_millis(milliseconds)
}

/// `GET /v1/runs/{id}`.
pub async fn read(app: App, request: Request, run: RunId) -> ApiResult {
    let tenant = auth::tenant(&app.settings, &request.head().headers)?;
    let view = view(&app, &tenant, run).await?;
    Ok(json(StatusCode::OK, &WireRun::from(&*view)))
}

/// `GET /v1/runs/{id}/history`.
pub async fn history(app: App, request: Request, run: RunId) -> ApiResult {
    let tenant = auth::tenant(&app.settings, &request.head().headers)?;
    let messages = view(&app, &tenant, run).await?.history;
    Ok(json(StatusCode::OK, &WireHistory { messages }))
}

/// Reads a run, or says that it does not exist.
pub async fn view(app: &App, tenant: &TenantId, run: RunId) -> Result<Box<RunView>, ApiError> {
    let view = app.core.read_run(tenant.clone(), run).await?;
    view.ok_or_else(ApiError::run_not_found)
}

/// `DELETE /v1/runs/{id}`.
pub async fn end(app: App, request: Request, run: RunId) -> ApiResult {
    let tenant = auth::tenant(&app.settings, &request.head().headers)?;
    check_run(&app, &tenant, run).await?;
    let phase = app.core.end_run(tenant, run).await?;
    app.known_runs.remove(run);
    Ok(json(StatusCode::OK, &EndedRun { id: run, phase }))
}
