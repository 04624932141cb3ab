//! Attributes of a request that its caller sends in addition to method, path and body.

use std::time::Duration;

use crate::tenants::Credential;

/// A segment of a prompt that other requests may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Name of the segment; segments with equal names have equal text.
    pub id: String,
    /// Length in tokens.
    pub tokens: u64,
}

/// Attributes of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallAttributes {
    /// API key of the caller.
    pub credential: Credential,
    /// Unique id of this attempt of the caller.
    pub request_id: Option<String>,
    /// How long the caller will wait, from the arrival of the request.
    pub deadline: Option<Duration>,
    /// Object that the request concerns.
    pub affinity_key: Option<String>,
    /// Id of the running program that the request belongs to.
    pub program: Option<String>,
    /// Id of the sequence of turns within the program.
    pub session: Option<String>,
    /// Time until the deadline of the whole program, from the arrival of the request.
    pub finish: Option<Duration>,
    /// Maximum number of tokens that all turns of the program may generate together.
    pub token_budget: Option<u64>,
    /// Maximum number of tokens that this turn generates.
    pub max_tokens: u64,
    /// Id of the stored turn that this one continues.
    pub previous_turn: Option<String>,
    /// Segments of the prompt in order.
    pub prompt: Vec<PromptSegment>,
    /// Id of the last event of the stream that the caller has received.
    pub last_event_id: Option<String>,
    /// Id of the caller's attempt that began the stream, if this attempt takes it up again.
    pub resumes: Option<String>,
}

impl CallAttributes {
    /// Returns the affinity key: requests with the same key should run at the same worker.
    pub fn placement_key(&self) -> Option<&str> {
        self.program
            .as_deref()
            .or(self.affinity_key.as_deref())
            .or_else(|| self.prompt.first().map(|segment| segment.id.as_str()))
    }
}
