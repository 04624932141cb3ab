//! The history of a run: the messages that the next prompt can start with.
//!
//! Each message is stored once, in the call that sent or produced it. The context refers to
//! messages by index.

use elderworks_types::{CallRequest, Message, Outcome, Role};
use serde::{Deserialize, Serialize};

use super::run::{CallState, RunState};

/// Reference to one message of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ContextEntry {
    /// A message sent by a call.
    Sent {
        /// Index in [`RunState::calls`].
        call: u32,
        /// Index in the call's messages.
        message: u32,
    },
    /// The answer to a call.
    Answer {
        /// Index in [`RunState::calls`].
        call: u32,
    },
}

impl RunState {
    /// Returns all messages of the context in order.
    pub fn history(&self) -> Vec<Message> {
        self.messages(&self.context)
    }

    /// Returns all messages that any call sent or received, in order, including those that a later
    /// call removed from its prompt.
    pub fn full_history(&self) -> Vec<Message> {
        let mut messages = Vec::new();
        for call in &self.calls {
            messages.extend(sent_messages(call).iter().cloned());
            messages.extend(answer_message(call));
        }
        messages
    }

    /// Returns the first `prefix` messages of the context followed by `messages`, or `None` if the
    /// context is shorter than `prefix`.
    pub fn prompt(&self, prefix: u32, messages: &[Message]) -> Option<Vec<Message>> {
        let entries = self.context.get(..prefix as usize)?;
        let mut prompt = self.messages(entries);
        prompt.extend_from_slice(messages);
        Some(prompt)
    }

    fn messages(&self, entries: &[ContextEntry]) -> Vec<Message> {
        entries
            .iter()
            .filter_map(|entry| self.message(*entry))
            .collect()
    }

    fn message(&self, entry: ContextEntry) -> Option<Message> {
        match entry {
            ContextEntry::Sent { call, message } => {
                let call = self.calls.get(call as usize)?;
                sent_messages(call).get(message as usize).cloned()
            }
            ContextEntry::Answer { call } => answer_message(self.calls.get(call as usize)?),
        }
    }

    /// Truncates the context to the prefix that the call uses and appends the call's messages. Must
    /// be called before the call is added to [`Self::calls`]. Returns the removed entries.
    pub fn extend_context(&mut self, request: &CallRequest) -> Vec<ContextEntry> {
        let CallRequest::Model(model) = request else {
            return Vec::new();
        };
        let call = self.calls.len() as u32;
        let prefix = self.context.len().min(model.history_prefix as usize);
        let dropped = self.context.split_off(prefix);
        let count = model.messages.len() as u32;
        let sent = (0..count).map(|message| ContextEntry::Sent { call, message });
        self.context.extend(sent);
        dropped
    }

    /// Reverts [`Self::extend_context`] for a refused call, after its removal from [`Self::calls`].
    pub fn restore_context(&mut self, call: CallState) {
        let CallRequest::Model(model) = &call.spec.request else {
            return;
        };
        let prefix = self.context.len().saturating_sub(model.messages.len());
        self.context.truncate(prefix);
        self.context.extend(call.dropped);
    }
}

fn sent_messages(call: &CallState) -> &[Message] {
    match &call.spec.request {
        CallRequest::Model(model) => &model.messages,
        CallRequest::Tool(_) => &[],
    }
}

fn answer_message(call: &CallState) -> Option<Message> {
    let Outcome::Completed(answer) = &call.end.as_ref()?.outcome else {
        return None;
    };
    let role = match call.spec.request {
        CallRequest::Model(_) => Role::Assistant,
        CallRequest::Tool(_) => Role::Tool,
    };
    Some(Message::new(role, answer.content.clone()))
}
