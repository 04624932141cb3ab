//! Queue of the internal steps and effects that result from one event.

use std::collections::VecDeque;

use elderworks_control as control;
use elderworks_execution as execution;
use elderworks_membership as membership;
use elderworks_placement::{self as placement, Ticket};
use elderworks_types::PartitionId;

use crate::effect::Effect;

/// An event for one of the composed state machines.
#[derive(Debug)]
pub(crate) enum Step {
    Control(control::Event),
    Membership(membership::Event),
    Partition(PartitionId, execution::Event),
    Placement(placement::Event),
}

/// An effect that sends an attempt to a back end.
#[derive(Debug)]
pub(crate) struct BackEndRequest {
    pub(crate) ticket: Ticket,
    pub(crate) effect: Effect,
}

/// Returns the attempt of an effect that sends one to a back end.
fn request_ticket(effect: &Effect) -> Option<Ticket> {
    match effect {
        Effect::Generate(generate) => Some(generate.ticket),
        Effect::InvokeTool { ticket, .. } => Some(*ticket),
        _ => None,
    }
}

/// Pending steps and decided effects, both in order.
///
/// The state machines send events to each other through this queue instead of calling each other. This
/// avoids nested calls and makes the order of effects depend on the order of events only.
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

    /// Removes the requests to back ends from the effects and returns them in order.
    pub(crate) fn take_requests(&mut self) -> Vec<BackEndRequest> {
        let mut requests = Vec::new();
        for effect in std::mem::take(&mut self.effects) {
            match request_ticket(&effect) {
                Some(ticket) => requests.push(BackEndRequest { ticket, effect }),
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
