//! From a caller's request to a numbered call and its outcome.

use std::time::{Duration, Instant};

use elderworks_sidecar_core::CallerReply;
use elderworks_types::{
    Answer, CallNumber, CallRequest, CallSpec, Outcome, Refusal, RefusalReason, RunId, TenantId,
    Timestamp,
};

use super::App;
use super::error::ApiError;
use crate::core_client::Replies;

/// How often a call is renumbered because another sidecar used its number first.
const RENUMBERINGS: u32 = 3;

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
    first: Option<CallerReply>,
    started: Instant,
}

/// Checks that the run exists for this tenant, by asking its owner if need be.
pub async fn check_run(app: &App, tenant: &TenantId, run: RunId) -> Result<(), ApiError> {
    if app.known_runs.is_known(run, tenant) {
        return Ok(());
    }
    learn_run(app, tenant, run).await
}

async fn learn_run(app: &App, tenant: &TenantId, run: RunId) -> Result<(), ApiError> {
    let view = app.core.read_run(tenant.clone(), run).await?;
    let view = view.ok_or_else(ApiError::run_not_found)?;
    let highest = view.calls.iter().map(|call| call.spec.number).max();
    let next = highest.unwrap_or_default().next();
    app.known_runs.learn(run, tenant, next);
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
    let earlier = earlier_number(app, tenant, run, &draft).await?;
    let fixed = draft.number.or(earlier);
    let mut renumberings = 0;
    loop {
        let number = match fixed {
            Some(number) => number,
            None => take_number(app, tenant, run).await?,
        };
        let spec = draft.numbered(number);
        let mut replies = app.core.call(tenant.clone(), run, spec);
        let first = replies.next().await;
        let refusal = refusal_of(first.as_ref());
        if refusal.is_some() && fixed.is_none() {
            app.known_runs.give_back(run, number);
        }
        if fixed.is_none() && is_number_reused(refusal) && renumberings < RENUMBERINGS {
            renumberings += 1;
            learn_run(app, tenant, run).await?;
            continue;
        }
        if refusal.is_none() {
            app.known_runs.number_used(run, number);
        }
        return Ok(OpenCall {
            run,
            number,
            app: app.clone(),
            replies,
            first,
            started,
        });
    }
}

/// The number under which the same idempotency key was used before in this run.
async fn earlier_number(
    app: &App,
    tenant: &TenantId,
    run: RunId,
    draft: &CallDraft,
) -> Result<Option<CallNumber>, ApiError> {
    if draft.number.is_some() || draft.idempotency_key.is_none() {
        return Ok(None);
    }
    let view = app.core.read_run(tenant.clone(), run).await?;
    let view = view.ok_or_else(ApiError::run_not_found)?;
    let earlier = view
        .calls
        .iter()
        .find(|call| call.spec.idempotency_key == draft.idempotency_key);
    Ok(earlier.map(|call| call.spec.number))
}

async fn take_number(app: &App, tenant: &TenantId, run: RunId) -> Result<CallNumber, ApiError> {
    if let Some(number) = app.known_runs.take_number(run) {
        return Ok(number);
    }
    learn_run(app, tenant, run).await?;
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
    fn numbered(&self, number: CallNumber) -> CallSpec {
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
pub enum Step {
    /// The next piece.
    Piece(String),
    /// What was streamed so far is void.
    Restarted,
    /// The end: the whole answer, or the error to be told.
    Ended(Result<Answer, ApiError>),
}

impl OpenCall {
    /// The next step; nothing comes after the end.
    pub async fn next(&mut self) -> Step {
        let reply = match self.first.take() {
            Some(reply) => Some(reply),
            None => self.replies.next().await,
        };
        match reply {
            Some(CallerReply::Chunk { text }) => Step::Piece(text),
            Some(CallerReply::Restarted) => Step::Restarted,
            Some(CallerReply::CallEnded { outcome, .. }) => Step::Ended(self.ended(outcome)),
            // The process is stopping; the caller may ask again elsewhere.
            _ => Step::Ended(Err(crate::core_client::Unreachable.into())),
        }
    }

    fn ended(&self, outcome: Outcome) -> Result<Answer, ApiError> {
        let error = ApiError::of_outcome(&outcome);
        let code = error.as_ref().map_or("completed", ApiError::code);
        self.app.metrics.count_call(code, self.started.elapsed());
        match (outcome, error) {
            (Outcome::Completed(answer), _) => Ok(answer),
            (_, Some(error)) => Err(error),
            (_, None) => unreachable!("every other outcome has an error"),
        }
    }

    /// Waits for the end and returns the whole answer.
    pub async fn whole(mut self) -> Result<Answer, ApiError> {
        loop {
            if let Step::Ended(result) = self.next().await {
                return result;
            }
        }
    }

    /// The error, if the call ended with one before saying anything else. Taken before a streamed
    /// response begins, so that its status tells.
    pub fn error_at_once(&self) -> Option<ApiError> {
        match &self.first {
            Some(CallerReply::CallEnded { outcome, .. }) => ApiError::of_outcome(outcome),
            _ => None,
        }
    }
}
