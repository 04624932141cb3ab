//! The engine's HTTP interface.
//!
//! `POST /v1/restart` restarts the engine with an empty cache, for tests.

use std::sync::Arc;
use std::time::Duration;

use actix_http::{Method, StatusCode};
use elderworks_engine_model::{CommandError, Rejected, Request, RequestId, Work};
use elderworks_platform_api::engine::{
    CacheEvent, CacheEventsQuery, CacheEventsResponse, CancelResponse, ChatRequest,
    CommandResponse, EngineLoad, EngineState, FencedCommand, HoldingsResponse, ImportResponse,
    KvExport, MAX_CACHE_EVENTS, MAX_LEASE_MS, ReleaseResponse, ResumeQuery, RetentionRequest,
};
use elderworks_platform_api::{ErrorCode, headers};
use elderworks_types::{RunId, Tokens};

use super::EngineFaults;
use super::answer::AnswerReader;
use super::convert::{fenced_action, wire_change, wire_holding, wire_role};
use super::state::EngineService;
use crate::clock::{now, sleep_until};
use crate::http::{ErrorResponse, HandlerResult, Incoming, Reply};
use crate::server::Application;
use crate::shared::Shared;

/// Limit on the output tokens of a request that sets none.
const DEFAULT_MAX_TOKENS: Tokens = Tokens(1_024);

/// Maximum length of a request id.
const MAX_REQUEST_ID_BYTES: usize = 256;

/// `Retry-After` of a request refused by a full or leaving engine.
const RETRY_AFTER: Duration = Duration::from_secs(1);

pub(super) struct EngineApplication {
    service: Arc<Shared<EngineService>>,
}

enum Resource<'a> {
    ChatCompletions,
    Stream(&'a str),
    Load,
    CacheEvents,
    Runs,
    Run(RunId),
    Retention(RunId),
    Export(RunId),
    Import(RunId),
    Commands,
    State,
    Faults,
    Restart,
}

fn resource<'a>(path: &[&'a str]) -> Option<Resource<'a>> {
    let run = |id: &str| id.parse::<RunId>().ok();
    let resource = match path {
        ["v1", "chat", "completions"] => Resource::ChatCompletions,
        ["v1", "streams", id] if !id.is_empty() => Resource::Stream(id),
        ["v1", "load"] => Resource::Load,
        ["v1", "cache", "events"] => Resource::CacheEvents,
        ["v1", "runs"] => Resource::Runs,
        ["v1", "runs", id] => Resource::Run(run(id)?),
        ["v1", "runs", id, "retention"] => Resource::Retention(run(id)?),
        ["v1", "runs", id, "export"] => Resource::Export(run(id)?),
        ["v1", "runs", id, "import"] => Resource::Import(run(id)?),
        ["v1", "commands"] => Resource::Commands,
        ["v1", "state"] => Resource::State,
        ["v1", "faults"] => Resource::Faults,
        ["v1", "restart"] => Resource::Restart,
        _ => return None,
    };
    Some(resource)
}

impl Application for EngineApplication {
    async fn respond(&self, request: Incoming) -> HandlerResult {
        let path = request.path();
        let resource = resource(&path).ok_or_else(ErrorResponse::not_found)?;
        let is_control = matches!(resource, Resource::Faults | Resource::Restart);
        if !is_control && self.service.lock().faults.down {
            return Ok(Reply::Disconnect);
        }
        match (resource, &request.method) {
            (Resource::ChatCompletions, &Method::POST) => self.chat(&request).await,
            (Resource::Stream(id), &Method::GET) => self.resume(id, &request),
            (Resource::Stream(id), &Method::DELETE) => Ok(self.cancel(id)),
            (Resource::Load, &Method::GET) => Ok(self.load()),
            (Resource::CacheEvents, &Method::GET) => self.cache_events(&request),
            (Resource::Runs, &Method::GET) => Ok(self.holdings()),
            (Resource::Run(run), &Method::DELETE) => Ok(self.release(run)),
            (Resource::Retention(run), &Method::PUT) => self.retain(run, &request),
            (Resource::Export(run), &Method::POST) => Ok(self.export(run)),
            (Resource::Import(run), &Method::POST) => self.import(run, &request).await,
            (Resource::Commands, &Method::POST) => self.command(&request),
            (Resource::State, &Method::GET) => Ok(self.state()),
            (Resource::Faults, &Method::GET) => Ok(Reply::json(&self.service.lock().faults)),
            (Resource::Faults, &Method::PUT) => self.set_faults(&request),
            (Resource::Restart, &Method::POST) => Ok(self.restart()),
            _ => Err(ErrorResponse::method_not_allowed()),
        }
    }
}

