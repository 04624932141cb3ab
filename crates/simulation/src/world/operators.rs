//! Operators: one creates the resources, two concurrently change one configuration, and one reads it
//! from all nodes.

use std::collections::VecDeque;
use std::time::Duration;

use elderworks_control::ControlBody;
use elderworks_node_core::Event as NodeEvent;
use elderworks_node_core::effect::OperatorReply;
use elderworks_node_core::event::{OperatorRequest, RequestId};
use elderworks_types::resource::{Kind, Resource};
use elderworks_types::{Offset, ResourceName};

use super::World;
use super::event::{Event, NodeStart, OperatorEvent};
use super::setup::{RACED_CONFIGURATION, raced_configuration};
use crate::kernel::Instant;
use crate::observation::{OperatorChange, OperatorRead};

/// One-way delay between an operator and a node.
const REPLY_DELAY: Duration = Duration::from_millis(2);
/// Time after which an operator stops waiting for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval at which setup looks for a ready node.
const SETUP_RETRY: Duration = Duration::from_millis(500);
/// Shortest pause between two requests of a racing operator.
const MIN_RACE_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause between two requests of a racing operator.
const MAX_RACE_PAUSE: Duration = Duration::from_millis(1_500);
/// Interval at which the reader reads all nodes.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Role of an operator.
#[derive(Debug)]
enum Role {
    /// Creates the remaining resources in order.
    Setup(VecDeque<Resource>),
    /// Changes the raced configuration on condition that the last known revision is current.
    Racer { last_revision: Option<Offset> },
    /// Periodically reads the raced configuration from every node.
    Reader,
}

/// Simulated operator.
#[derive(Debug)]
pub(crate) struct Operator {
    role: Role,
}

impl Operator {
    /// Returns the operators of a simulation.
    pub(super) fn all() -> Vec<Operator> {
        let roles = [
            Role::Setup(VecDeque::new()),
            Role::Racer {
                last_revision: None,
            },
            Role::Racer {
                last_revision: None,
            },
            Role::Reader,
        ];
        roles.into_iter().map(|role| Operator { role }).collect()
    }
}

/// An operator's unanswered request.
#[derive(Clone, Debug)]
pub(crate) struct PendingOperatorRequest {
    operator: usize,
    to: NodeStart,
    submitted: Instant,
    change: Option<(Resource, Option<Offset>)>,
}

impl World {
    /// Handles an operator's event.
    pub(super) fn on_operator(&mut self, operator: usize, event: OperatorEvent) {
        match event {
            OperatorEvent::Continue => self.continue_operator(operator),
            OperatorEvent::Reply { request, reply } => self.on_operator_reply(request, *reply),
            OperatorEvent::Timeout { request } => {
                if let Some(pending) = self.operator_requests.remove(&request) {
                    self.after_reply(pending.operator);
                }
            }
        }
    }

    fn schedule_operator(&mut self, operator: usize, after: Duration) {
        let event = OperatorEvent::Continue;
        self.schedule(after, Event::Operator { operator, event });
    }

    fn continue_operator(&mut self, operator: usize) {
        match &self.operators[operator].role {
            Role::Setup(_) => self.continue_setup(operator),
            Role::Racer { .. } => self.continue_race(operator),
            Role::Reader => self.read_all_nodes(operator),
        }
    }

    fn continue_setup(&mut self, operator: usize) {
        if self.configured_at.is_some() {
            return;
        }
        let initial = self.initial_resources();
        let Role::Setup(remaining) = &mut self.operators[operator].role else {
            return;
        };
        if remaining.is_empty() {
            remaining.extend(initial);
        }
        let next = remaining.front().cloned();
        match (next, self.ready_node()) {
            (Some(resource), Some(node)) => self.send_change(operator, node, resource, None),
            _ => self.schedule_operator(operator, SETUP_RETRY),
        }
    }

    fn continue_race(&mut self, operator: usize) {
        let node = self.ready_node();
        let (Some(node), Some(_)) = (node, self.configured_at) else {
            self.schedule_operator(operator, MAX_RACE_PAUSE);
            return;
        };
        let Role::Racer { last_revision } = self.operators[operator].role else {
            return;
        };
        match last_revision {
            Some(revision) => {
                let serial = self.requests_made;
                let resource = raced_configuration(serial);
                self.send_change(operator, node, resource, Some(revision));
            }
            None => self.read_raced(operator, node),
        }
    }

    /// Returns a randomly chosen node that is ready and running.
    fn ready_node(&mut self) -> Option<usize> {
        let ready: Vec<usize> = (0..self.nodes.len())
            .filter(|index| self.nodes[*index].ready && self.nodes[*index].slot.is_running())
            .collect();
        let choice = self.workload_random.index(ready.len());
        ready.get(choice).copied()
    }

