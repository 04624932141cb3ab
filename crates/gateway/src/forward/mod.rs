//! Handling of one request: routing, identification, quota, the permit to run, attempts at workers
//! and the response.

mod access;
mod admission;
mod attempt_error;
mod attempts;
mod early_end;
mod flow;
mod headers;
mod migration;
mod observations;
mod quota;
mod resumption;
mod retries;
mod run_stop;
mod sending;
mod stream;
mod trace;
mod turn;
mod turn_permit;
mod worker_use;
mod zones;

use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::RequestHead;
use elderworks_gateway_core::attempt::NotRun;
use elderworks_gateway_core::call::CallAttributes;
use elderworks_gateway_core::config::{Route, RouteKind, ServingConfig};
use elderworks_gateway_core::start::start_wait;

use crate::caller::Caller;
use crate::gateway::Gateway;
use crate::reply::{ErrorStatus, Refusal};
use crate::server::CallerRequest;

use attempts::Call;
use early_end::{EarlyEnd, respond_early};
use trace::{Milestones, Trace};

pub(crate) use access::refuse_before_body;

/// Handles one request. An error means that the connection can't be used for further requests.
pub(crate) async fn handle(
    gateway: &Rc<Gateway>,
    caller: &mut Caller<'_>,
    request: CallerRequest,
) -> io::Result<()> {
    let received = request.received;
    let attributes = gateway.platform.call_attributes(&request.head.headers);
    let mut trace = Trace::new(gateway, &attributes, received);
    let result = route_and_run(gateway, caller, request, &attributes, &mut trace).await;
    trace.finish(caller, result.as_ref().err());
    result
}

async fn route_and_run(
    gateway: &Rc<Gateway>,
    caller: &mut Caller<'_>,
    request: CallerRequest,
    attributes: &CallAttributes,
    trace: &mut Trace,
) -> io::Result<()> {
    wait_for_start(gateway, attributes).await;
    let Some(config) = gateway.current_config() else {
        let not_run = NotRun::before_any_attempt();
        let refusal = Refusal::not_run(not_run, "no configuration is known yet");
        return refuse(caller, trace, &refusal).await;
    };
    trace.note_config(&config);
    let found = find_route(&config, &request.head);
    let found = found.and_then(|route| route.ok_or_else(|| access::unknown_route_refusal(gateway)));
    let route = match found {
        Ok(route) => route,
        Err(refusal) => return refuse(caller, trace, &refusal).await,
    };
    trace.route.clone_from(&route.name);
    let left = attributes
        .deadline
        .map_or(route.timeout, |deadline| deadline.min(route.timeout));
    let identified = access::identify_with_wait(gateway, &config, route, attributes, left).await;
    let sender = match identified {
        Ok(sender) => sender,
        Err(denial) => {
            let refusal = denial.refusal(NotRun::before_any_attempt());
            return refuse(caller, trace, &refusal).await;
        }
    };
    trace.note_sender(&sender);
    if let Some(deadline) = attributes.deadline.filter(|_| route.resumable) {
        gateway.note_stream_deadline(deadline);
    }
    let deadline = request.received + left;
    if gateway.exits_before(deadline) {
        let not_run = NotRun::before_any_attempt();
        let reason = "the node stops before the request's time is over";
        let refusal = Refusal::not_run_retry_after(not_run, reason, Duration::ZERO);
        return refuse(caller, trace, &refusal).await;
    }
    let mut call = Call::new(
        gateway, &config, route, attributes, sender, request, deadline, trace,
    );
    trace.identity = Some(call.identity);
    let running = run(&mut call, caller, trace);
    let ended = tokio::select! {
        biased;
        timed = tokio::time::timeout_at(deadline.into(), running) => {
            timed.map_err(|_| EarlyEnd::Deadline)
        }
        () = gateway.until_aborting() => Err(EarlyEnd::Exit),
    };
    let result = match ended {
        Ok(result) => result,
        Err(end) => {
            if end == EarlyEnd::Deadline {
                call.note_timeout();
            }
            respond_early(&call, caller, trace, end).await
        }
    };
    trace.may_have_run = call.history.may_have_run();
    result
}

/// Waits a limited time for this node to finish starting. A refused caller would only retry at
/// other nodes that are starting too, and a node that has not joined yet doesn't know which nodes
/// own the ledger's partitions.
async fn wait_for_start(gateway: &Gateway, attributes: &CallAttributes) {
    if gateway.start.is_complete() || !gateway.settings.policy.starting_patience {
        return;
    }
    let max_wait = start_wait(attributes.deadline);
    gateway.start.wait(max_wait).await;
}

async fn run(call: &mut Call<'_>, caller: &mut Caller<'_>, trace: &mut Trace) -> io::Result<()> {
    if let Err(CallError::Refused(refusal)) = call.check_earlier_tries().await {
        return refuse(caller, trace, &refusal).await;
    }
    if let Err(refusal) = call.bind_resumed_stream().await {
        return refuse(caller, trace, &refusal).await;
    }
    if let Err(refusal) = call.take_quota().await {
        return refuse(caller, trace, &refusal).await;
    }
    if let Err(refusal) = call.start_turn().await {
        return refuse(caller, trace, &refusal).await;
    }
    trace.milestones.note_permit(trace.received);
    if let Err(refusal) = call.admit().await {
        return refuse(caller, trace, &refusal).await;
    }
    let result = match call.route().kind {
        RouteKind::Streaming => call.run_stream(caller).await,
        RouteKind::Idempotent | RouteKind::Mutating => call.run_buffered(caller).await,
    };
    match result {
        Ok(()) => Ok(()),
        Err(CallError::Refused(refusal)) => refuse(caller, trace, &refusal).await,
        Err(CallError::Aborted(reason)) => {
            trace.outcome = reason;
            Err(io::Error::other(reason))
        }
        Err(CallError::Caller(error)) => Err(error),
    }
}

/// The reason why no worker's response reached the caller in full.
#[derive(Debug)]
pub(crate) enum CallError {
    /// The request is refused with this response.
    Refused(Refusal),
    /// Part of a response was sent that can't be completed: the connection must be closed.
    Aborted(&'static str),
    /// Writing to the caller failed.
    Caller(io::Error),
}

impl From<io::Error> for CallError {
    fn from(error: io::Error) -> Self {
        Self::Caller(error)
    }
}

async fn refuse(caller: &mut Caller<'_>, trace: &mut Trace, refusal: &Refusal) -> io::Result<()> {
    trace.note_refusal(refusal);
    caller.send_refusal(refusal).await
}

/// Returns the route of a request; `None` if the configuration has no matching one.
fn find_route<'a>(
    config: &'a ServingConfig,
    head: &RequestHead,
) -> Result<Option<&'a Route>, Refusal> {
    let no_host = Refusal::error(ErrorStatus::BadRequest, "the request names no host");
    let host = headers::host(head).ok_or(no_host)?;
    Ok(config.route_for(&host, head.uri.path()))
}
