//! What operators and the log did, and what must follow from it, told as simply as possible.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

/// Nodes that race each other.
pub const NODES: usize = 3;

/// Names of the resources that they race for.
pub const NAMES: [&str; 3] = ["alpha", "beta", "gamma"];

/// What an operator expects of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expectation {
    /// Anything.
    Any,
    /// It does not exist.
    Absent,
    /// It is as this node sees it.
    AsSeen,
    /// It is at an old revision.
    Stale,
}

/// A change as an operator asks for it; no limit deletes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wanted {
    pub name: usize,
    pub limit: Option<u64>,
}

/// A change as it was proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proposed {
    pub request: u64,
    pub wanted: Wanted,
    pub expected: Option<u64>,
}

/// A record of the log: an announcement if it proposes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    pub node: usize,
    pub nonce: u64,
    pub sequence: u64,
    pub proposed: Option<Proposed>,
}

#[derive(Clone, Debug)]
pub enum Step {
    /// An operator asks a node for a change.
    Propose(usize, Wanted, Expectation),
    /// What a node has in flight reaches the log, perhaps once more after a lost answer.
    Append(usize),
    /// What a node had in flight before it was replaced reaches the log.
    AppendLate(usize),
    /// A node reads the next record.
    Read(usize),
    /// A node is given records again that it has applied.
    Rewind(usize, usize),
    /// A node is replaced; it starts from nothing.
    Restart(usize),
    /// A node is replaced; it starts from the state of another.
    RestartFrom(usize, usize),
}

#[derive(Clone, Debug, Default)]
pub struct Node {
    pub nonce: u64,
    pub next_sequence: u64,
    pub in_flight: Option<(u64, Proposed)>,
    pub waiting: VecDeque<Proposed>,
    /// What the start before this one had in flight.
    pub late: Option<Entry>,
    /// Records applied.
    pub position: usize,
}

/// Resources by name: revision and limit.
pub type Budgets = BTreeMap<usize, (u64, u64)>;

#[derive(Clone, Debug)]
pub struct Model {
    pub log: Vec<Entry>,
    pub nodes: Vec<Node>,
    pub last_request: u64,
}

impl Model {
    /// Resources after the first `position` records, and the verdict on the last of them: `None`
    /// where it does not count.
    pub fn replay(&self, position: usize) -> (Budgets, Option<Result<u64, Option<u64>>>) {
        let mut budgets = Budgets::new();
        let mut seen = BTreeSet::new();
        let mut verdict = None;
        for (offset, entry) in self.log[..position].iter().enumerate() {
            let is_new = seen.insert((entry.node, entry.nonce, entry.sequence));
            verdict = match entry.proposed {
                Some(proposed) if is_new => Some(judge(&mut budgets, proposed, offset as u64)),
                _ => None,
            };
        }
        (budgets, verdict)
    }

    /// Whether a node has read its own announcement.
    pub fn has_started(&self, node: usize) -> bool {
        let own = &self.nodes[node];
        self.log[..own.position]
            .iter()
            .any(|entry| entry.node == node && entry.nonce == own.nonce)
    }

    /// The proposal that a step makes, as the node sees the resource now.
    pub fn proposal(&self, node: usize, wanted: Wanted, expectation: Expectation) -> Proposed {
        let (budgets, _) = self.replay(self.nodes[node].position);
        let seen = budgets
            .get(&wanted.name)
            .map_or(0, |(revision, _)| *revision);
        let expected = match expectation {
            Expectation::Any => None,
            Expectation::Absent => Some(0),
            Expectation::AsSeen => Some(seen),
            Expectation::Stale => Some(seen.saturating_sub(1).max(1)),
        };
        Proposed {
            request: self.last_request + 1,
            wanted,
            expected,
        }
    }

    fn announce(&mut self, node: usize) {
        let own = &mut self.nodes[node];
        own.next_sequence = 2;
        let entry = Entry {
            node,
            nonce: own.nonce,
            sequence: 1,
            proposed: None,
        };
        self.log.push(entry);
    }

    fn send_next(&mut self, node: usize) {
        let own = &mut self.nodes[node];
        if own.in_flight.is_some() {
            return;
        }
        let Some(next) = own.waiting.pop_front() else {
            return;
        };
        own.in_flight = Some((own.next_sequence, next));
        own.next_sequence += 1;
    }

