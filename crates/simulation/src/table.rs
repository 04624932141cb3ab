//! The fault table: every fault at every point of a call's lifecycle, and every pair of faults.

use std::time::Duration;

use crate::fault::{CallPoint, Fault, FaultKind, When};
use crate::kernel::{Purpose, Random};
use crate::run::Plan;
use crate::scenario::Preset;

/// Shortest duration of a fault.
const MIN_DURATION: Duration = Duration::from_millis(500);
/// Longest duration of a fault.
const MAX_DURATION: Duration = Duration::from_secs(6);
/// Exclusive upper bound of the occurrence of a call point at which a fault starts.
const MAX_POINT_COUNT: u64 = 20;

/// Returns the plans of one seed for the whole table: one for each fault at each [`CallPoint`], and
/// one for each pair of faults, both at the same randomly drawn point but each at its own
/// occurrence of it.
pub fn fault_table(seed: u64, preset: Preset) -> Vec<Plan> {
    let mut random = Random::new(seed, Purpose::Faults);
    let mut plans = Vec::new();
    for kind in FaultKind::all() {
        for point in CallPoint::ALL {
            let fault = fault_at(kind, point, &mut random);
            plans.push(Plan::with_schedule(seed, preset, vec![fault]));
        }
    }
    for (first, second) in pairs() {
        let point = CallPoint::ALL[random.index(CallPoint::ALL.len())];
        let schedule = vec![
            fault_at(first, point, &mut random),
            fault_at(second, point, &mut random),
        ];
        plans.push(Plan::with_schedule(seed, preset, schedule));
    }
    plans
}

fn pairs() -> impl Iterator<Item = (FaultKind, FaultKind)> {
    FaultKind::all().flat_map(|first| {
        FaultKind::all()
            .filter(move |second| *second >= first)
            .map(move |second| (first, second))
    })
}

fn fault_at(kind: FaultKind, point: CallPoint, random: &mut Random) -> Fault {
    Fault {
        kind,
        when: When::Reached(point, random.in_range(1, MAX_POINT_COUNT) as u32),
        lasts: random.duration(MIN_DURATION, MAX_DURATION),
        victim: random.next_u64() as u32,
    }
}
