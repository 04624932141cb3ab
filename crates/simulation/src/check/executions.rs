//! When back ends ran which call.

use std::collections::BTreeMap;

use elderworks_types::CallId;

use crate::kernel::Instant;
use crate::observation::Observations;

/// Start times of every execution of every call, at engines and tools, in order of time.
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
