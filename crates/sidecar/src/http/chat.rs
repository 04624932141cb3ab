//! `POST /v1/chat/completions`: an existing client works by changing its base URL.

use std::collections::VecDeque;
use std::time::Duration;

use actix_http::header::{CONTENT_TYPE, HeaderMap};
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use elderworks_types::{
    CallNumber, CallRequest, Message, ModelRequest, ResourceName, RunId, TenantId, Timestamp,
};
use futures_util::{Stream, stream};

use super::call_request::{CallDraft, OpenCall, Step, read_context, submit};
use super::calls::DEFAULT_MAX_OUTPUT;
use super::chat_wire::{ChatBody, Completion};
use super::error::ApiError;
use super::runs::{RunDraft, from_now, start_run};
use super::{ApiResult, App, auth, body, sse};
use crate::driver::now;

/// Names the run that the call belongs to.
const RUN: &str = "x-elderworks-run";
/// Names the program of a call that belongs to no run.
const PROGRAM: &str = "x-elderworks-run-program";
/// Position of the call within its run.
const CALL: &str = "x-elderworks-call";
/// Milliseconds until the answer stops being useful.
const DEADLINE: &str = "x-elderworks-timeout-ms";
/// Milliseconds until the prefix is expected to be used again.
const EXPECTED_REUSE: &str = "x-elderworks-expected-reuse-ms";
/// Key under which a repeat of the request is recognised.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The last event of every stream.
const DONE: &str = "[DONE]";

/// What the request's headers say.
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
        // A run id that is none names no run, like any unknown one.
        let run = body::header(headers, RUN).map_err(|_| ApiError::run_not_found())?;
        let deadline: Option<u64> = body::header(headers, DEADLINE)?;
        let reuse: Option<u64> = body::header(headers, EXPECTED_REUSE)?;
        Ok(Self {
            run,
            program: body::header(headers, PROGRAM)?,
            number: body::header(headers, CALL)?.map(CallNumber),
            deadline: deadline.map(from_now),
            expected_reuse: reuse.map(Duration::from_millis),
            idempotency_key: body::header(headers, IDEMPOTENCY_KEY)?,
        })
    }
}

/// Makes one model call.
pub async fn complete(app: App, mut request: Request) -> ApiResult {
    let tenant = auth::tenant(&app.settings, &request.head().headers)?;
    let headers = ChatHeaders::read(&request.head().headers)?;
    let limit = app.settings.limits.max_body_bytes;
    let body: ChatBody = body::json(&mut request, limit).await?;
    check(&body)?;
    let place = place(&app, &tenant, &headers).await?;
    let form = ResponseForm::of(&body);
    let model = body.model.clone();
    let draft = draft(&app, &tenant, &place, headers, body).await?;
    let call = submit(&app, &tenant, place.run, draft)
        .await
        .inspect_err(|_| end_single(&app, &tenant, &place))?;
    let completion = Completion {
        run: call.run,
        number: call.number,
        model,
        created: now().since(Timestamp::default()).as_secs(),
    };
    let chat = Chat {
        app,
        tenant,
        place,
        completion,
        call,
    };
    match form {
        ResponseForm::Streamed { with_usage } => chat.streamed(with_usage),
        ResponseForm::Whole => chat.whole().await,
    }
}

/// How the caller wants the answer.
enum ResponseForm {
    /// As one body.
    Whole,
    /// Piece by piece, with the usage at the end if asked for.
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
        return Err(ApiError::invalid("`n`: only one answer is possible"));
    }
    if body.tools.as_ref().is_some_and(|tools| !tools.is_empty()) {
        let message = "`tools`: call tools by POST /v1/runs/{id}/calls instead";
        return Err(ApiError::invalid(message));
    }
    if body.messages.is_empty() {
        return Err(ApiError::invalid("`messages`: at least one is needed"));
    }
    Ok(())
}

/// Where the call belongs.
struct Place {
    run: RunId,
    /// Whether the run was started for this call alone and ends with it.
    is_single: bool,
}

async fn place(app: &App, tenant: &TenantId, headers: &ChatHeaders) -> Result<Place, ApiError> {
    if let Some(run) = headers.run {
        return Ok(Place {
            run,
            is_single: false,
        });
    }
    let program = headers
        .program
        .as_deref()
        .or(app.settings.default_program.as_deref())
        .ok_or_else(|| ApiError::invalid(format!("give {RUN} or {PROGRAM}")))?;
    let draft = RunDraft {
        program: ResourceName::new(program),
        budget: None,
        deadline: headers.deadline,
        parent: None,
    };
    Ok(Place {
        run: start_run(app, tenant, draft).await?,
        is_single: true,
    })
}