impl EngineApplication {
    pub(super) fn new(service: Arc<Shared<EngineService>>) -> Self {
        Self { service }
    }

    async fn chat(&self, request: &Incoming) -> HandlerResult {
        let id = request_id(request)?;
        let run = run_id(request)?;
        let chat: ChatRequest = request.json()?;
        let stream = chat.stream;
        let reader = self.submit(id, run, chat)?;
        if stream {
            return Ok(Reply::event_stream(reader.into_events()));
        }
        match reader.into_completion().await {
            Some(completion) => Ok(Reply::json(&completion)),
            None => Err(ErrorResponse::failed("the request was cancelled")),
        }
    }

    fn submit(
        &self,
        id: RequestId,
        run: RunId,
        chat: ChatRequest,
    ) -> Result<AnswerReader, ErrorResponse> {
        if chat.messages.is_empty() {
            return Err(ErrorResponse::invalid("the request has no messages"));
        }
        let request = Request {
            id: id.clone(),
            run,
            model: chat.model,
            work: Work::from_messages(&chat.messages, chat.continue_text),
            max_output: chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            priority: chat.priority,
            first_chunk: chat.first_chunk,
        };
        let first_chunk = request.first_chunk;
        let submitted = self.service.update(|state| state.submit(now(), request));
        submitted.map_err(rejection_response)?;
        AnswerReader::new(&self.service, id, first_chunk)
            .ok_or_else(|| ErrorResponse::failed("the request was cancelled"))
    }

    fn resume(&self, id: &str, request: &Incoming) -> HandlerResult {
        let query: ResumeQuery = request.query()?;
        let reader = AnswerReader::new(&self.service, RequestId::new(id), query.from);
        let reader = reader.ok_or_else(ErrorResponse::not_found)?;
        Ok(Reply::event_stream(reader.into_events()))
    }

    fn cancel(&self, id: &str) -> Reply {
        let id = RequestId::new(id);
        let cancelled = self.service.update(|state| state.cancel(now(), &id));
        Reply::json(&CancelResponse { cancelled })
    }

    fn load(&self) -> Reply {
        let now = now();
        let mut state = self.service.lock();
        let blocks_total = state.settings.parameters.cache_blocks as u32;
        let Some(report) = state.engine().load_report(now) else {
            return Reply::json(&EngineLoad {
                blocks_total,
                ..EngineLoad::default()
            });
        };
        Reply::json(&EngineLoad {
            age_ms: now.since(report.measured).as_millis() as u64,
            running: report.running,
            waiting: report.waiting,
            waiting_prefill_tokens: report.waiting_prefill.0,
            blocks_used: report.blocks_used,
            blocks_total,
        })
    }

    fn cache_events(&self, request: &Incoming) -> HandlerResult {
        let query: CacheEventsQuery = request.query()?;
        let mut state = self.service.lock();
        let published = state
            .engine()
            .cache_events(now(), query.after, MAX_CACHE_EVENTS);
        let events = published.into_iter().map(|event| CacheEvent {
            sequence: event.sequence,
            change: wire_change(event.change),
        });
        Ok(Reply::json(&CacheEventsResponse {
            instance: state.instance,
            events: events.collect(),
        }))
    }

    fn holdings(&self) -> Reply {
        let now = now();
        let held = self.service.lock().engine().holdings();
        let runs = held.into_iter().map(|held| wire_holding(now, held));
        Reply::json(&HoldingsResponse {
            runs: runs.collect(),
        })
    }

