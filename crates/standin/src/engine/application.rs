//! The engine's HTTP interface. `POST /v1/restart` starts the engine again with an empty memory,
//! for tests.

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
use super::convert::{fenced_action, published_change, published_holding, published_role};
use super::state::EngineService;
use crate::clock::{now, sleep_until};
use crate::http::{Handled, Incoming, Refusal, Reply};
use crate::server::Application;
use crate::shared::Shared;

/// Most tokens of an answer where the request does not say.
const DEFAULT_MAX_TOKENS: Tokens = Tokens(1_024);

/// Longest request id, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 256;

/// When an engine that refused a request may take it.
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
    async fn respond(&self, request: Incoming) -> Handled {
        let path = request.path();
        let resource = resource(&path).ok_or_else(Refusal::not_found)?;
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
            _ => Err(Refusal::method_not_allowed()),
        }
    }
}

impl EngineApplication {
    pub(super) fn new(service: Arc<Shared<EngineService>>) -> Self {
        Self { service }
    }

    async fn chat(&self, request: &Incoming) -> Handled {
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
            None => Err(Refusal::failed("the request was cancelled")),
        }
    }

    fn submit(
        &self,
        id: RequestId,
        run: RunId,
        chat: ChatRequest,
    ) -> Result<AnswerReader, Refusal> {
        if chat.messages.is_empty() {
            return Err(Refusal::invalid("a request without messages"));
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
        submitted.map_err(rejection)?;
        AnswerReader::new(&self.service, id, first_chunk)
            .ok_or_else(|| Refusal::failed("the request was cancelled"))
    }

    fn resume(&self, id: &str, request: &Incoming) -> Handled {
        let query: ResumeQuery = request.query()?;
        let reader = AnswerReader::new(&self.service, RequestId::new(id), query.from);
        let reader = reader.ok_or_else(Refusal::not_found)?;
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

    fn cache_events(&self, request: &Incoming) -> Handled {
        let query: CacheEventsQuery = request.query()?;
        let mut state = self.service.lock();
        let published = state
            .engine()
            .cache_events(now(), query.after, MAX_CACHE_EVENTS);
        let events = published.into_iter().map(|event| CacheEvent {
            sequence: event.sequence,
            change: published_change(event.change),
        });
        Ok(Reply::json(&CacheEventsResponse {
            instance: state.instance,
            events: events.collect(),
        }))
    }

    fn holdings(&self) -> Reply {
        let now = now();
        let held = self.service.lock().engine().holdings();
        let runs = held.into_iter().map(|held| published_holding(now, held));
        Reply::json(&HoldingsResponse {
            runs: runs.collect(),
        })
    }

    fn retain(&self, run: RunId, request: &Incoming) -> Handled {
        let body: RetentionRequest = request.json()?;
        let lease = Duration::from_millis(body.lease_ms.min(MAX_LEASE_MS));
        let now = now();
        let held = self.service.update(|state| state.retain(now, run, lease));
        Ok(Reply::json(&published_holding(now, held)))
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

    async fn import(&self, run: RunId, request: &Incoming) -> Handled {
        let body: KvExport = request.json()?;
        let blocks = body.blocks.len() as u32;
        let done = self
            .service
            .update(|state| state.import(now(), run, body.blocks));
        sleep_until(done).await;
        Ok(Reply::json(&ImportResponse { blocks }))
    }

    fn command(&self, request: &Incoming) -> Handled {
        let body: FencedCommand = request.json()?;
        let action = fenced_action(body.command);
        let outcome = self
            .service
            .update(|state| state.command(now(), body.fence, action));
        match outcome {
            Ok(()) => Ok(Reply::json(&CommandResponse { fence: body.fence })),
            Err(CommandError::Fenced { highest }) => Err(Refusal::not_run(
                StatusCode::CONFLICT,
                ErrorCode::StaleFence,
                format!("fence {} is below {highest}", body.fence),
            )),
        }
    }

    fn state(&self) -> Reply {
        let mut state = self.service.lock();
        let role = published_role(state.engine().role());
        Reply::json(&EngineState {
            engine: state.settings.id.clone(),
            state: state.serving_state(),
            role,
            models: state.engine().models(),
            fence: state.fence,
            now: now(),
        })
    }

    fn set_faults(&self, request: &Incoming) -> Handled {
        let faults: EngineFaults = request.json()?;
        ::log::info!("engine faults: {faults:?}");
        self.service.update(|state| state.faults = faults.clone());
        Ok(Reply::json(&faults))
    }

    fn restart(&self) -> Reply {
        ::log::info!("engine restarted with an empty memory");
        self.service.update(|state| state.restart(now()));
        self.state()
    }
}

fn request_id(request: &Incoming) -> Result<RequestId, Refusal> {
    let id = request.required_header(headers::REQUEST_ID)?;
    if id.len() > MAX_REQUEST_ID_BYTES {
        return Err(Refusal::invalid("the request id is too long"));
    }
    Ok(RequestId::new(id))
}

fn run_id(request: &Incoming) -> Result<RunId, Refusal> {
    let run = request.required_header(headers::RUN_ID)?;
    run.parse().map_err(Refusal::invalid)
}

fn rejection(rejected: Rejected) -> Refusal {
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    match rejected {
        Rejected::QueueFull => {
            Refusal::not_run(unavailable, ErrorCode::QueueFull, "the queue is full")
                .retry_after(RETRY_AFTER)
        }
        Rejected::NotServing => Refusal::not_run(
            unavailable,
            ErrorCode::Leaving,
            "the engine takes no new work",
        )
        .retry_after(RETRY_AFTER),
        Rejected::ModelNotLoaded => Refusal::not_run(
            StatusCode::NOT_FOUND,
            ErrorCode::ModelNotLoaded,
            "the model is not loaded",
        ),
        Rejected::TooLong => Refusal::not_run(
            StatusCode::BAD_REQUEST,
            ErrorCode::TooLong,
            "prompt and answer do not fit into memory",
        ),
        Rejected::Duplicate => Refusal::unclaimed(
            StatusCode::CONFLICT,
            ErrorCode::RequestIdInUse,
            "a request of this id is known; resume it by its stream",
        ),
    }
}
