//! Each deliberately broken variant is detected by the checker of the invariant that it breaks.

use elderworks_simulation::broken::BrokenVariant;
use elderworks_simulation::{Plan, Preset, run};

/// Number of seeds within which each variant must be detected.
const SEEDS: u64 = 100;

fn is_caught(variant: &BrokenVariant) -> bool {
    (0..SEEDS).any(|seed| {
        let mut plan = Plan::with_random_faults(seed, Preset::Lublin, variant.faults);
        let unbroken = run(&plan);
        let detected_unbroken = unbroken
            .violations
            .iter()
            .any(|violation| violation.invariant == variant.invariant);
        variant.apply(&mut plan);
        let broken = run(&plan);
        let detected = broken
            .violations
            .iter()
            .any(|violation| violation.invariant == variant.invariant);
        detected && !detected_unbroken
    })
}

#[test]
fn every_variant_is_caught() {
    let missed: Vec<&str> = BrokenVariant::all()
        .iter()
        .filter(|variant| !is_caught(variant))
        .map(|variant| variant.name)
        .collect();
    assert!(missed.is_empty(), "not caught: {missed:?}");
    assert!(!BrokenVariant::all().is_empty());
}