    fn retain(&self, run: RunId, request: &Incoming) -> HandlerResult {
        let body: RetentionRequest = request.json()?;
        let lease = Duration::from_millis(body.lease_ms.min(MAX_LEASE_MS));
        let now = now();
        let held = self.service.update(|state| state.retain(now, run, lease));
        Ok(Reply::json(&wire_holding(now, held)))
    }

    fn release(&self, run: RunId) -> Reply {
        let blocks = self.service.update(|state| state.release(now(), run));
        Reply::json(&ReleaseResponse { run, blocks })
    }

    fn export(&self, run: RunId) -> Reply {
        let exported = self.service.lock().export(run);
        Reply::json(&KvExport {
            blocks: exported.blocks,
        })
    }

    async fn import(&self, run: RunId, request: &Incoming) -> HandlerResult {
        let body: KvExport = request.json()?;
        let blocks = body.blocks.len() as u32;
        let done = self
            .service
            .update(|state| state.import(now(), run, body.blocks));
        sleep_until(done).await;
        Ok(Reply::json(&ImportResponse { blocks }))
    }

    fn command(&self, request: &Incoming) -> HandlerResult {
        let body: FencedCommand = request.json()?;
        let action = fenced_action(body.command);
        let outcome = self
            .service
            .update(|state| state.command(now(), body.fence, action));
        match outcome {
            Ok(()) => Ok(Reply::json(&CommandResponse { fence: body.fence })),
            Err(CommandError::Fenced { highest }) => Err(ErrorResponse::not_run(
                StatusCode::CONFLICT,
                ErrorCode::StaleFence,
                format!("fence {} is below {highest}", body.fence),
            )),
        }
    }

    fn state(&self) -> Reply {
        let mut state = self.service.lock();
        let role = wire_role(state.engine().role());
        Reply::json(&EngineState {
            engine: state.settings.id.clone(),
            state: state.serving_state(),
            role,
            models: state.engine().models(),
            fence: state.fence,
            now: now(),
        })
    }

    fn set_faults(&self, request: &Incoming) -> HandlerResult {
        let faults: EngineFaults = request.json()?;
        ::log::info!("engine faults: {faults:?}");
        self.service.update(|state| state.faults = faults.clone());
        Ok(Reply::json(&faults))
    }

    fn restart(&self) -> Reply {
        ::log::info!("engine restarted with an empty cache");
        self.service.update(|state| state.restart(now()));
        self.state()
    }
}

fn request_id(request: &Incoming) -> Result<RequestId, ErrorResponse> {
    let id = request.required_header(headers::REQUEST_ID)?;
    if id.len() > MAX_REQUEST_ID_BYTES {
        return Err(ErrorResponse::invalid("the request id is too long"));
    }
    Ok(RequestId::new(id))
}

fn run_id(request: &Incoming) -> Result<RunId, ErrorResponse> {
    let run = request.required_header(headers::RUN_ID)?;
    run.parse().map_err(ErrorResponse::invalid)
}

fn rejection_response(rejected: Rejected) -> ErrorResponse {
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    match rejected {
        Rejected::QueueFull => {
            ErrorResponse::not_run(unavailable, ErrorCode::QueueFull, "the queue is full")
                .retry_after(RETRY_AFTER)
        }
        Rejected::NotServing => ErrorResponse::not_run(
            unavailable,
            ErrorCode::Leaving,
            "the engine accepts no new requests",
        )
        .retry_after(RETRY_AFTER),
        Rejected::ModelNotLoaded => ErrorResponse::not_run(
            StatusCode::NOT_FOUND,
            ErrorCode::ModelNotLoaded,
            "the model is not loaded",
        ),
        Rejected::TooLong => ErrorResponse::not_run(
            StatusCode::BAD_REQUEST,
            ErrorCode::TooLong,
            "the prompt and the answer do not fit into the cache",
        ),
        Rejected::Duplicate => ErrorResponse::outcome_unknown(
            StatusCode::CONFLICT,
            ErrorCode::RequestIdInUse,
            "the request id is already in use; resume its stream",
        ),
    }
}
