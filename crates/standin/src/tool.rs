//! Tool service stand-in. `GET /v1/invocations` lists all executions, for tests.

use std::collections::BTreeSet;
use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use actix_http::{Method, StatusCode};
use elderworks_platform_api::tool::{InvocationResponse, MAX_KEY_BYTES};
use elderworks_platform_api::{ErrorCode, headers};
use elderworks_platform_model::{
    Execution, ExecutionId, ExecutionOutcome, Invocation, ToolFaults, ToolModel, ToolSettings,
};
use elderworks_types::ToolName;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::clock::{now, sleep_until};
use crate::http::{ErrorResponse, HandlerResult, Incoming, Reply};
use crate::server::{self, Application, ServerHandle};
use crate::shared::Shared;

/// `Retry-After` of a rejected invocation.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum number of executions in one response.
const MAX_LISTED_EXECUTIONS: usize = 10_000;

/// Tool name of requests without a tool header.
const DEFAULT_TOOL: &str = "tool";

/// Settings of a tool service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ToolServiceSettings {
    /// Tools that may be invoked; all if empty.
    pub tools: BTreeSet<ToolName>,
    /// Behaviour of the tools.
    pub behaviour: ToolSettings,
    /// Seed of the random choice of responses to lose.
    pub seed: u64,
}

/// Query parameters of `GET /v1/invocations`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ExecutionsQuery {
    /// Id of the last execution that the reader has seen.
    #[serde(default)]
    pub after: u64,
}

/// Response to `GET /v1/invocations`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExecutionsResponse {
    /// Executions in start order.
    pub executions: Vec<Execution>,
}

/// Serves tools without earlier executions. Must be called within an actix runtime.
///
/// # Errors
///
/// Returns an error if the server cannot be started on `listener`.
pub fn serve(listener: TcpListener, settings: ToolServiceSettings) -> io::Result<ServerHandle> {
    let state = ToolState {
        model: ToolModel::new(settings.behaviour),
        rng: ChaCha8Rng::seed_from_u64(settings.seed),
    };
    let application = ToolApplication {
        tools: settings.tools,
        state: Shared::new(state),
    };
    server::serve("tool", listener, Arc::new(application))
}

struct ToolState {
    model: ToolModel,
    rng: ChaCha8Rng,
}

struct ToolApplication {
    tools: BTreeSet<ToolName>,
    state: Shared<ToolState>,
}

enum Resource<'a> {
    Invocations,
    Invocation(&'a str),
    Faults,
}

fn resource<'a>(path: &[&'a str]) -> Option<Resource<'a>> {
    match path {
        ["v1", "invocations"] => Some(Resource::Invocations),
        ["v1", "invocations", key] if !key.is_empty() => Some(Resource::Invocation(key)),
        ["v1", "faults"] => Some(Resource::Faults),
        _ => None,
    }
}

impl Application for ToolApplication {
    async fn respond(&self, request: Incoming) -> HandlerResult {
        let path = request.path();
        let resource = resource(&path).ok_or_else(ErrorResponse::not_found)?;
        match (resource, &request.method) {
            (Resource::Invocations, &Method::POST) => self.invoke(&request).await,
            (Resource::Invocations, &Method::GET) => self.executions(&request),
            (Resource::Invocation(key), &Method::GET) => Ok(self.status(key)),
            (Resource::Faults, &Method::GET) => Ok(Reply::json(&self.state.lock().model.faults)),
            (Resource::Faults, &Method::PUT) => self.set_faults(&request),
            _ => Err(ErrorResponse::method_not_allowed()),
        }
    }
}

impl ToolApplication {
    async fn invoke(&self, request: &Incoming) -> HandlerResult {
        let key = idempotency_key(request)?;
        let tool = self.tool(request)?;
        let arguments: Value = request.json()?;
        let (invocation, answer_lost) = self.start_invocation(&tool, key, arguments);
        let Some(id) = invocation.execution() else {
            return not_run_reply(invocation);
        };
        let outcome = self.wait_for_outcome(id).await;
        if answer_lost {
            return Ok(Reply::Disconnect);
        }
        match outcome {
            ExecutionOutcome::Completed(result) => Ok(Reply::json(&InvocationResponse {
                result,
                repeated: matches!(invocation, Invocation::Existing(_)),
            })),
            ExecutionOutcome::Failed(message) => Err(ErrorResponse::failed(message)),
        }
    }

    /// Starts the invocation and returns whether its response is lost. The execution completes even
    /// if the client disconnects.
    fn start_invocation(&self, tool: &ToolName, key: &str, arguments: Value) -> (Invocation, bool) {
        let mut guard = self.state.lock();
        let state = &mut *guard;
        let invocation = state.model.invoke(now(), tool, key, arguments);
        let runs = invocation.execution().is_some();
        let answer_lost = runs && state.model.loses_answer(&mut state.rng);
        (invocation, answer_lost)
    }

    /// Waits until an execution completes; never returns if it hangs.
    async fn wait_for_outcome(&self, id: ExecutionId) -> ExecutionOutcome {
        loop {
            let due = {
                let mut state = self.state.lock();
                if let Some(outcome) = state.model.poll(now(), id) {
                    return outcome.clone();
                }
                state.model.due(id)
            };
            match due {
                Some(due) => sleep_until(due).await,
                None => std::future::pending().await,
            }
        }
    }

    fn status(&self, key: &str) -> Reply {
        let mut state = self.state.lock();
        if state.model.faults.down {
            return Reply::Disconnect;
        }
        Reply::json(&state.model.status(now(), key))
    }

    fn executions(&self, request: &Incoming) -> HandlerResult {
        let query: ExecutionsQuery = request.query()?;
        let state = self.state.lock();
        let executions = state
            .model
            .executions()
            .filter(|execution| execution.id.0 > query.after)
            .take(MAX_LISTED_EXECUTIONS)
            .cloned()
            .collect();
        Ok(Reply::json(&ExecutionsResponse { executions }))
    }

    fn tool(&self, request: &Incoming) -> Result<ToolName, ErrorResponse> {
        let tool = ToolName::new(request.header(headers::TOOL).unwrap_or(DEFAULT_TOOL));
        if self.tools.is_empty() || self.tools.contains(&tool) {
            return Ok(tool);
        }
        Err(ErrorResponse::not_found())
    }

    fn set_faults(&self, request: &Incoming) -> HandlerResult {
        let faults: ToolFaults = request.json()?;
        ::log::info!("tool faults: {faults:?}");
        self.state.lock().model.faults = faults.clone();
        Ok(Reply::json(&faults))
    }
}

fn idempotency_key(request: &Incoming) -> Result<&str, ErrorResponse> {
    let key = request.required_header(headers::IDEMPOTENCY_KEY)?;
    if key.len() > MAX_KEY_BYTES {
        return Err(ErrorResponse::invalid("the idempotency key is too long"));
    }
    Ok(key)
}

fn not_run_reply(invocation: Invocation) -> HandlerResult {
    if invocation == Invocation::Down {
        return Ok(Reply::Disconnect);
    }
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let error = ErrorResponse::not_run(status, ErrorCode::QueueFull, "too many invocations");
    Err(error.retry_after(RETRY_AFTER))
}
