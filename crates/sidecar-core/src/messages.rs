//! Handling of messages from nodes.

use std::net::SocketAddr;
use std::time::Duration;

use elderworks_protocol::sidecar::{
    Chunk, NodeAddress, NodeMessage, RunView, SidecarMessage, SubmissionId, answer_digest,
};
use elderworks_types::{Attempt, CallId, CallNumber, Outcome, Refusal, RunId, RunPhase, Timestamp};

use crate::backoff;
use crate::core::{PROBE_TIMEOUT, SidecarCore, unsettled_outcome};
use crate::delivery::Remainder;
use crate::directory::Route;
use crate::effect::CallerReply;
use crate::event::RequestId;
use crate::request::{OpenRequest, Operation, RequestKey, RequestState};

/// A node's report of a call's end.
struct CallEnd {
    attempt: Option<Attempt>,
    digest: u64,
    outcome: Outcome,
    /// The submission that, according to the journal, no owner will ever run.
    barred: Option<SubmissionId>,
}

impl SidecarCore {
    pub(crate) fn handle_message(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        message: NodeMessage,
    ) {
        match message {
            NodeMessage::Located {
                partition,
                owner,
                partition_count,
            } => {
                let owner = owner.map(|owner| owner.address);
                let random = &mut self.random;
                self.directory
                    .handle_located(now, partition, owner, partition_count, random);
                self.requeue_from_former_owners(now);
            }
            NodeMessage::NotOwner { run, number, owner } => {
                self.handle_not_owner(now, from, run, number, owner);
            }
            NodeMessage::CallMoved { call } => self.handle_call_moved(now, from, call),
            NodeMessage::RunStarted { run } => {
                let reply = CallerReply::RunStarted { run };
                self.finish_matching(reply, |request| is_start(request, run));
            }
            NodeMessage::RunRefused { run, refusal } => {
                self.handle_run_refused(now, from, run, &refusal)
            }
            NodeMessage::Chunk(chunk) => self.handle_chunk(now, &chunk),
            NodeMessage::CallEnded {
                call,
                attempt,
                digest,
                outcome,
                barred,
                chunks: _,
            } => {
                let end = CallEnd {
                    attempt,
                    digest,
                    outcome,
                    barred,
                };
                self.handle_call_ended(now, from, call, end);
            }
            NodeMessage::RunView { query, view } => self.handle_run_view(query, view),
            NodeMessage::RunEnded { run, phase } => self.handle_run_ended(run, phase),
            NodeMessage::Draining => self.directory.forget_node(from),
        }
    }

    /// Requeues requests that were sent to silent nodes which no longer own their partition.
    fn requeue_from_former_owners(&mut self, now: Timestamp) {
        for key in self.open.silent(now) {
            let Some(request) = self.open.get_mut(&key) else {
                continue;
            };
            let RequestState::Sent {
                to, last_activity, ..
            } = request.state
            else {
                continue;
            };
            let is_silent = now.since(last_activity) >= PROBE_TIMEOUT;
            let has_moved = match self.directory.route(request.run) {
                Route::Owner(owner) => owner != to,
                Route::Unknown(_) => false,
            };
            if is_silent && has_moved {
                request.requeue(now);
            }
        }
    }

    /// Handles the report that a node accepted the call and then lost its partition.
    fn handle_call_moved(&mut self, now: Timestamp, from: SocketAddr, call: CallId) {
        let request = self.open.get_mut(&RequestKey::Call(call));
        if let Some(request) = request.filter(|request| request.is_sent_to(from)) {
            request.possibly_accepted = true;
        }
        self.handle_not_owner(now, from, call.run, Some(call.number), None);
    }