async fn draft(
    app: &App,
    tenant: &TenantId,
    place: &Place,
    headers: ChatHeaders,
    body: ChatBody,
) -> Result<CallDraft, ApiError> {
    let mut messages: Vec<Message> = body.messages.into_iter().map(Message::from).collect();
    let mut number = headers.number;
    let mut deadline = headers.deadline;
    let mut known = 0;
    if !place.is_single {
        let key = headers.idempotency_key.as_deref();
        let context = read_context(app, tenant, place.run, number, key).await?;
        number = context.number(number);
        deadline = context.deadline(deadline);
        let shared = common_prefix(&context.history, &messages);
        let earlier = context.earlier_prefix().map(|prefix| prefix as usize);
        known = earlier.unwrap_or(shared).min(shared);
    }
    messages.drain(..known);
    let max_output = body.max_completion_tokens.or(body.max_tokens);
    Ok(CallDraft {
        number,
        request: CallRequest::Model(ModelRequest {
            model: body.model,
            history_prefix: known as u32,
            messages,
            max_output: max_output.unwrap_or(DEFAULT_MAX_OUTPUT),
        }),
        repeatable: true,
        idempotency_key: headers.idempotency_key,
        deadline,
        expected_reuse: headers.expected_reuse,
    })
}

/// How many messages both begin with.
fn common_prefix(history: &[Message], messages: &[Message]) -> usize {
    history
        .iter()
        .zip(messages)
        .take_while(|(known, given)| known == given)
        .count()
}

/// A completion under way.
struct Chat {
    app: App,
    tenant: TenantId,
    place: Place,
    completion: Completion,
    call: OpenCall,
}

impl Chat {
    async fn whole(self) -> ApiResult {
        let result = self.call.whole().await;
        end_single(&self.app, &self.tenant, &self.place);
        let body = self.completion.whole(&result?);
        let mut builder = Response::build(StatusCode::OK);
        builder.insert_header((CONTENT_TYPE, "application/json"));
        for (name, value) in headers_of(&self.completion) {
            builder.insert_header((name, value));
        }
        Ok(builder.body(body).map_into_boxed_body())
    }

    fn streamed(self, with_usage: bool) -> ApiResult {
        if let Some(error) = self.call.error_at_once() {
            end_single(&self.app, &self.tenant, &self.place);
            return Err(error);
        }
        let headers = headers_of(&self.completion);
        let opening = sse::data(&self.completion.opening());
        let stream = ChatStream {
            chat: self,
            ready: VecDeque::from([opening]),
            with_usage,
            is_over: false,
        };
        Ok(sse::response(&headers, stream.events()))
    }
}

fn headers_of(completion: &Completion) -> Vec<(&'static str, String)> {
    vec![
        (RUN, completion.run.to_string()),
        (CALL, completion.number.to_string()),
    ]
}

/// Ends a run that was started for one call. The answer does not wait for it; should the end be
/// lost, the run ends by its program's limits.
fn end_single(app: &App, tenant: &TenantId, place: &Place) {
    if !place.is_single {
        return;
    }
    let (app, tenant, run) = (app.clone(), tenant.clone(), place.run);
    actix_rt::spawn(async move {
        app.known_runs.forget(run);
        let _ = app.core.end_run(tenant, run).await;
    });
}

struct ChatStream {
    chat: Chat,
    ready: VecDeque<Bytes>,
    with_usage: bool,
    is_over: bool,
}

impl ChatStream {
    fn events(self) -> impl Stream<Item = Bytes> {
        stream::unfold(self, |mut stream| async move {
            let event = stream.next().await?;
            Some((event, stream))
        })
    }

    async fn next(&mut self) -> Option<Bytes> {
        if let Some(event) = self.ready.pop_front() {
            return Some(event);
        }
        if self.is_over {
            return None;
        }
        match self.chat.call.next().await {
            Step::Piece(text) => return Some(sse::data(&self.chat.completion.piece(&text))),
            Step::Restarted => self.end_with_error(&ApiError::answer_restarted()),
            Step::Ended(result) => match result {
                Ok(answer) => {
                    self.ready
                        .push_back(sse::data(&self.chat.completion.closing()));
                    if self.with_usage {
                        let usage = self.chat.completion.usage(&answer);
                        self.ready.push_back(sse::data(&usage));
                    }
                    self.end();
                }
                Err(error) => self.end_with_error(&error),
            },
        }
        self.ready.pop_front()
    }

    fn end_with_error(&mut self, error: &ApiError) {
        self.ready.push_back(sse::data(&error.body()));
        self.end();
    }

    fn end(&mut self) {
        self.ready.push_back(sse::data(DONE));
        self.is_over = true;
        end_single(&self.chat.app, &self.chat.tenant, &self.chat.place);
    }
}
