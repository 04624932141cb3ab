//! Execution of the steps of a run, one after the other.

use elderworks_types::{CallNumber, CallRequest};

use super::{LOCAL_DELAY, Phase, RETRY_INTERVAL, RequestKind};
use crate::scenario::Step;
use crate::world::World;
use crate::world::event::CallerEvent;
use crate::world::setup;

impl World {
    /// Performs the next action according to the caller's phase.
    pub(super) fn continue_caller(&mut self, index: usize) {
        match self.callers[index].phase {
            Phase::Starting => self.send_request(index, RequestKind::Start),
            Phase::Running if self.callers[index].open.is_empty() => self.take_step(index),
            Phase::Running | Phase::Done => {}
            Phase::Ending => self.end_or_wait(index),
        }
    }

    /// Ends the run, or waits until all of its sub-agents are done.
    fn end_or_wait(&mut self, index: usize) {
        let mut children = self
            .callers
            .iter()
            .filter(|caller| caller.parent == Some(index));
        if children.any(|child| !child.is_done()) {
            self.schedule_caller(index, RETRY_INTERVAL, CallerEvent::Continue);
        } else {
            self.send_request(index, RequestKind::End);
        }
    }

    fn take_step(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        let Some(step) = caller.steps.get(caller.position).copied() else {
            caller.phase = Phase::Ending;
            self.continue_caller(index);
            return;
        };
        if step != Step::Endless {
            caller.position += 1;
        }
        match step {
            Step::Model | Step::Endless => self.make_model_call(index),
            Step::Lookup => self.make_tool_call(index, "cadastre", true),
            Step::Submit { keyed: true } => self.make_tool_call(index, "registry", false),
            Step::Submit { keyed: false } => self.make_tool_call(index, "mailbox", false),
            Step::Crossed => self.make_crossed_calls(index),
            Step::Pause(duration) => self.schedule_caller(index, duration, CallerEvent::Continue),
            Step::Spawn => self.spawn(index),
            Step::Read => self.send_request(index, RequestKind::Read),
        }
    }

    fn make_model_call(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        let number = caller.next_number();
        let text = format!(
            "question {number} of {} for {}",
            caller.spec.id, caller.spec.tenant
        );
        let request = setup::model_request(&caller.history(), text);
        let spec = setup::call_spec(number, CallRequest::Model(request), true);
        caller.open.insert(number, spec);
        self.submit(index, number);
    }

    fn make_tool_call(&mut self, index: usize, tool: &str, repeatable: bool) {
        let number = self.prepare_tool_call(index, tool, repeatable);
        self.submit(index, number);
    }

    fn prepare_tool_call(&mut self, index: usize, tool: &str, repeatable: bool) -> CallNumber {
        let caller = &mut self.callers[index];
        let number = caller.next_number();
        let request = setup::tool_request(caller.spec.id, number, tool);
        let mut spec = setup::call_spec(number, CallRequest::Tool(request), repeatable);
        if !repeatable {
            spec.idempotency_key = Some(format!("{}/{number}", caller.spec.id));
        }
        caller.open.insert(number, spec);
        number
    }

    /// Submits two concurrent calls, the later one first, through different sidecars.
    fn make_crossed_calls(&mut self, index: usize) {
        let earlier = self.prepare_tool_call(index, "cadastre", true);
        let later = self.prepare_tool_call(index, "cadastre", true);
        self.submit(index, later);
        self.change_sidecar(index);
        self.schedule_caller(
            index,
            LOCAL_DELAY,
            CallerEvent::Resubmit { number: earlier },
        );
    }

    fn spawn(&mut self, parent: usize) {
        let child = self.draw_child(parent);
        self.callers.push(child);
        let index = self.callers.len() - 1;
        self.schedule_caller(index, LOCAL_DELAY, CallerEvent::Continue);
        self.schedule_caller(parent, LOCAL_DELAY, CallerEvent::Continue);
    }

    /// Submits a call, possibly again, if it is still open.
    pub(super) fn submit(&mut self, index: usize, number: CallNumber) {
        if self.callers[index].phase == Phase::Running
            && self.callers[index].open.contains_key(&number)
        {
            self.send_request(index, RequestKind::Call(number));
        }
    }

    pub(super) fn retry_request(&mut self, index: usize) {
        match self.callers[index].phase {
            Phase::Running if self.callers[index].open.is_empty() => {
                self.send_request(index, RequestKind::Read)
            }
            _ => self.continue_caller(index),
        }
    }
}