    fn handle_not_owner(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        run: RunId,
        number: Option<CallNumber>,
        owner: Option<NodeAddress>,
    ) {
        let keys = match number {
            Some(number) => vec![RequestKey::Call(CallId { run, number })],
            None => self
                .open
                .matching_other_requests(|request| request.run == run),
        };
        for key in keys {
            let Some(request) = self.open.get_mut(&key) else {
                continue;
            };
            request.copies.record_answer(from);
            if !request.is_sent_to(from) {
                continue;
            }
            // A node that produced part of the answer had accepted the call.
            let had_started = matches!(
                &request.operation,
                Operation::Call(call) if call.delivery.has_received_chunks()
            );
            request.possibly_accepted |= had_started;
            request.failures += 1;
            let delay = backoff::delay(request.failures, &mut self.random);
            let retry_at = now + delay;
            request.state = RequestState::Waiting { retry_at };
        }
        self.forget_run_owner(now, run);
        let new_owner = owner.filter(|owner| owner.address != from);
        if let (Some(owner), Some(partition)) = (new_owner, self.directory.partition(run)) {
            self.directory.set_owner(partition, owner.address);
        }
    }

    fn handle_run_refused(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        run: RunId,
        refusal: &Refusal,
    ) {
        for key in self
            .open
            .matching_other_requests(|request| is_start(request, run))
        {
            let (Some(request), RequestKey::Other(id)) = (self.open.get_mut(&key), key) else {
                continue;
            };
            request.copies.record_answer(from);
            if !request.is_sent_to(from) {
                continue;
            }
            match classify_start_refusal(request, refusal) {
                StartRefusal::NotStarted => {
                    let refusal = refusal.clone();
                    self.finish_other(id, CallerReply::RunRefused { refusal });
                }
                StartRefusal::Unsettled => self.finish_other(id, CallerReply::NoAnswerFromNode),
                StartRefusal::CopiesOutstanding => {
                    request.state = RequestState::Sent {
                        to: from,
                        last_activity: now,
                    };
                }
            }
        }
    }

    fn handle_run_ended(&mut self, run: RunId, phase: RunPhase) {
        let reply = CallerReply::RunEnded { phase };
        self.finish_matching(reply, |request| {
            request.run == run && matches!(request.operation, Operation::EndRun { .. })
        });
    }

    fn handle_run_view(&mut self, query: u64, view: Option<Box<RunView>>) {
        let open = self.open.get(&RequestKey::Other(query));
        let is_read = open.is_some_and(|open| matches!(open.operation, Operation::ReadRun { .. }));
        if is_read {
            self.finish_other(query, CallerReply::RunView { view });
        }
    }

    fn handle_chunk(&mut self, now: Timestamp, chunk: &Chunk) {
        let key = RequestKey::Call(chunk.call);
        let Some(request) = self.open.get_mut(&key) else {
            return;
        };
        if let RequestState::Sent { last_activity, .. } = &mut request.state {
            *last_activity = now;
        }
        let Operation::Call(call) = &mut request.operation else {
            return;
        };
        let Some(text) = call.delivery.accept(chunk) else {
            return;
        };
        for listener in call.listeners.clone() {
            self.reply(listener, CallerReply::Chunk { text: text.clone() });
        }
    }

    fn handle_call_ended(&mut self, now: Timestamp, from: SocketAddr, call: CallId, end: CallEnd) {
        let CallEnd {
            attempt,
            digest,
            outcome,
            barred,
        } = end;
        let Some(request) = self.open.get_mut(&RequestKey::Call(call)) else {
            return;
        };
        match &outcome {
            Outcome::Completed(answer) => {
                if answer_digest(&answer.content) != digest {
                    return request.requeue(now);
                }
                let content = answer.content.clone();
                self.forward_remainder(call, &content);
            }
            Outcome::Refused(refusal) => {
                if !request.is_sent_to(from) {
                    return;
                }
                if !is_known_not_run(request, barred) {
                    let refusal = refusal.clone();
                    return self.handle_unsettled_refusal(now, from, call, &refusal);
                }
            }
            Outcome::Failed(_) | Outcome::Unknown(_) => {
                if !request.is_sent_to(from) {
                    return;
                }
            }
        }
        self.send(from, SidecarMessage::Acknowledge { call });
        self.finish_call(call, attempt, outcome);
    }

