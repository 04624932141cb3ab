//! Calls that ended a short time ago.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hasher};

use elderworks_types::{CallId, CallNumber, CallSpec};

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
    /// Those of them that were given up, their fate unknown.
    abandoned: BTreeSet<CallId>,
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
            self.abandoned.remove(&oldest);
        }
    }

    /// Notes that an ended call was given up.
    pub fn abandon(&mut self, call: CallId) {
        if self.digests.contains_key(&call) {
            self.abandoned.insert(call);
        }
    }

    /// How many calls directly before this one were given up.
    pub fn abandoned_before(&self, call: CallId) -> u32 {
        let earlier = (1..call.number.0).rev().map(|number| CallId {
            run: call.run,
            number: CallNumber(number),
        });
        earlier
            .take_while(|earlier| self.abandoned.contains(earlier))
            .count() as u32
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
