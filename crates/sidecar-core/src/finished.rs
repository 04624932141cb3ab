//! Recently ended calls.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hasher};

use elderworks_types::{CallId, CallNumber, CallSpec};

use crate::request::without_deadline;

/// Maximum number of ended calls kept.
pub const MAX_FINISHED_CALLS: usize = 4096;

/// Recently ended calls by id, with a digest of their spec.
///
/// While a call is kept, its number can't be reused for a different call. A duplicate end message
/// for the old call is thus never attributed to a new one.
#[derive(Debug, Default)]
pub struct FinishedCalls {
    digests: BTreeMap<CallId, u64>,
    order: VecDeque<CallId>,
    /// The calls that were abandoned with an unknown outcome.
    abandoned: BTreeSet<CallId>,
}

impl FinishedCalls {
    /// Records an ended call, evicting the oldest one if there are too many.
    pub fn record(&mut self, call: CallId, spec: &CallSpec) {
        if self.digests.insert(call, digest(spec)).is_none() {
            self.order.push_back(call);
        }
        if self.order.len() > MAX_FINISHED_CALLS
            && let Some(oldest) = self.order.pop_front()
        {
            self.digests.remove(&oldest);
            self.abandoned.remove(&oldest);
        }
    }

    /// Marks an ended call as abandoned.
    pub fn mark_abandoned(&mut self, call: CallId) {
        if self.digests.contains_key(&call) {
            self.abandoned.insert(call);
        }
    }

    /// Returns the number of calls immediately preceding `call` in its run that were abandoned.
    pub fn abandoned_before(&self, call: CallId) -> u32 {
        let earlier = (1..call.number.0).rev().map(|number| CallId {
            run: call.run,
            number: CallNumber(number),
        });
        earlier
            .take_while(|earlier| self.abandoned.contains(earlier))
            .count() as u32
    }

    /// Returns whether the call's number was used with a different spec.
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
