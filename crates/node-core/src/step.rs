//! Work that one event leads to inside the node, in order.

use std::collections::VecDeque;

use elderworks_control as control;
use elderworks_execution as execution;
use elderworks_membership as membership;
use elderworks_placement::{self as placement, Ticket};
use elderworks_types::PartitionId;

use crate::effect::Effect;

/// An input for one of the composed state machines.
#[derive(Debug)]
pub(crate) enum Step {
    Control(control::Event),
    Membership(membership::Event),
    Partition(PartitionId, execution::Event),
    Placement(placement::Event),
}

/// An attempt that is about to be sent to a back end.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) ticket: Ticket,
    pub(crate) effect: Effect,
}

fn request_ticket(effect: &Effect) -> Option<Ticket> {
    match effect {
        Effect::Generate(generate) => Some(generate.ticket),
        Effect::InvokeTool { ticket, .. } => Some(*ticket),
        _ => None,
    }
}

/// Steps still to be taken and effects already decided, both in order.
///
/// State machines answer each other through this queue instead of calling each other, so that no
/// call nests and the order of effects depends on the events alone.
#[derive(Debug, Default)]
pub(crate) struct Agenda {
    steps: VecDeque<Step>,
    effects: Vec<Effect>,
}

impl Agenda {
    pub(crate) fn control(&mut self, event: control::Event) {
        self.steps.push_back(Step::Control(event));
    }

    pub(crate) fn membership(&mut self, event: membership::Event) {
        self.steps.push_back(Step::Membership(event));
    }

    pub(crate) fn partition(&mut self, partition: PartitionId, event: execution::Event) {
        self.steps.push_back(Step::Partition(partition, event));
    }

    pub(crate) fn placement(&mut self, event: placement::Event) {
        self.steps.push_back(Step::Placement(event));
    }

    pub(crate) fn effect(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Takes out the requests to back ends that were decided so far, in order.
    pub(crate) fn take_requests(&mut self) -> Vec<Request> {
        let mut requests = Vec::new();
        for effect in std::mem::take(&mut self.effects) {
            match request_ticket(&effect) {
                Some(ticket) => requests.push(Request { ticket, effect }),
                None => self.effects.push(effect),
            }
        }
        requests
    }

    pub(crate) fn next_step(&mut self) -> Option<Step> {
        self.steps.pop_front()
    }

    pub(crate) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }
}
