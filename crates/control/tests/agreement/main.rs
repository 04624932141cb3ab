//! Racing operators, repeated appends, replays and replaced nodes: every reader agrees, each change
//! counts once, every answer is right, and nothing reverts.

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

/// The stores of all nodes.
struct Readers {
    controls: Vec<Control>,
    /// The highest position that each store has reached since its node started.
    highest: Vec<Offset>,
    answered: BTreeSet<u64>,
}

impl StateMachineTest for Readers {
    type SystemUnderTest = Readers;
    type Reference = Model;

    fn init_test(_: &Model) -> Readers {
        let controls = (0..NODES).map(|node| Control::new(writer(&name_of(node), 0)));
        Readers {
            controls: controls.collect(),
            highest: vec![Offset(0); NODES],
            answered: BTreeSet::new(),
        }
    }

    /// `after` is the model after the step.
    fn apply(mut readers: Readers, after: &Model, step: Step) -> Readers {
        match step {
            Step::Propose(node, _, _) => readers.propose(after, node, &step),
            Step::Append(_) | Step::AppendLate(_) => {}
            Step::Read(node) => readers.read(after, node),
            Step::Rewind(node, back) => {
                let position = after.nodes[node].position;
                for offset in position - back..position {
                    let effects = readers.feed(after, node, offset);
                    assert_eq!(effects, [], "a record read again has no effect");
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
        let Step::Propose(_, wanted, expectation) = *step else {
            return;
        };
        let mut before = after.clone();
        before.last_request -= 1;
        let proposed = before.proposal(node, wanted, expectation);
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
                assert!(self.answered.insert(*request));
            }
            [] => assert!(!is_sent, "it waits behind another"),
            other => panic!("unexpected effects {other:?}"),
        }
    }

    fn read(&mut self, after: &Model, node: usize) {
        let position = after.nodes[node].position;
        let effects = self.feed(after, node, position - 1);
        let entry = after.log[position - 1];
        let (_, verdict) = after.replay(position);
        for effect in effects {
            match effect {
                Effect::Reply { request, result } => {
                    assert!(self.answered.insert(request), "answered twice");
                    let proposed = entry.proposed.expect("an announcement answers nothing");
                    assert_eq!(request, proposed.request);
                    let verdict = verdict.expect("a repeat answers nothing");
                    check_answer(&result.map(|change| change.revision), verdict);
                }
                Effect::Changed(change) => {
                    assert_eq!(change.revision, Offset(position as u64 - 1));
                    assert_eq!(verdict, Some(Ok(change.revision.0)));
                }
                Effect::Append(sent) => {
                    let in_flight = after.nodes[node].in_flight;
                    let (_, next) = in_flight.expect("the model sends it too");
                    assert_eq!(sent, body(next));
                }
            }
        }
        self.highest[node] = self.controls[node].next();
    }

    fn feed(&mut self, model: &Model, node: usize, offset: usize) -> Vec<Effect> {
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

fn check_answer(result: &Result<Offset, ControlError>, verdict: Result<u64, Option<u64>>) {
    match (result, verdict) {
        (Ok(revision), Ok(expected)) => assert_eq!(revision.0, expected),
        (Err(ControlError::NotFound), Err(None)) => {}
        (Err(ControlError::Conflict { found, .. }), Err(Some(expected))) => {
            assert_eq!(found.0, expected);
        }
        other => panic!("wrong answer {other:?}"),
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
    let name = NAMES[proposed.wanted.name];
    match proposed.wanted.limit {
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