    fn in_flight_entry(&self, node: usize) -> Option<Entry> {
        let own = &self.nodes[node];
        own.in_flight.map(|(sequence, proposed)| Entry {
            node,
            nonce: own.nonce,
            sequence,
            proposed: Some(proposed),
        })
    }

    fn read(&mut self, node: usize) {
        let entry = self.log[self.nodes[node].position];
        let own = &mut self.nodes[node];
        own.position += 1;
        let is_own = entry.node == node && entry.nonce == own.nonce;
        let answers = own
            .in_flight
            .is_some_and(|(sequence, _)| sequence == entry.sequence);
        if is_own && answers {
            own.in_flight = None;
            self.send_next(node);
        }
    }

    fn restart(&mut self, node: usize, position: usize) {
        let late = self.in_flight_entry(node);
        let nonce = self.nodes[node].nonce + 1;
        self.nodes[node] = Node {
            nonce,
            position,
            late,
            ..Node::default()
        };
        self.announce(node);
    }
}

/// The new revision, or the revision that stood in the way (`None`: there was nothing to delete).
fn judge(budgets: &mut Budgets, proposed: Proposed, offset: u64) -> Result<u64, Option<u64>> {
    let Wanted { name, limit } = proposed.wanted;
    let current = budgets.get(&name).copied();
    let found = current.map_or(0, |(revision, _)| revision);
    if limit.is_none() && current.is_none() {
        return Err(None);
    }
    if proposed.expected.is_some_and(|expected| expected != found) {
        return Err(Some(found));
    }
    match limit {
        None => {
            budgets.remove(&name);
            Ok(offset)
        }
        Some(limit) if current.is_some_and(|(_, old)| old == limit) => Ok(found),
        Some(limit) => {
            budgets.insert(name, (offset, limit));
            Ok(offset)
        }
    }
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Model> {
        let mut model = Model {
            log: Vec::new(),
            nodes: vec![Node::default(); NODES],
            last_request: 0,
        };
        for node in 0..NODES {
            model.announce(node);
        }
        Just(model).boxed()
    }

    fn transitions(_: &Model) -> BoxedStrategy<Step> {
        let node = 0..NODES;
        let limit = prop_oneof![4 => (1..4u64).prop_map(Some), 1 => Just(None)];
        let wanted = (0..NAMES.len(), limit).prop_map(|(name, limit)| Wanted { name, limit });
        let expectation = prop_oneof![
            Just(Expectation::Any),
            Just(Expectation::Absent),
            Just(Expectation::AsSeen),
            Just(Expectation::Stale),
        ];
        prop_oneof![
            4 => (node.clone(), wanted, expectation)
                .prop_map(|(node, wanted, expectation)| Step::Propose(node, wanted, expectation)),
            6 => node.clone().prop_map(Step::Append),
            1 => node.clone().prop_map(Step::AppendLate),
            12 => node.clone().prop_map(Step::Read),
            2 => (node.clone(), 1..6usize).prop_map(|(node, back)| Step::Rewind(node, back)),
            1 => node.clone().prop_map(Step::Restart),
            1 => (node.clone(), node).prop_map(|(node, from)| Step::RestartFrom(node, from)),
        ]
        .boxed()
    }

    fn preconditions(model: &Model, step: &Step) -> bool {
        match *step {
            Step::Append(node) => model.nodes[node].in_flight.is_some(),
            Step::AppendLate(node) => model.nodes[node].late.is_some(),
            Step::Read(node) => model.nodes[node].position < model.log.len(),
            Step::Rewind(node, back) => model.nodes[node].position >= back,
            Step::RestartFrom(node, from) => node != from,
            Step::Propose(..) | Step::Restart(_) => true,
        }
    }

    fn apply(mut model: Model, step: &Step) -> Model {
        match *step {
            Step::Propose(node, wanted, expectation) => {
                let proposed = model.proposal(node, wanted, expectation);
                model.last_request += 1;
                if model.has_started(node) {
                    model.nodes[node].waiting.push_back(proposed);
                    model.send_next(node);
                }
            }
            Step::Append(node) => {
                let entry = model.in_flight_entry(node);
                model.log.extend(entry);
            }
            Step::AppendLate(node) => {
                let entry = model.nodes[node].late;
                model.log.extend(entry);
            }
            Step::Read(node) => model.read(node),
            Step::Rewind(..) => {}
            Step::Restart(node) => model.restart(node, 0),
            Step::RestartFrom(node, from) => {
                let position = model.nodes[from].position;
                model.restart(node, position);
            }
        }
        model
    }
}