    /// Handles a refusal of a call that another node may have accepted, which therefore doesn't
    /// prove that the call was not run. Retries after a transient refusal; otherwise ends the call
    /// with an unsettled outcome.
    fn handle_unsettled_refusal(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        call: CallId,
        refusal: &Refusal,
    ) {
        let Some(request) = self.open.get_mut(&RequestKey::Call(call)) else {
            return;
        };
        if refusal.reason.is_transient() {
            request.failures += 1;
            let delay = backoff::delay(request.failures, &mut self.random);
            let wait = refusal.retry_after.unwrap_or(Duration::ZERO).max(delay);
            let retry_at = now + wait;
            request.state = RequestState::Waiting { retry_at };
            return;
        }
        let Operation::Call(open) = &request.operation else {
            return;
        };
        let outcome = unsettled_outcome(open.spec.repeatable);
        self.send(from, SidecarMessage::Acknowledge { call });
        self.abandon_call(call, outcome);
    }

    /// Ends a call whose outcome no node has settled.
    pub(crate) fn abandon_call(&mut self, id: CallId, outcome: Outcome) {
        self.finish_call(id, None, outcome);
        self.finished.mark_abandoned(id);
    }

    fn forward_remainder(&mut self, id: CallId, content: &str) {
        let Some(call) = self.open_call(id) else {
            return;
        };
        let remainder = call.delivery.remainder(content);
        for listener in call.listeners.clone() {
            match &remainder {
                Remainder::Tail(tail) if tail.is_empty() => {}
                Remainder::Tail(tail) => {
                    let text = tail.clone();
                    self.reply(listener, CallerReply::Chunk { text });
                }
                Remainder::Mismatch => {
                    self.reply(listener, CallerReply::Restarted);
                    let text = content.to_owned();
                    self.reply(listener, CallerReply::Chunk { text });
                }
            }
        }
    }

    pub(crate) fn finish_call(&mut self, id: CallId, attempt: Option<Attempt>, outcome: Outcome) {
        let Some(request) = self.open.remove(&RequestKey::Call(id)) else {
            return;
        };
        let Operation::Call(call) = request.operation else {
            return;
        };
        if !matches!(outcome, Outcome::Refused(_)) {
            self.finished.record(id, &call.spec);
        }
        for listener in call.listeners {
            let reply = CallerReply::CallEnded {
                attempt,
                outcome: outcome.clone(),
            };
            self.reply(listener, reply);
        }
    }

    pub(crate) fn finish_other(&mut self, request: RequestId, reply: CallerReply) {
        self.open.remove(&RequestKey::Other(request));
        self.reply(request, reply);
    }

    fn finish_matching(&mut self, reply: CallerReply, predicate: impl Fn(&OpenRequest) -> bool) {
        for key in self.open.matching_other_requests(predicate) {
            if let RequestKey::Other(request) = key {
                self.finish_other(request, reply.clone());
            }
        }
    }
}

/// What a node's refusal implies for a run's start.
enum StartRefusal {
    /// No node has started the run.
    NotStarted,
    /// The node has yet to answer another copy, which it may accept.
    CopiesOutstanding,
    /// Another copy may have been accepted.
    Unsettled,
}

fn classify_start_refusal(request: &OpenRequest, refusal: &Refusal) -> StartRefusal {
    if request.possibly_accepted {
        return StartRefusal::Unsettled;
    }
    if request.copies.all_answered() {
        return StartRefusal::NotStarted;
    }
    // A permanent refusal may be the single answer to several copies that the node had merged.
    match refusal.reason.is_transient() {
        true => StartRefusal::CopiesOutstanding,
        false => StartRefusal::Unsettled,
    }
}

fn is_start(request: &OpenRequest, run: RunId) -> bool {
    request.run == run && matches!(request.operation, Operation::StartRun(_))
}

/// Returns whether a refusal proves that the call was not run: either no other node can have
/// accepted it, or the journal bars every copy of this submission (`barred`).
fn is_known_not_run(request: &OpenRequest, barred: Option<SubmissionId>) -> bool {
    let Operation::Call(call) = &request.operation else {
        return false;
    };
    let is_barred = barred == Some(call.submission);
    (is_barred || !request.possibly_accepted) && !call.delivery.has_received_chunks()
}
