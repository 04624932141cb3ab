//! Checks that engines hold no memory for runs whose end was confirmed to a caller.

use std::collections::BTreeSet;

use super::{Invariant, Violation};
use crate::observation::Observations;

pub(super) fn check(observations: &Observations) -> Vec<Violation> {
    let ended = observations.run_ends.iter().map(|end| end.run);
    let ended: BTreeSet<_> = ended.collect();
    let held = observations.holdings.iter();
    held.filter(|holding| ended.contains(&holding.run))
        .map(|holding| {
            let detail = format!(
                "{} holds memory for {}, which has ended",
                holding.engine, holding.run
            );
            Violation::new(Invariant::MemoryFreed, observations.ended, detail)
        })
        .collect()
}
