//! Execution of random histories of a partition with crashes, pauses, takeovers, and lost and late
//! responses.

use std::collections::BTreeSet;
use std::time::Duration;

use elderworks_execution::event::AttemptFailure;
use elderworks_execution::{BackendRequest, Effect, Event, ExecutionSettings, SubmittedCall};
use elderworks_protocol::sidecar::Delivered;
use elderworks_types::{
    Attempt, CallId, CallNumber, EngineId, Outcome, Refusal, RefusalReason, RunId,
};

use super::build::*;
use super::environment::{
    Backends, Callers, ReplyInTransit, ReplyKind, RequestInTransit, TrackedCall, complete_answer,
};
use super::{Node, World};

pub const NODES: usize = 3;

/// Budgets of the runs in credits. The first is rarely exhausted, the second by three calls.
pub const BUDGETS: [u64; 2] = [400, 90];

/// One step of a random history.
#[derive(Clone, Debug)]
pub enum Step {
    Submit {
        run: u64,
        tool: bool,
        reordered: bool,
    },
    Resubmit {
        node: Node,
    },
    Flush {
        node: Node,
        copies: usize,
    },
    Deliver {
        node: Node,
        records: usize,
    },
    Place {
        pick: usize,
        refuse: bool,
    },
    Execute {
        pick: usize,
        lose: bool,
    },
    Answer {
        pick: usize,
        partial: bool,
        lose: bool,
    },
    Claim {
        node: Node,
    },
    Release {
        node: Node,
    },
    Pause {
        node: Node,
    },
    Unpause {
        node: Node,
    },
    Restart {
        node: Node,
    },
    Snapshot {
        node: Node,
    },
    LogUp {
        up: bool,
    },
    EndRun {
        run: u64,
        node: Node,
    },
    AdvanceTime {
        millis: u64,
    },
}

pub struct Chaos {
    pub world: World,
    pub backends: Backends,
    pub callers: Callers,
    /// Attempts in the placement of a node.
    placing: Vec<(Node, CallId, Attempt, BackendRequest)>,
    requests_in_transit: Vec<RequestInTransit>,
    replies_in_transit: Vec<ReplyInTransit>,
    lost_releases: BTreeSet<(RunId, EngineId)>,
}

impl Chaos {
    pub fn new(settings: ExecutionSettings) -> Self {
        let mut world = World::with(NODES, settings);
        world.event(0, Event::Claim { forced: true });
        let mut chaos = Self {
            world,
            backends: Backends::default(),
            callers: Callers::default(),
            placing: Vec::new(),
            requests_in_transit: Vec::new(),
            replies_in_transit: Vec::new(),
            lost_releases: BTreeSet::new(),
        };
        for (run, budget) in (0..).zip(BUDGETS) {
            chaos.world.event(0, start(RunId::root(run), budget));
        }
        chaos.process_effects();
        chaos
    }

    /// Executes one step and processes the resulting effects.
    pub fn step(&mut self, step: &Step) {
        match *step {
            Step::Submit {
                run,
                tool,
                reordered,
            } => self.submit(RunId::root(run), tool, reordered),
            Step::Resubmit { node } => self.resubmit(node),
            Step::Flush { node, copies } => self.world.flush_node(node, copies),
            Step::Deliver { node, records } => {
                for _ in 0..records {
                    self.world.deliver_one(node);
                    self.process_effects();
                }
            }
            Step::Place { pick, refuse } => self.place(pick, refuse),
            Step::Execute { pick, lose } => self.execute(pick, lose),
            Step::Answer {
                pick,
                partial,
                lose,
            } => self.answer(pick, partial, lose),
            Step::Claim { node } => self.feed(node, Event::Claim { forced: true }),
            Step::Release { node } => self.feed(node, Event::Release),
            Step::Pause { node } => self.world.nodes[node].paused = true,
            Step::Unpause { node } => self.world.nodes[node].paused = false,
            Step::Restart { node } => self.restart(node),
            Step::Snapshot { node } => self.feed(node, Event::TakeSnapshot),
            Step::LogUp { up } => self.set_log(up),
            Step::EndRun { run, node } => self.end_run(RunId::root(run), node),
            Step::AdvanceTime { millis } => self.advance_time(millis),
        }
        self.process_effects();
    }

    pub(super) fn feed(&mut self, node: Node, event: Event) {
        if !self.world.nodes[node].paused {
            self.world.feed(node, event);
            self.process_effects();
        }
    }

