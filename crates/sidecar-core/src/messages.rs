//! What nodes say.

use std::net::SocketAddr;
use std::time::Duration;

use elderworks_protocol::sidecar::{
    Chunk, NodeAddress, NodeMessage, RunView, SidecarMessage, SubmissionId, answer_digest,
};
use elderworks_types::{Attempt, CallId, CallNumber, Outcome, Refusal, RunId, RunPhase, Timestamp};

use crate::backoff;
use crate::core::{PROBE_AFTER, SidecarCore, unresolved};
use crate::delivery::Ending;
use crate::directory::Route;
use crate::effect::CallerReply;
use crate::event::RequestId;
use crate::request::{Body, OpenRequest, Position, RequestKey};

/// What a node says of the end of a call.
struct CallEnd {
    attempt: Option<Attempt>,
    digest: u64,
    outcome: Outcome,
    /// The submission that no owner will run.
    barred: Option<SubmissionId>,
}

impl SidecarCore {
    pub(crate) fn received(&mut self, now: Timestamp, from: SocketAddr, message: NodeMessage) {
        match message {
            NodeMessage::Located {
                partition,
                owner,
                partition_count,
            } => {
                let owner = owner.map(|owner| owner.address);
                let random = &mut self.random;
                self.directory
                    .located(now, partition, owner, partition_count, random);
                self.leave_former_owners(now);
            }
            NodeMessage::NotOwner { run, number, owner } => {
                self.not_owner(now, from, run, number, owner);
            }
            NodeMessage::CallMoved { call } => self.call_moved(now, from, call),
            NodeMessage::RunStarted { run } => {
                let reply = CallerReply::RunStarted { run };
                self.end_matching(reply, |request| is_start(request, run));
            }
            NodeMessage::RunRefused { run, refusal } => self.run_refused(now, from, run, &refusal),
            NodeMessage::Chunk(chunk) => self.chunk(now, &chunk),
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
                self.call_ended(now, from, call, end);
            }
            NodeMessage::RunView { query, view } => self.run_view(query, view),
            NodeMessage::RunEnded { run, phase } => self.run_ended(run, phase),
            NodeMessage::Draining => self.directory.forget_node(from),
        }
    }

    /// Takes back requests from silent nodes that, as is now known, are no longer the owner.
    fn leave_former_owners(&mut self, now: Timestamp) {
        for key in self.open.silent(now) {
            let Some(request) = self.open.get_mut(&key) else {
                continue;
            };
            let Position::Sent { to, heard, .. } = request.position else {
                continue;
            };
            let is_silent = now.since(heard) >= PROBE_AFTER;
            let has_moved = match self.directory.route(request.run) {
                Route::Owner(owner) => owner != to,
                Route::Unknown(_) => false,
            };
            if is_silent && has_moved {
                request.recall(now);
            }
        }
    }

    /// The node had taken the call and then lost its partition.
    fn call_moved(&mut self, now: Timestamp, from: SocketAddr, call: CallId) {
        let request = self.open.get_mut(&RequestKey::Call(call));
        if let Some(request) = request.filter(|request| request.is_with(from)) {
            request.maybe_taken = true;
        }
        self.not_owner(now, from, call.run, Some(call.number), None);
    }

    fn not_owner(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        run: RunId,
        number: Option<CallNumber>,
        owner: Option<NodeAddress>,
    ) {
        let meant = match number {
            Some(number) => vec![RequestKey::Call(CallId { run, number })],
            None => self.open.matching_others(|request| request.run == run),
        };
        for key in meant {
            let Some(request) = self.open.get_mut(&key) else {
                continue;
            };
            request.copies.note_answer(from);
            if !request.is_with(from) {
                continue;
            }
            // A node that already produced part of the answer had taken the call.
            let had_begun = matches!(&request.body, Body::Call(call) if call.delivery.has_begun());
            request.maybe_taken |= had_begun;
            request.failures += 1;
            let delay = backoff::delay(request.failures, &mut self.random);
            let retry_at = now + delay;
            request.position = Position::Waiting { retry_at };
        }
        self.relocate(now, run);
        let better = owner.filter(|owner| owner.address != from);
        if let (Some(owner), Some(partition)) = (better, self.directory.partition(run)) {
            self.directory.set_owner(partition, owner.address);
        }
    }

    fn run_refused(&mut self, now: Timestamp, from: SocketAddr, run: RunId, refusal: &Refusal) {
        for key in self.open.matching_others(|request| is_start(request, run)) {
            let (Some(request), RequestKey::Other(id)) = (self.open.get_mut(&key), key) else {
                continue;
            };
            request.copies.note_answer(from);
            if !request.is_with(from) {
                continue;
            }
            match refused_start(request, refusal) {
                RefusedStart::NotTaken => {
                    let refusal = refusal.clone();
                    self.end_other(id, CallerReply::RunRefused { refusal });
                }
                RefusedStart::Open => self.end_other(id, CallerReply::Unreachable),
                RefusedStart::AwaitsCopies => {
                    request.position = Position::Sent {
                        to: from,
                        heard: now,
                    };
                }
            }
        }
    }

    fn run_ended(&mut self, run: RunId, phase: RunPhase) {
        let reply = CallerReply::RunEnded { phase };
        self.end_matching(reply, |request| {
            request.run == run && matches!(request.body, Body::EndRun { .. })
        });
    }

    fn run_view(&mut self, query: u64, view: Option<Box<RunView>>) {
        let open = self.open.get(&RequestKey::Other(query));
        let is_read = open.is_some_and(|open| matches!(open.body, Body::ReadRun { .. }));
        if is_read {
            self.end_other(query, CallerReply::RunView { view });
        }
    }

    fn chunk(&mut self, now: Timestamp, chunk: &Chunk) {
        let key = RequestKey::Call(chunk.call);
        let Some(request) = self.open.get_mut(&key) else {
            return;
        };
        if let Position::Sent { heard, .. } = &mut request.position {
            *heard = now;
        }
        let Body::Call(call) = &mut request.body else {
            return;
        };
        let Some(text) = call.delivery.accept(chunk) else {
            return;
        };
        for listener in call.listeners.clone() {
            self.reply(listener, CallerReply::Chunk { text: text.clone() });
        }
    }

    fn call_ended(&mut self, now: Timestamp, from: SocketAddr, call: CallId, end: CallEnd) {
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
                    return request.recall(now);
                }
                let content = answer.content.clone();
                self.pass_on_rest(call, &content);
            }
            Outcome::Refused(refusal) => {
                if !request.is_with(from) {
                    return;
                }
                if !is_surely_not_run(request, barred) {
                    let refusal = refusal.clone();
                    return self.doubtful_refusal(now, from, call, &refusal);
                }
            }
            Outcome::Failed(_) | Outcome::Unknown(_) => {
                if !request.is_with(from) {
                    return;
                }
            }
        }
        self.send(from, SidecarMessage::Acknowledge { call });
        self.end_call(call, attempt, outcome);
    }

    /// A node refuses a call that another may have taken: the refusal only speaks for that node.
    /// Asked again while waiting can help, resolved as not known otherwise.
    fn doubtful_refusal(
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
            request.position = Position::Waiting { retry_at };
            return;
        }
        let Body::Call(open) = &request.body else {
            return;
        };
        let outcome = unresolved(open.spec.repeatable);
        self.send(from, SidecarMessage::Acknowledge { call });
        self.abandon_call(call, outcome);
    }

    /// Ends a call of which nobody could say what became of it.
    pub(crate) fn abandon_call(&mut self, id: CallId, outcome: Outcome) {
        self.end_call(id, None, outcome);
        self.finished.abandon(id);
    }

    fn pass_on_rest(&mut self, id: CallId, content: &str) {
        let Some(call) = self.open_call(id) else {
            return;
        };
        let ending = call.delivery.ending(content);
        for listener in call.listeners.clone() {
            match &ending {
                Ending::Tail(tail) if tail.is_empty() => {}
                Ending::Tail(tail) => {
                    let text = tail.clone();
                    self.reply(listener, CallerReply::Chunk { text });
                }
                Ending::Restarted => {
                    self.reply(listener, CallerReply::Restarted);
                    let text = content.to_owned();
                    self.reply(listener, CallerReply::Chunk { text });
                }
            }
        }
    }

    pub(crate) fn end_call(&mut self, id: CallId, attempt: Option<Attempt>, outcome: Outcome) {
        let Some(request) = self.open.remove(&RequestKey::Call(id)) else {
            return;
        };
        let Body::Call(call) = request.body else {
            return;
        };
        if !matches!(outcome, Outcome::Refused(_)) {
            self.finished.remember(id, &call.spec);
        }
        for listener in call.listeners {
            let reply = CallerReply::CallEnded {
                attempt,
                outcome: outcome.clone(),
            };
            self.reply(listener, reply);
        }
    }

    pub(crate) fn end_other(&mut self, request: RequestId, reply: CallerReply) {
        self.open.remove(&RequestKey::Other(request));
        self.reply(request, reply);
    }

    fn end_matching(&mut self, reply: CallerReply, is_meant: impl Fn(&OpenRequest) -> bool) {
        for key in self.open.matching_others(is_meant) {
            if let RequestKey::Other(request) = key {
                self.end_other(request, reply.clone());
            }
        }
    }
}

/// What a node's refusal says of a run's start.
enum RefusedStart {
    /// No node has taken it.
    NotTaken,
    /// Its node owes an answer to another copy, which it may take.
    AwaitsCopies,
    /// Another copy may have been taken.
    Open,
}

fn refused_start(request: &OpenRequest, refusal: &Refusal) -> RefusedStart {
    if request.maybe_taken {
        return RefusedStart::Open;
    }
    if request.copies.are_answered() {
        return RefusedStart::NotTaken;
    }
    // A refusal for good may be one answer to several copies that the node had taken together.
    match refusal.reason.is_transient() {
        true => RefusedStart::AwaitsCopies,
        false => RefusedStart::Open,
    }
}

fn is_start(request: &OpenRequest, run: RunId) -> bool {
    request.run == run && matches!(request.body, Body::StartRun(_))
}

/// Whether a refusal means that the call was not run: no other node can have taken it, or the
/// journal bars every copy of this submission (`barred`).
fn is_surely_not_run(request: &OpenRequest, barred: Option<SubmissionId>) -> bool {
    let Body::Call(call) = &request.body else {
        return false;
    };
    let is_barred = barred == Some(call.submission);
    (is_barred || !request.maybe_taken) && !call.delivery.has_begun()
}
