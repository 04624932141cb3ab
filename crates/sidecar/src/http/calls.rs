//! `POST /v1/runs/{id}/calls`.

use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use elderworks_types::{CallRequest, Message, ModelRequest, RunId, TenantId, Tokens, ToolRequest};
use futures_util::{Stream, stream};

use super::call_request::{
    CallDraft, CallEvent, OpenCall, RunContext, check_run, read_context, submit,
};
use super::error::ApiError;
use super::{ApiResult, App, auth, body, json, runs, sse};
use crate::wire::{AnswerChunk, CallBody, CompletedCall, ModelBody, ToolBody};

/// Maximum number of generated tokens if the caller sets no limit.
pub const DEFAULT_MAX_OUTPUT_TOKENS: Tokens = Tokens(1024);

/// Handles `POST /v1/runs/{id}/calls`: makes a call and responds with the full answer or a stream.
pub async fn create(app: App, mut request: Request, run: RunId) -> ApiResult {
    let tenant = auth::tenant(&app.settings, &request.head().headers)?;
    let limit = app.settings.limits.max_body_bytes;
    let body: CallBody = body::json(&mut request, limit).await?;
    check_run(&app, &tenant, run).await?;
    let is_streamed = body.stream;
    let draft = draft(&app, &tenant, run, body).await?;
    let call = submit(&app, &tenant, run, draft).await?;
    if is_streamed {
        streamed_response(call)
    } else {
        whole_response(call).await
    }
}

async fn draft(
    app: &App,
    tenant: &TenantId,
    run: RunId,
    body: CallBody,
) -> Result<CallDraft, ApiError> {
    let key = body.idempotency_key.as_deref();
    let is_possible_repeat = key.is_some() || (body.number.is_some() && body.deadline_ms.is_some());
    let needs_context = is_possible_repeat || body.model.is_some();
    let context = match needs_context {
        true => Some(read_context(app, tenant, run, body.number, key).await?),
        false => None,
    };
    let deadline = body.deadline_ms.map(runs::from_now);
    let (number, deadline) = match &context {
        Some(context) => (context.number(body.number), context.deadline(deadline)),
        None => (body.number, deadline),
    };
    let (request, is_repeatable) = match (body.model, body.tool) {
        (Some(model), None) => (model_request(model, context.as_ref()), true),
        (None, Some(tool)) => (tool_request(tool), false),
        _ => return Err(ApiError::invalid("give exactly one of `model` and `tool`")),
    };
    Ok(CallDraft {
        number,
        request,
        repeatable: body.repeatable.unwrap_or(is_repeatable),
        idempotency_key: body.idempotency_key,
        deadline,
        expected_reuse: body.expected_reuse_ms.map(Duration::from_millis),
    })
}

/// Builds the model request. By default, the prompt starts with the whole current history, or with
/// the prefix that the repeated call used.
fn model_request(body: ModelBody, context: Option<&RunContext>) -> CallRequest {
    let current = context.map_or(0, |context| context.history.len() as u32);
    let original = context.and_then(RunContext::original_prefix);
    CallRequest::Model(ModelRequest {
        model: body.name,
        history_prefix: body.history_prefix.or(original).unwrap_or(current),
        messages: body.messages.into_iter().map(Message::from).collect(),
        max_output: body.max_output.unwrap_or(DEFAULT_MAX_OUTPUT_TOKENS),
    })
}

fn tool_request(body: ToolBody) -> CallRequest {
    CallRequest::Tool(ToolRequest {
        tool: body.name,
        arguments: body.arguments.to_string(),
    })
}

async fn whole_response(call: OpenCall) -> ApiResult {
    let (run, number) = (call.run, call.number);
    let answer = call.into_answer().await?;
    let completed = CompletedCall::new(run, number, answer);
    Ok(json(StatusCode::OK, &completed))
}

fn streamed_response(call: OpenCall) -> Result<Response<BoxBody>, ApiError> {
    if let Some(error) = call.immediate_error() {
        return Err(error);
    }
    Ok(sse::response(&[], events(call)))
}

fn events(call: OpenCall) -> impl Stream<Item = Bytes> {
    stream::unfold(Some(call), |call| async move {
        let mut call = call?;
        let call_event = call.next().await;
        let is_last = matches!(call_event, CallEvent::Ended(_));
        let event = event(&call, call_event);
        Some((event, (!is_last).then_some(call)))
    })
}

fn event(call: &OpenCall, call_event: CallEvent) -> Bytes {
    match call_event {
        CallEvent::Chunk(text) => sse::event("chunk", &to_json(&AnswerChunk { text })),
        CallEvent::Restarted => sse::event("restarted", "{}"),
        CallEvent::Ended(result) => match result {
            Ok(answer) => {
                let completed = CompletedCall::new(call.run, call.number, answer);
                sse::event("completed", &to_json(&completed))
            }
            Err(error) => sse::event("error", &error.body()),
        },
    }
}

fn to_json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("responses are plain data")
}
