//! `POST /v1/chat/completions`, compatible with clients of OpenAI's API.

use std::collections::VecDeque;
use std::time::Duration;

use actix_http::header::{CONTENT_TYPE, HeaderMap};
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use elderworks_types::{
    CallNumber, CallRequest, Message, ModelRequest, ResourceName, RunId, TenantId, Timestamp,
};
use futures_util::{Stream, stream};

use super::call_request::{CallDraft, CallEvent, OpenCall, read_context, submit};
use super::calls::DEFAULT_MAX_OUTPUT_TOKENS;
use super::chat_wire::{ChatBody, Completion};
use super::error::ApiError;
use super::runs::{RunDraft, from_now, start_run};
use super::{ApiResult, App, auth, body, sse};
use crate::driver::now;

/// Header with the id of the run that the call belongs to.
const RUN_HEADER: &str = "x-elderworks-run";
/// Header with the program to run if no run is given.
const PROGRAM_HEADER: &str = "x-elderworks-run-program";
/// Header with the number of the call within its run.
const CALL_HEADER: &str = "x-elderworks-call";
/// Header with the time until the call's deadline, in milliseconds.
const TIMEOUT_HEADER: &str = "x-elderworks-timeout-ms";
/// Header with the time until the prompt prefix is expected to be reused, in milliseconds.
const EXPECTED_REUSE_HEADER: &str = "x-elderworks-expected-reuse-ms";
/// Header with the key that identifies repetitions of the request.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// The last event of every stream.
const DONE_EVENT: &str = "[DONE]";

/// The request headers that control the call.
struct ChatHeaders {
    run: Option<RunId>,
    program: Option<String>,
    number: Option<CallNumber>,
    deadline: Option<Timestamp>,
    expected_reuse: Option<Duration>,
    idempotency_key: Option<String>,
}

impl ChatHeaders {
    fn read(headers: &HeaderMap) -> Result<Self, ApiError> {
        // A malformed run id is reported like an unknown run.
        let run = body::header(headers, RUN_HEADER).map_err(|_| ApiError::run_not_found())?;
        let deadline: Option<u64> = body::header(headers, TIMEOUT_HEADER)?;
        let reuse: Option<u64> = body::header(headers, EXPECTED_REUSE_HEADER)?;
        Ok(Self {
            run,
            program: body::header(headers, PROGRAM_HEADER)?,
            number: body::header(headers, CALL_HEADER)?.map(CallNumber),
            deadline: deadline.map(from_now),
            expected_reuse: reuse.map(Duration::from_millis),
            idempotency_key: body::header(headers, IDEMPOTENCY_KEY_HEADER)?,
        })
    }
}

/// Handles a chat completion request.
pub async fn complete(app: App, mut request: Request) -> ApiResult {
    let tenant = auth::tenant(&app.settings, &request.head().headers)?;
    let headers = ChatHeaders::read(&request.head().headers)?;
    let limit = app.settings.limits.max_body_bytes;
    let body: ChatBody = body::json(&mut request, limit).await?;
    check(&body)?;
    let target = resolve_run(&app, &tenant, &headers).await?;
    let form = ResponseForm::of(&body);
    let model = body.model.clone();
    let draft = draft(&app, &tenant, &target, headers, body).await?;
    let call = submit(&app, &tenant, target.run, draft)
        .await
        .inspect_err(|_| end_ephemeral_run(&app, &tenant, &target))?;
    let completion = Completion {
        run: call.run,
        number: call.number,
        model,
        created: now().since(Timestamp::default()).as_secs(),
    };
    let chat = Chat {
        app,
        tenant,
        target,
        completion,
        call,
    };
    match form {
        ResponseForm::Streamed { with_usage } => chat.streamed_response(with_usage),
        ResponseForm::Whole => chat.whole_response().await,
    }
}

/// The requested form of the response.
enum ResponseForm {
    /// The full answer in one body.
    Whole,
    /// A stream of chunks, with the token usage at the end if requested.
    Streamed { with_usage: bool },
}

impl ResponseForm {
    fn of(body: &ChatBody) -> Self {
        if !body.stream {
            return ResponseForm::Whole;
        }
        let options = body.stream_options.as_ref();
        let with_usage = options.is_some_and(|options| options.include_usage);
        ResponseForm::Streamed { with_usage }
    }
}

fn check(body: &ChatBody) -> Result<(), ApiError> {
    if body.n.is_some_and(|n| n != 1) {
        return Err(ApiError::invalid("`n`: only 1 is supported"));
    }
    if body.tools.as_ref().is_some_and(|tools| !tools.is_empty()) {
        let message = "`tools`: not supported; call tools by POST /v1/runs/{id}/calls instead";
        return Err(ApiError::invalid(message));
    }
    if body.messages.is_empty() {
        return Err(ApiError::invalid("`messages`: at least one is required"));
    }
    Ok(())
}

/// The run that the call belongs to.
struct RunTarget {
    run: RunId,
    /// Whether the run was started for this call only and ends with it.
    is_ephemeral: bool,
}

async fn resolve_run(
    app: &App,
    tenant: &TenantId,
    headers: &ChatHeaders,
) -> Result<RunTarget, ApiError> {
    if let Some(run) = headers.run {
        return Ok(RunTarget {
            run,
            is_ephemeral: false,
        });
    }
    let program = headers
        .program
        .as_deref()
        .or(app.settings.default_program.as_deref())
        .ok_or_else(|| {
            ApiError::invalid(format!(
                "header {RUN_HEADER} or {PROGRAM_HEADER} is required"
            ))
        })?;
    let draft = RunDraft {
        program: ResourceName::new(program),
        budget: None,
        deadline: headers.deadline,
        parent: None,
    };
    Ok(RunTarget {
        run: start_run(app, tenant, draft).await?,
        is_ephemeral: true,
    })
}

