//! Calls that ended a short time ago.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hasher};

use elderworks_types::{CallId, CallSpec};

use crate::request::without_deadline;

/// Most ended calls remembered.
pub const REMEMBERED_CALLS: usize = 4096;

/// Ended calls by id, with a digest of what they asked for. While a call is remembered, its number
/// cannot be used for something else, so a repeated end of the old call is never taken for the end
/// of a new one.
#[derive(Debug, Default)]
pub struct FinishedCalls {
    digests: BTreeMap<CallId, u64>,
    order: VecDeque<CallId>,
}

impl FinishedCalls {
    /// Notes an ended call.
    pub fn remember(&mut self, call: CallId, spec: &CallSpec) {
        if self.digests.insert(call, digest(spec)).is_none() {
            self.order.push_back(call);
        }
        if self.order.len() > REMEMBERED_CALLS
            && let Some(oldest) = self.order.pop_front()
        {
            self.digests.remove(&oldest);
        }
    }

    /// Whether the call's number was used for something else.
    pub fn conflicts(&self, call: CallId, spec: &CallSpec) -> bool {
        self.digests
            .get(&call)
            .is_some_and(|known| *known != digest(spec))
    }
}

fn digest(spec: &CallSpec) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(&elderworks_protocol::encode(&without_deadline(spec)));
    hasher.finish()
}
