//! Submission of calls: numbering, repeated requests, and the events of an open call.

use std::time::{Duration, Instant};

use elderworks_sidecar_core::CallerReply;
use elderworks_types::{
    Answer, CallNumber, CallRequest, CallSpec, Message, Outcome, Refusal, RefusalReason, RunId,
    TenantId, Timestamp,
};

use super::error::ApiError;
use super::{App, runs};
use crate::core_client::Replies;

/// Maximum number of times that a call gets a new number because another sidecar used its number.
const MAX_RENUMBERINGS: u32 = 3;

/// A call that may not have a number yet.
#[derive(Clone, Debug)]
pub struct CallDraft {
    /// The number, if the caller chose one or repeats a call.
    pub number: Option<CallNumber>,
    /// The model or tool request.
    pub request: CallRequest,
    /// Whether the call may safely run more than once.
    pub repeatable: bool,
    /// Key that identifies repetitions of the request.
    pub idempotency_key: Option<String>,
    /// Time after which the answer is no longer useful.
    pub deadline: Option<Timestamp>,
    /// Time until the prompt prefix is expected to be reused.
    pub expected_reuse: Option<Duration>,
}

/// A submitted call whose first reply has arrived.
pub struct OpenCall {
    /// The run of the call.
    pub run: RunId,
    /// Number of the call within the run.
    pub number: CallNumber,
    app: App,
    replies: Replies,
    first_reply: Option<CallerReply>,
    started: Instant,
}

/// Checks that the run exists for this tenant, from the cache or by reading it from its node.
///
/// # Errors
///
/// Returns an error if the run does not exist for the tenant or no node answered.
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

/// Submits a call of an existing run and waits for its first reply.
///
/// A call numbered by this sidecar is renumbered if another sidecar has used the number.
///
/// # Errors
///
/// Returns an error if no number could be assigned. Failures of the call itself are reported by the
/// returned [`OpenCall`].
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

/// The state of a run that a new request is evaluated against.
pub struct RunContext {
    /// The message history of the run.
    pub history: Vec<Message>,
    /// The call that the request repeats: the one with the same number or, if the request has none,
    /// with the same idempotency key.
    pub original: Option<CallSpec>,
}

impl RunContext {
    /// Returns the number of history messages with which the original call's prompt started. A
    /// repeated request must use the same number although the history has grown since.
    pub fn original_prefix(&self) -> Option<u32> {
        match &self.original.as_ref()?.request {
            CallRequest::Model(model) => Some(model.history_prefix),
            CallRequest::Tool(_) => None,
        }
    }

    /// Returns the deadline to use. Callers give deadlines relative to the present, so a repeated
    /// request uses the original call's deadline.
    pub fn deadline(&self, given: Option<Timestamp>) -> Option<Timestamp> {
        let original = self
            .original
            .as_ref()
            .and_then(|original| original.deadline);
        given.map(|given| original.unwrap_or(given))
    }

    /// Returns the number to use: the given one, or that of the call that the request repeats.
    pub fn number(&self, given: Option<CallNumber>) -> Option<CallNumber> {
        given.or(self.original.as_ref().map(|original| original.number))
    }
}

/// Reads the run and finds the call that a request with this number or idempotency key repeats.
///
/// # Errors
///
/// Returns an error if the run does not exist for the tenant or no node answered.
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

/// An event of an open call.
pub enum CallEvent {
    /// The next chunk of text.
    Chunk(String),
    /// The answer starts over; the chunks so far must be discarded.
    Restarted,
    /// The call has ended with the full answer or an error.
    Ended(Result<Answer, ApiError>),
}

impl OpenCall {
    /// Waits for the next event; [`CallEvent::Ended`] is the last one.
    pub async fn next(&mut self) -> CallEvent {
        let reply = match self.first_reply.take() {
            Some(reply) => Some(reply),
            None => self.replies.next().await,
        };
        match reply {
            Some(CallerReply::Chunk { text }) => CallEvent::Chunk(text),
            Some(CallerReply::Restarted) => CallEvent::Restarted,
            Some(CallerReply::CallEnded { outcome, .. }) => CallEvent::Ended(self.ended(outcome)),
            // Replies end early only if the process is stopping; the caller may retry elsewhere.
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

    /// Waits for the end of the call and returns the full answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the call did not complete.
    pub async fn into_answer(mut self) -> Result<Answer, ApiError> {
        loop {
            if let CallEvent::Ended(result) = self.next().await {
                return result;
            }
        }
    }

    /// Returns the error if the call's first reply ended it with one. Checked before a streamed
    /// response starts, so that the error is reported by the HTTP status.
    pub fn immediate_error(&self) -> Option<ApiError> {
        match &self.first_reply {
            Some(CallerReply::CallEnded { outcome, .. }) => ApiError::from_outcome(outcome),
            _ => None,
        }
    }
}
