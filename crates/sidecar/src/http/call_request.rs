//! From a caller's request to a with_number call and its outcome.

use std::time::{Duration, Instant};

use elderworks_sidecar_core::CallerReply;
use elderworks_types::{
    Answer, CallNumber, CallRequest, CallSpec, Message, Outcome, Refusal, RefusalReason, RunId,
    TenantId, Timestamp,
};

use super::error::ApiError;
use super::{App, runs};
use crate::core_client::Replies;

/// Most times that a call is renumbered because another sidecar used its number first.
const MAX_RENUMBERINGS: u32 = 3;

/// A call without a number yet.
#[derive(Clone, Debug)]
pub struct CallDraft {
    /// The caller's own number, if it gave one.
    pub number: Option<CallNumber>,
    /// The work.
    pub request: CallRequest,
    /// Whether running it twice is harmless.
    pub repeatable: bool,
    /// Key under which a repeated request is recognised.
    pub idempotency_key: Option<String>,
    /// When the answer stops being useful.
    pub deadline: Option<Timestamp>,
    /// How soon the prefix will be used again.
    pub expected_reuse: Option<Duration>,
}

/// A call that was submitted and has said something.
pub struct OpenCall {
    /// The run.
    pub run: RunId,
    /// Its number.
    pub number: CallNumber,
    app: App,
    replies: Replies,
    first_reply: Option<CallerReply>,
    started: Instant,
}

/// Checks that the run exists for this tenant, by asking its owner if need be.
pub async fn check_run(app: &App, tenant: &TenantId, run: RunId) -> Result<(), ApiError> {
    if app.known_runs.is_known(run, tenant) {
        return Ok(());
    }
    load_run(app, tenant, run).await
}

async fn load_run(app: &App, tenant: &TenantId, run: RunId) -> Result<(), ApiError> {
    let view = runs::view(app, tenant, run).await?;
    let highest = view.calls.iter().map(|call| call.spec.number).max();
    let next = highest.unwrap_or_default().next();
    app.known_runs.record(run, tenant, next);
    Ok(())
}

/// Submits a call of an existing run and waits for its first sign of life.
pub async fn submit(
    app: &App,
    tenant: &TenantId,
    run: RunId,
    draft: CallDraft,
) -> Result<OpenCall, ApiError> {
    let started = Instant::now();
    let assigns_number = draft.number.is_none();
    let mut renumberings = 0;
    loop {
        let number = match draft.number {
            Some(number) => number,
            None => take_number(app, tenant, run).await?,
        };
        let spec = draft.with_number(number);
        let mut replies = app.core.call(tenant.clone(), run, spec);
        let first_reply = replies.next().await;
        let refusal = refusal_of(first_reply.as_ref());
        match refusal {
            None => app.known_runs.record_number(run, number),
            Some(_) if assigns_number => app.known_runs.return_number(run, number),
            Some(_) => {}
        }
        let may_renumber = assigns_number && renumberings < MAX_RENUMBERINGS;
        if may_renumber && is_number_reused(refusal) {
            renumberings += 1;
            load_run(app, tenant, run).await?;
            continue;
        }
        return Ok(OpenCall {
            run,
            number,
            app: app.clone(),
            replies,
            first_reply,
            started,
        });
    }
}

/// What a new request is compared with: the run, and the call that the request repeats.
pub struct RunContext {
    /// Messages that a prompt can begin with.
    pub history: Vec<Message>,
    /// The call of the same number or, without a number, of the same idempotency key.
    pub original: Option<CallSpec>,
}

impl RunContext {
    /// How many messages of the history the original call's prompt began with. A repeated request
    /// has to say the same, although the history has grown since.
    pub fn original_prefix(&self) -> Option<u32> {
        match &self.original.as_ref()?.request {
            CallRequest::Model(model) => Some(model.history_prefix),
            CallRequest::Tool(_) => None,
        }
    }

    /// The deadline to use. Callers give it from now, so a repeated request takes over the first
    /// one's.
    pub fn deadline(&self, given: Option<Timestamp>) -> Option<Timestamp> {
        let original = self
            .original
            .as_ref()
            .and_then(|original| original.deadline);
        given.map(|given| original.unwrap_or(given))
    }