    pub(super) fn set_log(&mut self, up: bool) {
        self.world.log_up = up;
        for node in 0..NODES {
            self.feed(node, Event::LogReachable(up));
        }
    }

    pub(super) fn advance_time(&mut self, millis: u64) {
        self.world.now = self.world.now + Duration::from_millis(millis);
        for node in 0..NODES {
            self.feed(node, Event::Tick);
        }
    }

    fn restart(&mut self, node: Node) {
        self.placing.retain(|(holder, ..)| *holder != node);
        self.callers.disconnected(node);
        self.world.restart_unread(node);
    }

    /// Submits the next call of a run; if `reordered`, also the call after it, which arrives first.
    fn submit(&mut self, run: RunId, tool: bool, reordered: bool) {
        let calls_of_run = self
            .callers
            .calls
            .iter()
            .filter(|(call, _)| call.run == run);
        let unfinished = calls_of_run.clone().any(|(_, held)| {
            !matches!(&held.outcome, Some(outcome) if !matches!(outcome, Outcome::Refused(_)))
        });
        let next = calls_of_run.count() as u32 + 1;
        if unfinished || next > 8 {
            return;
        }
        let numbers = if reordered {
            vec![next + 1, next]
        } else {
            vec![next]
        };
        for number in numbers {
            let spec = if tool {
                tool_call(number)
            } else {
                model_call(number, 0, &format!("question {number} of {run}"))
            };
            let held = TrackedCall {
                spec,
                last_node: None,
                may_be_accepted_elsewhere: false,
                inconclusive_refusals: 0,
                outcome: None,
            };
            self.callers.calls.insert(call(run, number), held);
        }
        let owner =
            (0..NODES).find(|node| self.world.nodes[*node].partition.owned_epoch().is_some());
        if let Some(owner) = owner {
            self.resubmit(owner);
        }
    }

    pub(super) fn resubmit(&mut self, node: Node) {
        if self.world.nodes[node].paused {
            return;
        }
        for id in self.callers.open().into_iter().rev() {
            self.callers.sent_to(id, node);
            let spec = self.callers.calls[&id].spec.clone();
            let connection = node as u64;
            let mut event = submit_on(connection, id.run, spec, Delivered::default());
            if let Event::SubmitCall(SubmittedCall { submission, .. }) = &mut event {
                submission.resubmitted = self.callers.calls[&id].may_be_accepted_elsewhere;
            }
            self.feed(node, event);
        }
    }

    pub(super) fn end_run(&mut self, run: RunId, node: Node) {
        let event = Event::EndRun {
            connection: node as u64,
            tenant: tenant(),
            run,
        };
        self.feed(node, event);
    }

    pub(super) fn place(&mut self, pick: usize, refuse: bool) {
        if self.placing.is_empty() {
            return;
        }
        let (node, id, attempt, request) = self.placing[pick % self.placing.len()].clone();
        if self.world.nodes[node].paused {
            return;
        }
        self.placing
            .retain(|placing| (placing.0, placing.1, placing.2) != (node, id, attempt));
        if refuse {
            let refusal = Refusal {
                reason: RefusalReason::Overloaded,
                retry_after: None,
            };
            let event = Event::AttemptRefused {
                call: id,
                attempt,
                refusal,
            };
            return self.feed(node, event);
        }
        let engine = EngineId::new(format!("engine-{}", pick % 2));
        self.requests_in_transit.push(RequestInTransit {
            from: self.world.nodes[node].writer.clone(),
            call: id,
            attempt,
            engine: Some(engine.clone()),
            request,
        });
        let placed = Event::AttemptPlaced {
            call: id,
            attempt,
            engine: Some(engine),
            note: String::new(),
        };
        self.feed(node, placed);
    }

    /// Delivers a request to its back end, or reports that it was not sent.
    pub(super) fn execute(&mut self, pick: usize, lose: bool) {
        if self.requests_in_transit.is_empty() {
            return;
        }
        let request = self
            .requests_in_transit
            .swap_remove(pick % self.requests_in_transit.len());
        let kind = if lose {
            ReplyKind::NotSent
        } else {
            self.check_execution(&request);
            self.backends.execute(&request)
        };
        self.replies_in_transit.push(ReplyInTransit {
            to: request.from,
            call: request.call,
            attempt: request.attempt,
            kind,
        });
    }

