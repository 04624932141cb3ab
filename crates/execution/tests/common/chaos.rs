//! Random histories of a partition: crashes, pauses, takeovers, lost and late answers.

use std::collections::BTreeSet;
use std::time::Duration;

use elderworks_execution::event::AttemptFailure;
use elderworks_execution::{BackendRequest, Effect, Event, ExecutionSettings, SubmittedCall};
use elderworks_protocol::sidecar::Delivered;
use elderworks_types::{
    Attempt, CallId, CallNumber, EngineId, Outcome, Refusal, RefusalReason, RunId,
};

use super::build::*;
use super::machines::{Backends, Callers, HeldCall, Reply, ReplyKind, Wire, whole_answer};
use super::{Node, World};

pub const NODES: usize = 3;

/// Budgets of the runs: one seldom reached, one that three calls exhaust.
pub const BUDGETS: [u64; 2] = [400, 90];

/// One thing that happens.
#[derive(Clone, Debug)]
pub enum Step {
    Submit {
        run: u64,
        tool: bool,
        crossed: bool,
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
    Wake {
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
    Pass {
        millis: u64,
    },
}

pub struct Chaos {
    pub world: World,
    pub backends: Backends,
    pub callers: Callers,
    /// Attempts that a node's placement holds.
    placing: Vec<(Node, CallId, Attempt, BackendRequest)>,
    wires: Vec<Wire>,
    replies: Vec<Reply>,
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
            wires: Vec::new(),
            replies: Vec::new(),
            lost_releases: BTreeSet::new(),
        };
        for (run, budget) in (0..).zip(BUDGETS) {
            chaos.world.event(0, start(RunId::root(run), budget));
        }
        chaos.absorb();
        chaos
    }

    /// Lets one step happen and checks what can be checked at once.
    pub fn step(&mut self, step: &Step) {
        match *step {
            Step::Submit { run, tool, crossed } => self.submit(RunId::root(run), tool, crossed),
            Step::Resubmit { node } => self.resubmit(node),
            Step::Flush { node, copies } => self.world.flush_node(node, copies),
            Step::Deliver { node, records } => {
                for _ in 0..records {
                    self.world.deliver_one(node);
                    self.absorb();
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
            Step::Wake { node } => self.world.nodes[node].paused = false,
            Step::Restart { node } => self.restart(node),
            Step::Snapshot { node } => self.feed(node, Event::TakeSnapshot),
            Step::LogUp { up } => self.set_log(up),
            Step::EndRun { run, node } => self.end_run(RunId::root(run), node),
            Step::Pass { millis } => self.pass(millis),
        }
        self.absorb();
    }

    pub(super) fn feed(&mut self, node: Node, event: Event) {
        if !self.world.nodes[node].paused {
            self.world.feed(node, event);
            self.absorb();
        }
    }

    pub(super) fn set_log(&mut self, up: bool) {
        self.world.log_up = up;
        for node in 0..NODES {
            self.feed(node, Event::LogReachable(up));
        }
    }

    pub(super) fn pass(&mut self, millis: u64) {
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

    /// The next call of a run, and the one after it first if they cross on the way.
    fn submit(&mut self, run: RunId, tool: bool, crossed: bool) {
        let mine = self
            .callers
            .calls
            .iter()
            .filter(|(call, _)| call.run == run);
        let unfinished = mine.clone().any(|(_, held)| {
            !matches!(&held.outcome, Some(outcome) if !matches!(outcome, Outcome::Refused(_)))
        });
        let next = mine.count() as u32 + 1;
        if unfinished || next > 8 {
            return;
        }
        let numbers = if crossed {
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
            let held = HeldCall {
                spec,
                at: None,
                maybe_taken: false,
                doubts: 0,
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
            self.callers.hand_to(id, node);
            let spec = self.callers.calls[&id].spec.clone();
            let connection = node as u64;
            let mut event = submit_on(connection, id.run, spec, Delivered::default());
            if let Event::SubmitCall(SubmittedCall { submission, .. }) = &mut event {
                submission.resubmitted = self.callers.calls[&id].maybe_taken;
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
        self.wires.push(Wire {
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

    /// A request arrives, or surely never will.
    pub(super) fn execute(&mut self, pick: usize, lose: bool) {
        if self.wires.is_empty() {
            return;
        }
        let wire = self.wires.swap_remove(pick % self.wires.len());
        let kind = if lose {
            ReplyKind::NotSent
        } else {
            self.check_execution(&wire);
            self.backends.execute(&wire)
        };
        self.replies.push(Reply {
            to: wire.from,
            call: wire.call,
            attempt: wire.attempt,
            kind,
        });
    }

    fn check_execution(&self, wire: &Wire) {
        let held = &self.callers.calls[&wire.call];
        let refused = matches!(held.outcome, Some(Outcome::Refused(_)));
        assert!(
            !refused,
            "{} ran after its caller heard it had not",
            wire.call
        );
        if let BackendRequest::Model { messages, .. } = &wire.request {
            let run = wire.call.run.to_string();
            let foreign = messages
                .iter()
                .any(|message| !message.content.contains(&run));
            assert!(!foreign, "{}: a foreign message in {messages:?}", wire.call);
        }
    }

    /// An answer reaches its node, whole, in part, or not at all.
    pub(super) fn answer(&mut self, pick: usize, partial: bool, lose: bool) {
        if self.replies.is_empty() {
            return;
        }
        let reply = self.replies.swap_remove(pick % self.replies.len());
        let mut lose = lose;
        if let ReplyKind::Released(engine) = &reply.kind {
            // The first release of each is always lost.
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
                    let failure = lost();
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
        let whole = whole_answer(call);
        if content.len() < whole.len() {
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

    /// Carries every effect to where it belongs.
    pub(super) fn absorb(&mut self) {
        for node in 0..NODES {
            for effect in self.world.take_effects(node) {
                self.carry(node, effect);
            }
        }
    }

    fn carry(&mut self, node: Node, effect: Effect) {
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
                self.wires.push(Wire {
                    from,
                    call,
                    attempt,
                    engine,
                    request,
                });
            }
            Effect::Resume { call, attempt, .. } | Effect::QueryTool { call, attempt, .. } => {
                let kind = self.backends.recall(call, attempt);
                self.replies.push(Reply {
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
                self.replies.push(Reply {
                    to: from,
                    call,
                    attempt: Attempt(0),
                    kind,
                });
            }
            _ => {}
        }
    }

    /// A call is dispatched only once the one before has its outcome.
    fn check_order(&self, node: Node, id: CallId) {
        let view = self.world.nodes[node]
            .partition
            .view(id.run)
            .expect("its run");
        let before = &view.calls[..id.number.0 as usize - 1];
        assert!(
            before.iter().all(|call| call.outcome.is_some()),
            "{id} overtook another"
        );
    }
}