    /// The number to use: the caller's own, or that of the call that the request repeats.
    pub fn number(&self, given: Option<CallNumber>) -> Option<CallNumber> {
        given.or(self.original.as_ref().map(|original| original.number))
    }
}

/// Reads what a request with this number and idempotency key is compared with.
pub async fn read_context(
    app: &App,
    tenant: &TenantId,
    run: RunId,
    number: Option<CallNumber>,
    idempotency_key: Option<&str>,
) -> Result<RunContext, ApiError> {
    let view = runs::view(app, tenant, run).await?;
    let is_original = |spec: &CallSpec| match number {
        Some(number) => spec.number == number,
        None => idempotency_key.is_some() && spec.idempotency_key.as_deref() == idempotency_key,
    };
    let mut specs = view.calls.into_iter().map(|call| call.spec);
    Ok(RunContext {
        history: view.history,
        original: specs.find(is_original),
    })
}

async fn take_number(app: &App, tenant: &TenantId, run: RunId) -> Result<CallNumber, ApiError> {
    if let Some(number) = app.known_runs.take_number(run) {
        return Ok(number);
    }
    load_run(app, tenant, run).await?;
    app.known_runs
        .take_number(run)
        .ok_or_else(ApiError::run_not_found)
}

fn refusal_of(reply: Option<&CallerReply>) -> Option<&Refusal> {
    match reply {
        Some(CallerReply::CallEnded {
            outcome: Outcome::Refused(refusal),
            ..
        }) => Some(refusal),
        _ => None,
    }
}

fn is_number_reused(refusal: Option<&Refusal>) -> bool {
    refusal.is_some_and(|refusal| refusal.reason == RefusalReason::CallNumberReused)
}

impl CallDraft {
    fn with_number(&self, number: CallNumber) -> CallSpec {
        CallSpec {
            number,
            request: self.request.clone(),
            repeatable: self.repeatable,
            idempotency_key: self.idempotency_key.clone(),
            deadline: self.deadline,
            expected_reuse: self.expected_reuse,
        }
    }
}

/// One step of an answer.
pub enum CallEvent {
    /// The next piece.
    Chunk(String),
    /// What was streamed so far is void.
    Restarted,
    /// The end: the whole answer, or the error to be told.
    Ended(Result<Answer, ApiError>),
}

impl OpenCall {
    /// The next step; nothing comes after the end.
    pub async fn next(&mut self) -> CallEvent {
        let reply = match self.first_reply.take() {
            Some(reply) => Some(reply),
            None => self.replies.next().await,
        };
        match reply {
            Some(CallerReply::Chunk { text }) => CallEvent::Chunk(text),
            Some(CallerReply::Restarted) => CallEvent::Restarted,
            Some(CallerReply::CallEnded { outcome, .. }) => CallEvent::Ended(self.ended(outcome)),
            // The process is stopping; the caller may ask again elsewhere.
            _ => CallEvent::Ended(Err(crate::core_client::NoAnswerFromNode.into())),
        }
    }

    fn ended(&self, outcome: Outcome) -> Result<Answer, ApiError> {
        let error = ApiError::from_outcome(&outcome);
        let code = error.as_ref().map_or("completed", ApiError::code);
        self.app.metrics.count_call(code, self.started.elapsed());
        match (outcome, error) {
            (Outcome::Completed(answer), _) => Ok(answer),
            (_, Some(error)) => Err(error),
            (_, None) => unreachable!("every other outcome has an error"),
        }
    }

    /// Waits for the end and returns the whole answer.
    pub async fn into_answer(mut self) -> Result<Answer, ApiError> {
        loop {
            if let CallEvent::Ended(result) = self.next().await {
                return result;
            }
        }
    }

    /// The error, if the call ended with one before saying anything else. Taken before a streamed
    /// response begins, so that its status tells.
    pub fn immediate_error(&self) -> Option<ApiError> {
        match &self.first_reply {
            Some(CallerReply::CallEnded { outcome, .. }) => ApiError::from_outcome(outcome),
            _ => None,
        }
    }
}
