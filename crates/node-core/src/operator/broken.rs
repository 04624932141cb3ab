//! Deliberate faults in the replies to operators, which show that the checkers detect them. Compiled only
//! with the feature `broken`.

use elderworks_control as control;
use elderworks_control::Change;

use crate::core::NodeCore;
use crate::effect::{Effect, OperatorReply};
use crate::event::RequestId;

impl NodeCore {
    /// Reports a change as accepted before its record has been read back, so that it may still be rejected.
    pub(super) fn accept_unread(&mut self, request: RequestId, body: &control::ControlBody) {
        if !self.settings.execution.faults.accept_unread {
            return;
        }
        let control::ControlBody::Put { resource, .. } = body else {
            return;
        };
        let change = Change {
            revision: self.control.next(),
            kind: resource.spec.kind(),
            name: resource.metadata.name.clone(),
            resource: Some(resource.clone()),
        };
        self.agenda.effect(Effect::OperatorReply {
            request,
            reply: OperatorReply::Changed(Ok(change)),
        });
    }
}