    fn send_change(
        &mut self,
        operator: usize,
        node: usize,
        resource: Resource,
        expected: Option<Offset>,
    ) {
        let body = ControlBody::Put {
            resource: resource.clone(),
            expected,
        };
        let question = OperatorRequest::Change(body);
        self.send_operator_request(operator, node, question, Some((resource, expected)));
    }

    fn read_raced(&mut self, operator: usize, node: usize) {
        let question = OperatorRequest::Get {
            kind: Kind::Configuration,
            name: ResourceName::new(RACED_CONFIGURATION),
        };
        self.send_operator_request(operator, node, question, None);
    }

    fn read_all_nodes(&mut self, operator: usize) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].ready && self.nodes[node].slot.is_running() {
                self.read_raced(operator, node);
            }
        }
        self.schedule_operator(operator, READ_INTERVAL);
    }

    fn send_operator_request(
        &mut self,
        operator: usize,
        node: usize,
        question: OperatorRequest,
        change: Option<(Resource, Option<Offset>)>,
    ) {
        self.requests_made += 1;
        let request = self.requests_made;
        let to = self.node_start(node);
        let pending = PendingOperatorRequest {
            operator,
            to,
            submitted: self.now,
            change,
        };
        self.operator_requests.insert(request, pending);
        let event = Event::OperatorRequest {
            to,
            request,
            question: Box::new(question),
        };
        self.schedule(REPLY_DELAY, event);
        let event = OperatorEvent::Timeout { request };
        self.schedule(REPLY_TIMEOUT, Event::Operator { operator, event });
    }

    /// Delivers an operator's request to its node.
    pub(super) fn on_operator_request(
        &mut self,
        to: NodeStart,
        request: RequestId,
        question: OperatorRequest,
    ) {
        self.deliver_to_node(to, NodeEvent::Operator { request, question });
    }

    /// Schedules the delivery of a node's reply to an operator.
    pub(super) fn reply_to_operator(&mut self, request: RequestId, reply: OperatorReply) {
        if let Some(pending) = self.operator_requests.get(&request) {
            let event = OperatorEvent::Reply {
                request,
                reply: Box::new(reply),
            };
            let operator = pending.operator;
            self.schedule(REPLY_DELAY, Event::Operator { operator, event });
        }
    }

    fn on_operator_reply(&mut self, request: RequestId, reply: OperatorReply) {
        let Some(pending) = self.operator_requests.remove(&request) else {
            return;
        };
        match (reply, pending.change.clone()) {
            (OperatorReply::Changed(result), Some((resource, expected))) => {
                self.trace.line(
                    self.now,
                    format_args!(
                        "operator {}: {} on node-{}: {:?}",
                        pending.operator,
                        resource.metadata.name,
                        pending.to.node,
                        result.as_ref().map(|change| change.revision)
                    ),
                );
                let change = OperatorChange {
                    at: self.now,
                    submitted: pending.submitted,
                    operator: pending.operator,
                    node: pending.to.node,
                    resource,
                    expected,
                    result,
                };
                self.apply_change_result(&change);
                self.observations.changes.push(change);
            }
            (OperatorReply::Resource(resource), None) => self.record_read(&pending, resource),
            _ => {}
        }
        self.after_reply(pending.operator);
    }

    fn apply_change_result(&mut self, change: &OperatorChange) {
        let already_exists = matches!(
            change.result,
            Err(elderworks_control::ControlError::Conflict { .. })
        );
        match &mut self.operators[change.operator].role {
            Role::Setup(remaining) if change.result.is_ok() || already_exists => {
                remaining.pop_front();
            }
            Role::Racer { last_revision } => {
                *last_revision = change
                    .result
                    .as_ref()
                    .ok()
                    .map(|accepted| accepted.revision);
            }
            Role::Setup(_) | Role::Reader => {}
        }
    }

    fn record_read(&mut self, pending: &PendingOperatorRequest, resource: Option<Resource>) {
        let revision = resource
            .as_ref()
            .map_or(Offset(0), |resource| resource.metadata.revision);
        if let Role::Racer { last_revision } = &mut self.operators[pending.operator].role {
            *last_revision = Some(revision);
        }
        self.observations.reads.push(OperatorRead {
            at: self.now,
            submitted: pending.submitted,
            node: pending.to.node,
            generation: pending.to.generation,
            kind: Kind::Configuration,
            name: ResourceName::new(RACED_CONFIGURATION),
            resource,
        });
    }

    fn after_reply(&mut self, operator: usize) {
        match &self.operators[operator].role {
            Role::Setup(remaining) if remaining.is_empty() => {
                if self.configured_at.is_none() {
                    self.on_configured();
                }
            }
            Role::Setup(_) => self.schedule_operator(operator, REPLY_DELAY),
            Role::Racer { .. } => {
                let pause = self
                    .workload_random
                    .duration(MIN_RACE_PAUSE, MAX_RACE_PAUSE);
                self.schedule_operator(operator, pause);
            }
            Role::Reader => {}
        }
    }
}
