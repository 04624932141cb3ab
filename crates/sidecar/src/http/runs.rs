//! Handlers of the run resource: start, read, history and end.

use std::time::Duration;

use actix_http::{Request, StatusCode};
use elderworks_protocol::sidecar::RunView;
use elderworks_types::{CallNumber, Credits, ResourceName, RunId, RunSpec, TenantId, Timestamp};

use super::call_request::check_run;
use super::error::ApiError;
use super::{ApiResult, App, auth, body, json};
use crate::driver::now;
use crate::wire::{EndedRun, StartRunBody, StartedRun, WireHistory, WireRun};

/// Budget of a run that is limited only by its program's budget.
const UNLIMITED_BUDGET: Credits = Credits(u64::MAX);

/// Parameters of a new run.
pub struct RunDraft {
    /// Name of the program.
    pub program: ResourceName,
    /// Maximum credits; `None` for the limit of the program.
    pub budget: Option<Credits>,
    /// Time by which the run should be complete.
    pub deadline: Option<Timestamp>,
    /// The run that spawns this one.
    pub parent: Option<RunId>,
}

/// Handles `POST /v1/runs`.
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

/// Starts a run and adds it to the cache of known runs.
///
/// # Errors
///
/// Returns an error if the parent does not exist, the run is refused or no node answered.
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

/// Returns a random id other than zero, which is reserved.
fn random_id() -> u64 {
    rand::random::<u64>().max(1)
}

/// Returns the time `milliseconds` from now.
pub fn from_now(milliseconds: u64) -> Timestamp {
    now() + Duration::from_millis(milliseconds)
}

/// Handles `GET /v1/runs/{id}`.
pub async fn read(app: App, request: Request, run: RunId) -> ApiResult {
    let tenant = auth::tenant(&app.settings, &request.head().headers)?;
    let view = view(&app, &tenant, run).await?;
    Ok(json(StatusCode::OK, &WireRun::from(&*view)))
}

/// Handles `GET /v1/runs/{id}/history`.
pub async fn history(app: App, request: Request, run: RunId) -> ApiResult {
    let tenant = auth::tenant(&app.settings, &request.head().headers)?;
    let messages = view(&app, &tenant, run).await?.history;
    Ok(json(StatusCode::OK, &WireHistory { messages }))
}

/// Reads a run.
///
/// # Errors
///
/// Returns an error if the run does not exist for the tenant or no node answered.
pub async fn view(app: &App, tenant: &TenantId, run: RunId) -> Result<Box<RunView>, ApiError> {
    let view = app.core.read_run(tenant.clone(), run).await?;
    view.ok_or_else(ApiError::run_not_found)
}

/// Handles `DELETE /v1/runs/{id}`.
pub async fn end(app: App, request: Request, run: RunId) -> ApiResult {
    let tenant = auth::tenant(&app.settings, &request.head().headers)?;
    check_run(&app, &tenant, run).await?;
    let phase = app.core.end_run(tenant, run).await?;
    app.known_runs.remove(run);
    Ok(json(StatusCode::OK, &EndedRun { id: run, phase }))
}