async fn draft(
    app: &App,
    tenant: &TenantId,
    target: &RunTarget,
    headers: ChatHeaders,
    body: ChatBody,
) -> Result<CallDraft, ApiError> {
    let mut messages: Vec<Message> = body.messages.into_iter().map(Message::from).collect();
    let mut number = headers.number;
    let mut deadline = headers.deadline;
    let mut prefix_len = 0;
    if !target.is_ephemeral {
        let key = headers.idempotency_key.as_deref();
        let context = read_context(app, tenant, target.run, number, key).await?;
        number = context.number(number);
        deadline = context.deadline(deadline);
        let shared = common_prefix(&context.history, &messages);
        let original_prefix = context.original_prefix().map(|prefix| prefix as usize);
        prefix_len = original_prefix.unwrap_or(shared).min(shared);
    }
    messages.drain(..prefix_len);
    let max_output = body.max_completion_tokens.or(body.max_tokens);
    Ok(CallDraft {
        number,
        request: CallRequest::Model(ModelRequest {
            model: body.model,
            history_prefix: prefix_len as u32,
            messages,
            max_output: max_output.unwrap_or(DEFAULT_MAX_OUTPUT_TOKENS),
        }),
        repeatable: true,
        idempotency_key: headers.idempotency_key,
        deadline,
        expected_reuse: headers.expected_reuse,
    })
}

/// Returns the number of leading messages that both have in common.
fn common_prefix(history: &[Message], messages: &[Message]) -> usize {
    history
        .iter()
        .zip(messages)
        .take_while(|(known, given)| known == given)
        .count()
}

/// A completion in progress.
struct Chat {
    app: App,
    tenant: TenantId,
    target: RunTarget,
    completion: Completion,
    call: OpenCall,
}

impl Chat {
    async fn whole_response(self) -> ApiResult {
        let result = self.call.into_answer().await;
        end_ephemeral_run(&self.app, &self.tenant, &self.target);
        let body = self.completion.full_response(&result?);
        let mut builder = Response::build(StatusCode::OK);
        builder.insert_header((CONTENT_TYPE, "application/json"));
        for (name, value) in response_headers(&self.completion) {
            builder.insert_header((name, value));
        }
        Ok(builder.body(body).map_into_boxed_body())
    }

    fn streamed_response(self, with_usage: bool) -> ApiResult {
        if let Some(error) = self.call.immediate_error() {
            end_ephemeral_run(&self.app, &self.tenant, &self.target);
            return Err(error);
        }
        let headers = response_headers(&self.completion);
        let role_chunk = sse::data(&self.completion.role_chunk());
        let stream = ChatStream {
            chat: self,
            pending: VecDeque::from([role_chunk]),
            with_usage,
            is_finished: false,
        };
        Ok(sse::response(&headers, stream.events()))
    }
}

fn response_headers(completion: &Completion) -> Vec<(&'static str, String)> {
    vec![
        (RUN_HEADER, completion.run.to_string()),
        (CALL_HEADER, completion.number.to_string()),
    ]
}

/// Ends a run that was started for this call only, in the background. If that fails, the run ends
/// when it reaches the limits of its program.
fn end_ephemeral_run(app: &App, tenant: &TenantId, target: &RunTarget) {
    if !target.is_ephemeral {
        return;
    }
    let (app, tenant, run) = (app.clone(), tenant.clone(), target.run);
    actix_rt::spawn(async move {
        app.known_runs.remove(run);
        let _ = app.core.end_run(tenant, run).await;
    });
}

/// The state of a streamed completion.
struct ChatStream {
    chat: Chat,
    pending: VecDeque<Bytes>,
    with_usage: bool,
    is_finished: bool,
}

impl ChatStream {
    fn events(self) -> impl Stream<Item = Bytes> {
        stream::unfold(self, |mut stream| async move {
            let event = stream.next().await?;
            Some((event, stream))
        })
    }

    async fn next(&mut self) -> Option<Bytes> {
        if let Some(event) = self.pending.pop_front() {
            return Some(event);
        }
        if self.is_finished {
            return None;
        }
        match self.chat.call.next().await {
            CallEvent::Chunk(text) => return Some(sse::data(&self.chat.completion.delta(&text))),
            CallEvent::Restarted => self.finish_with_error(&ApiError::answer_restarted()),
            CallEvent::Ended(result) => match result {
                Ok(answer) => {
                    self.pending
                        .push_back(sse::data(&self.chat.completion.final_chunk()));
                    if self.with_usage {
                        let usage = self.chat.completion.usage_chunk(&answer);
                        self.pending.push_back(sse::data(&usage));
                    }
                    self.finish();
                }
                Err(error) => self.finish_with_error(&error),
            },
        }
        self.pending.pop_front()
    }

    fn finish_with_error(&mut self, error: &ApiError) {
        self.pending.push_back(sse::data(&error.body()));
        self.finish();
    }

    fn finish(&mut self) {
        self.pending.push_back(sse::data(DONE_EVENT));
        self.is_finished = true;
        end_ephemeral_run(&self.chat.app, &self.chat.tenant, &self.chat.target);
    }
}
