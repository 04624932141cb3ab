//! Start times of calls at back ends.

use std::collections::BTreeMap;

use elderworks_types::CallId;

use crate::kernel::Instant;
use crate::observation::Observations;

/// Returns the start times of all executions of each call, at engines and tools, in chronological
/// order.
pub(super) fn executions(observations: &Observations) -> BTreeMap<CallId, Vec<Instant>> {
    let generations = observations.generations.iter();
    let invocations = observations.invocations.iter();
    let mut starts: BTreeMap<CallId, Vec<Instant>> = BTreeMap::new();
    for generation in generations {
        let call = generation.ticket.call;
        starts.entry(call).or_default().push(generation.at);
    }
    for invocation in invocations {
        let call = invocation.ticket.call;
        starts.entry(call).or_default().push(invocation.at);
    }
    for times in starts.values_mut() {
        times.sort_unstable();
    }
    starts
}
