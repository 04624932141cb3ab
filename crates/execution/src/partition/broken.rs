//! Deliberately incorrect behaviour, used to test that checkers detect it. Compiled only with the
//! cargo feature `broken`.

use elderworks_types::{Attempt, CallId, CallRequest, Message};

use super::Partition;
use crate::effect::DispatchHints;
use crate::soft_state::Submission;
use crate::{BackendRequest, Effect};

impl Partition {
    /// Sends a tool call before its acceptance is journalled, if this fault is enabled.
    pub(super) fn dispatch_before_turn(&mut self, id: CallId, submission: &Submission) {
        if !self.settings.faults.dispatch_before_turn {
            return;
        }
        let (CallRequest::Tool(tool), Some(run)) =
            (&submission.spec.request, self.journal.runs.get(&id.run))
        else {
            return;
        };
        let hints = DispatchHints {
            tenant: run.spec.tenant.clone(),
            program: run.spec.program.clone(),
            run_started: run.started,
            attained: run.attained,
            turns: run.calls.len() as u32,
            run_deadline: run.spec.deadline,
            call_deadline: submission.spec.deadline,
            priority: run.limits.priority,
            parent: run.spec.parent,
            timeout: submission.terms.timeout,
        };
        self.emit(Effect::Dispatch {
            call: id,
            attempt: Attempt(1),
            request: BackendRequest::Tool {
                tool: tool.tool.clone(),
                arguments: tool.arguments.clone(),
                idempotency_key: id.to_string(),
            },
            hints,
        });
    }

    /// Returns an incorrect prompt if one of the prompt faults is enabled.
    pub(super) fn wrong_prompt(&self, id: CallId) -> Option<Vec<Message>> {
        if self.settings.faults.mix_histories {
            return Some(self.journal.runs.values().next()?.history());
        }
        if !self.settings.faults.forget_history {
            return None;
        }
        match &self.journal.open_call(id)?.spec.request {
            CallRequest::Model(model) => Some(model.messages.clone()),
            CallRequest::Tool(_) => None,
        }
    }
}
