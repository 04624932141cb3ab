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

    /// Takes back a request to a back end that was decided and is not carried out yet; whether there
    /// was one.
    pub(crate) fn withdraw_request(&mut self, withdrawn: Ticket) -> bool {
        let before = self.effects.len();
        self.effects.retain(|effect| match effect {
            Effect::Generate(request) => request.ticket != withdrawn,
            Effect::InvokeTool { ticket, .. } => *ticket != withdrawn,
            _ => true,
        });
        self.effects.len() < before
    }

    pub(crate) fn next_step(&mut self) -> Option<Step> {
        self.steps.pop_front()
    }

    pub(crate) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }
}
