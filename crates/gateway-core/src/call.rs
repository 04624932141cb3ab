//! What a caller says about a request, apart from its method, path and body.

use std::time::Duration;

use crate::tenants::Credential;

/// A part of a prompt that may be shared with other requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Name of the part; equal names mean equal text.
    pub id: String,
    /// Its length in tokens.
    pub tokens: u64,
}

/// Attributes of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallAttributes {
    /// The key that the request bears.
    pub credential: Credential,
    /// Name of this try of the request; never used twice.
    pub request_id: Option<String>,
    /// How long the caller will wait from now.
    pub deadline: Option<Duration>,
    /// Object that the request concerns.
    pub affinity_key: Option<String>,
    /// Program under way that the request belongs to.
    pub program: Option<String>,
    /// Line of turns within the program.
    pub session: Option<String>,
    /// Time left from now before the whole program should be over.
    pub finish: Option<Duration>,
    /// Tokens that all turns of the program may generate together.
    pub token_budget: Option<u64>,
    /// Tokens that this turn generates at most.
    pub max_tokens: u64,
    /// The kept turn that this one goes on from.
    pub previous_turn: Option<String>,
    /// The prompt's parts in order.
    pub prompt: Vec<PromptSegment>,
    /// Last event of the stream that the caller has received.
    pub last_event_id: Option<String>,
}

impl CallAttributes {
    /// What requests have in common that are best run by the same worker.
    pub fn placement_key(&self) -> Option<&str> {
        self.program
            .as_deref()
            .or(self.affinity_key.as_deref())
            .or_else(|| self.prompt.first().map(|segment| segment.id.as_str()))
    }
}