    fn check_execution(&self, request: &RequestInTransit) {
        let held = &self.callers.calls[&request.call];
        let refused = matches!(held.outcome, Some(Outcome::Refused(_)));
        assert!(
            !refused,
            "{} ran after its caller received a refusal",
            request.call
        );
        if let BackendRequest::Model { messages, .. } = &request.request {
            let run = request.call.run.to_string();
            let foreign = messages
                .iter()
                .any(|message| !message.content.contains(&run));
            assert!(
                !foreign,
                "{}: message of another run in {messages:?}",
                request.call
            );
        }
    }

    /// Delivers a response to its node completely, in part, or not at all.
    pub(super) fn answer(&mut self, pick: usize, partial: bool, lose: bool) {
        if self.replies_in_transit.is_empty() {
            return;
        }
        let reply = self
            .replies_in_transit
            .swap_remove(pick % self.replies_in_transit.len());
        let mut lose = lose;
        if let ReplyKind::Released(engine) = &reply.kind {
            // The first release of each run on each engine is always lost.
            lose |= self.lost_releases.insert((reply.call.run, engine.clone()));
            if !lose {
                self.backends.release(reply.call.run, engine);
            }
        }
        let to = self
            .world
            .nodes
            .iter()
            .position(|node| node.writer == reply.to);
        let Some(node) = to else {
            return;
        };
        let (call, attempt) = (reply.call, reply.attempt);
        match reply.kind {
            ReplyKind::Released(engine) if !lose => {
                let run = call.run;
                self.feed(node, Event::MemoryReleased { run, engine });
            }
            ReplyKind::Released(_) => {}
            ReplyKind::NotSent => {
                let failure = AttemptFailure::NotSent;
                self.feed(
                    node,
                    Event::AttemptFailed {
                        call,
                        attempt,
                        failure,
                    },
                );
            }
            ReplyKind::Completed { content, usage } => {
                if partial && !content.is_empty() {
                    self.first_chunk(node, call, attempt, &content);
                }
                let event = if lose || partial {
                    let failure = lost_failure();
                    Event::AttemptFailed {
                        call,
                        attempt,
                        failure,
                    }
                } else {
                    Event::AttemptCompleted {
                        call,
                        attempt,
                        content,
                        usage,
                    }
                };
                self.feed(node, event);
            }
        }
    }

    fn first_chunk(&mut self, node: Node, call: CallId, attempt: Attempt, content: &str) {
        let complete = complete_answer(call);
        if content.len() < complete.len() {
            return;
        }
        let text = content[..4].to_owned();
        let index = 0;
        self.feed(
            node,
            Event::AttemptChunk {
                call,
                attempt,
                index,
                text,
            },
        );
    }

    /// Processes the pending effects of all nodes.
    pub(super) fn process_effects(&mut self) {
        for node in 0..NODES {
            for effect in self.world.take_effects(node) {
                self.process_effect(node, effect);
            }
        }
    }

    fn process_effect(&mut self, node: Node, effect: Effect) {
        let from = self.world.nodes[node].writer.clone();
        match effect {
            Effect::Send { message, .. } => self.callers.receive(node, message),
            Effect::Dispatch {
                call,
                attempt,
                request,
                ..
            } => {
                self.check_order(node, call);
                if let BackendRequest::Model { .. } = request {
                    return self.placing.push((node, call, attempt, request));
                }
                let engine = None;
                self.requests_in_transit.push(RequestInTransit {
                    from,
                    call,
                    attempt,
                    engine,
                    request,
                });
            }
            Effect::Resume { call, attempt, .. } | Effect::QueryTool { call, attempt, .. } => {
                let kind = self.backends.stored_reply(call, attempt);
                self.replies_in_transit.push(ReplyInTransit {
                    to: from,
                    call,
                    attempt,
                    kind,
                });
            }
            Effect::Cancel { call, attempt } => {
                let cancelled = (node, call, attempt);
                self.placing
                    .retain(|placing| (placing.0, placing.1, placing.2) != cancelled);
            }
            Effect::ReleaseMemory { run, engine } => {
                let call = CallId {
                    run,
                    number: CallNumber(0),
                };
                let kind = ReplyKind::Released(engine);
                self.replies_in_transit.push(ReplyInTransit {
                    to: from,
                    call,
                    attempt: Attempt(0),
                    kind,
                });
            }
            _ => {}
        }
    }

    /// Asserts that all earlier calls of the run have an outcome when a call is dispatched.
    fn check_order(&self, node: Node, id: CallId) {
        let view = self.world.nodes[node]
            .partition
            .view(id.run)
            .expect("its run");
        let before = &view.calls[..id.number.0 as usize - 1];
        assert!(
            before.iter().all(|call| call.outcome.is_some()),
            "{id} was dispatched before an earlier call ended"
        );
    }
}
