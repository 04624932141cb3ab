//! Reference model of operators, nodes and the log.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

/// Number of nodes.
pub const NODES: usize = 3;

/// Names of the resources that operators change.
pub const NAMES: [&str; 3] = ["alpha", "beta", "gamma"];

/// Precondition of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// No precondition.
    Any,
    /// The resource does not exist.
    Absent,
    /// The resource has the revision that this node sees.
    Current,
    /// The resource has an outdated revision.
    Stale,
}

/// A change to the resource with index `name`. Deletes the resource if `limit` is `None`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestedChange {
    pub name: usize,
    pub limit: Option<u64>,
}

/// A change as proposed by a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proposed {
    pub request: u64,
    pub change: RequestedChange,
    pub expected: Option<u64>,
}

/// A record of the log. It is an announcement if `proposed` is `None`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    pub node: usize,
    pub nonce: u64,
    pub sequence: u64,
    pub proposed: Option<Proposed>,
}

/// A step of the test.
#[derive(Clone, Debug)]
pub enum Step {
    /// An operator requests a change from a node.
    Propose(usize, RequestedChange, Precondition),
    /// The record that a node has in flight is appended to the log, possibly again.
    Append(usize),
    /// The record that a node had in flight before its restart is appended to the log.
    AppendLate(usize),
    /// A node reads the next record.
    Read(usize),
    /// A node reads a number of already applied records again.
    Rewind(usize, usize),
    /// A node restarts with empty state.
    Restart(usize),
    /// A node restarts with the state of another node.
    RestartFrom(usize, usize),
}

#[derive(Clone, Debug, Default)]
pub struct Node {
    pub nonce: u64,
    pub next_sequence: u64,
    /// Sequence number and proposal in flight.
    pub in_flight: Option<(u64, Proposed)>,
    pub waiting: VecDeque<Proposed>,
    /// Record that was in flight before the last restart.
    pub late: Option<Entry>,
    /// Number of records applied.
    pub position: usize,
}

/// Revision and limit of each resource, by index of its name.
pub type Budgets = BTreeMap<usize, (u64, u64)>;

#[derive(Clone, Debug)]
pub struct Model {
    pub log: Vec<Entry>,
    pub nodes: Vec<Node>,
    pub last_request: u64,
}

impl Model {
    /// Returns the resources after the first `position` records and the result of the last record, or
    /// `None` if the last record has no effect.
    pub fn replay(&self, position: usize) -> (Budgets, Option<Result<u64, Option<u64>>>) {
        let mut budgets = Budgets::new();
        let mut seen = BTreeSet::new();
        let mut outcome = None;
        for (offset, entry) in self.log[..position].iter().enumerate() {
            let is_new = seen.insert((entry.node, entry.nonce, entry.sequence));
            outcome = match entry.proposed {
                Some(proposed) if is_new => {
                    Some(apply_change(&mut budgets, proposed, offset as u64))
                }
                _ => None,
            };
        }
        (budgets, outcome)
    }

    /// Returns whether a node has read its own announcement.
    pub fn has_started(&self, node: usize) -> bool {
        let own = &self.nodes[node];
        self.log[..own.position]
            .iter()
            .any(|entry| entry.node == node && entry.nonce == own.nonce)
    }

    /// Returns the proposal of a change, given the node's current view of the resource.
    pub fn proposal(
        &self,
        node: usize,
        change: RequestedChange,
        precondition: Precondition,
    ) -> Proposed {
        let (budgets, _) = self.replay(self.nodes[node].position);
        let seen = budgets
            .get(&change.name)
            .map_or(0, |(revision, _)| *revision);
        let expected = match precondition {
            Precondition::Any => None,
            Precondition::Absent => Some(0),
            Precondition::Current => Some(seen),
            Precondition::Stale => Some(seen.saturating_sub(1).max(1)),
        };
        Proposed {
            request: self.last_request + 1,
            change,
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

/// Applies a change. Returns the revision of the resource, or the conflicting revision as an error, or
/// `Err(None)` if there is no resource to delete.
fn apply_change(
    budgets: &mut Budgets,
    proposed: Proposed,
    offset: u64,
) -> Result<u64, Option<u64>> {
    let RequestedChange { name, limit } = proposed.change;
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
        let change =
            (0..NAMES.len(), limit).prop_map(|(name, limit)| RequestedChange { name, limit });
        let precondition = prop_oneof![
            Just(Precondition::Any),
            Just(Precondition::Absent),
            Just(Precondition::Current),
            Just(Precondition::Stale),
        ];
        prop_oneof![
            4 => (node.clone(), change, precondition)
                .prop_map(|(node, change, precondition)| Step::Propose(node, change, precondition)),
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
            Step::Propose(node, change, precondition) => {
                let proposed = model.proposal(node, change, precondition);
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
