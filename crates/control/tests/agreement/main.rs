//! Model-based test of concurrent operators, repeated appends, replays and restarts. Checks that all
//! readers agree, every change takes effect once, replies are correct and state is never reverted.

mod model;
#[path = "../support/mod.rs"]
mod support;

use std::collections::BTreeSet;

use elderworks_control::{Control, ControlBody, ControlError, Effect, Event};
use elderworks_protocol::record::Record;
use elderworks_types::resource::{Kind, Spec};
use elderworks_types::{Epoch, NodeId, Offset, Sequence};
use model::{Budgets, Entry, Model, NAMES, NODES, Proposed, Step};
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{StateMachineTest, prop_state_machine};
use support::{NOW, budget, delete, put, writer};

/// Control state of all nodes.
struct Readers {
    controls: Vec<Control>,
    /// Highest next offset of each node since its start.
    highest: Vec<Offset>,
    /// Requests that have been replied to.
    replied: BTreeSet<u64>,
}

impl StateMachineTest for Readers {
    type SystemUnderTest = Readers;
    type Reference = Model;

    fn init_test(_: &Model) -> Readers {
        let controls = (0..NODES).map(|node| Control::new(writer(&name_of(node), 0)));
        Readers {
            controls: controls.collect(),
            highest: vec![Offset(0); NODES],
            replied: BTreeSet::new(),
        }
    }

    /// Applies `step`, where `after` is the model after it.
    fn apply(mut readers: Readers, after: &Model, step: Step) -> Readers {
        match step {
            Step::Propose(node, _, _) => readers.propose(after, node, &step),
            Step::Append(_) | Step::AppendLate(_) => {}
            Step::Read(node) => readers.read(after, node),
            Step::Rewind(node, back) => {
                let position = after.nodes[node].position;
                for offset in position - back..position {
                    let effects = readers.apply_record(after, node, offset);
                    assert_eq!(effects, [], "a record read twice has an effect");
                    let next = readers.controls[node].next();
                    assert_eq!(next, Offset(position as u64), "applied state reverted");
                }
            }
            Step::Restart(node) => {
                let own = writer(&name_of(node), after.nodes[node].nonce);
                readers.replace(node, Control::new(own));
            }
            Step::RestartFrom(node, from) => {
                let own = writer(&name_of(node), after.nodes[node].nonce);
                let state = readers.controls[from].encode_state();
                let restored = Control::from_state(own, &state).expect("own state decodes");
                readers.replace(node, restored);
            }
        }
        readers
    }

    fn check_invariants(readers: &Readers, model: &Model) {
        for (node, control) in readers.controls.iter().enumerate() {
            let position = model.nodes[node].position;
            assert_eq!(control.next(), Offset(position as u64));
            assert!(
                control.next() >= readers.highest[node],
                "applied state reverted"
            );
            assert_eq!(budgets(control), model.replay(position).0);
        }
        for left in 0..NODES {
            for right in 0..left {
                let same_position = model.nodes[left].position == model.nodes[right].position;
                let (left, right) = (&readers.controls[left], &readers.controls[right]);
                assert!(!same_position || left.encode_state() == right.encode_state());
            }
        }
    }
}

impl Readers {
    fn propose(&mut self, after: &Model, node: usize, step: &Step) {
        let Step::Propose(_, change, precondition) = *step else {
            return;
        };
        let mut before = after.clone();
        before.last_request -= 1;
        let proposed = before.proposal(node, change, precondition);
        let event = Event::Propose {
            request: proposed.request,
            body: body(proposed),
        };
        let effects = self.controls[node].handle(NOW, event);
        let in_flight = after.nodes[node].in_flight;
        let is_sent = in_flight.is_some_and(|(_, sent)| sent.request == proposed.request);
        match effects.as_slice() {
            [Effect::Append(sent)] => assert!(is_sent && *sent == body(proposed)),
            [Effect::Reply { request, result }] => {
                assert!(!after.has_started(node));
                assert_eq!(*result, Err(ControlError::Unavailable));
                assert!(self.replied.insert(*request));
            }
            [] => assert!(!is_sent, "without an append, the proposal must be queued"),
            other => panic!("unexpected effects {other:?}"),
        }
    }

    fn read(&mut self, after: &Model, node: usize) {
        let position = after.nodes[node].position;
        let effects = self.apply_record(after, node, position - 1);
        let entry = after.log[position - 1];
        let (_, outcome) = after.replay(position);
        for effect in effects {
            match effect {
                Effect::Reply { request, result } => {
                    assert!(self.replied.insert(request), "replied twice");
                    let proposed = entry.proposed.expect("an announcement gets no reply");
                    assert_eq!(request, proposed.request);
                    let outcome = outcome.expect("a duplicate gets no reply");
                    check_reply(&result.map(|change| change.revision), outcome);
                }
                Effect::Changed(change) => {
                    assert_eq!(change.revision, Offset(position as u64 - 1));
                    assert_eq!(outcome, Some(Ok(change.revision.0)));
                }
                Effect::Append(sent) => {
                    let in_flight = after.nodes[node].in_flight;
                    let (_, next) = in_flight.expect("the model sends a proposal");
                    assert_eq!(sent, body(next));
                }
            }
        }
        self.highest[node] = self.controls[node].next();
    }

    fn apply_record(&mut self, model: &Model, node: usize, offset: usize) -> Vec<Effect> {
        let event = Event::RecordRead {
            offset: Offset(offset as u64),
            index: 0,
            record: record(model.log[offset]),
        };
        self.controls[node].handle(NOW, event)
    }

    fn replace(&mut self, node: usize, control: Control) {
        self.highest[node] = control.next();
        self.controls[node] = control;
    }
}

fn check_reply(result: &Result<Offset, ControlError>, outcome: Result<u64, Option<u64>>) {
    match (result, outcome) {
        (Ok(revision), Ok(expected)) => assert_eq!(revision.0, expected),
        (Err(ControlError::NotFound), Err(None)) => {}
        (Err(ControlError::Conflict { found, .. }), Err(Some(expected))) => {
            assert_eq!(found.0, expected);
        }
        other => panic!("wrong reply {other:?}"),
    }
}

fn name_of(node: usize) -> String {
    format!("node-{node}")
}

fn record(entry: Entry) -> Record<ControlBody> {
    let body = match entry.proposed {
        Some(proposed) => body(proposed),
        None => ControlBody::NodeStarted {
            node: NodeId::new(name_of(entry.node)),
            nonce: entry.nonce,
        },
    };
    Record {
        writer: writer(&name_of(entry.node), entry.nonce),
        sequence: Sequence(entry.sequence),
        epoch: Epoch(0),
        body,
    }
}

fn body(proposed: Proposed) -> ControlBody {
    let name = NAMES[proposed.change.name];
    match proposed.change.limit {
        Some(limit) => put(budget(name, name, limit), proposed.expected),
        None => delete(Kind::Budget, name, proposed.expected),
    }
}

fn budgets(control: &Control) -> Budgets {
    let resources = control.list(Kind::Budget);
    let budgets = resources.map(|resource| {
        let name = resource.metadata.name.as_str();
        let index = NAMES.iter().position(|known| *known == name);
        let Spec::Budget(spec) = &resource.spec else {
            panic!("not a budget: {resource:?}");
        };
        let revision = resource.metadata.revision.0;
        (index.expect("a known name"), (revision, spec.limit.0))
    });
    budgets.collect()
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn readers_agree(sequential 20..120 => Readers);
}
