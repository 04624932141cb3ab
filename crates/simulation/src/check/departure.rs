//! Checks that an engine that has announced its departure receives no new requests after a few
//! seconds.

use std::time::Duration;

use super::{Invariant, Violation};
use crate::observation::Observations;

/// Maximum time until all nodes have learned of a departure.
const NOTICE_PERIOD: Duration = Duration::from_secs(4);

pub(super) fn check(observations: &Observations) -> Vec<Violation> {
    let mut violations = Vec::new();
    for departure in &observations.departures {
        let from = departure.at.after(NOTICE_PERIOD);
        let late_generation = observations.generations.iter().find(|generation| {
            let is_leaving = generation.at > from && generation.at < departure.until;
            is_leaving && generation.engine == departure.engine
        });
        if let Some(generation) = late_generation {
            let detail = format!(
                "{} accepted {} although leaving since {}",
                departure.engine, generation.ticket.call, departure.at
            );
            violations.push(Violation::new(
                Invariant::LeavingBackend,
                generation.at,
                detail,
            ));
        }
    }
    violations
}
