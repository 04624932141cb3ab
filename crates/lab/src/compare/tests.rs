//! Tests that experiments are deterministic and that metrics are consistent.

use std::time::Duration;

use super::experiment::{self, ExperimentSettings};
use super::fleet::FleetSettings;
use super::policy::{POLICIES, PolicyKind};
use super::statistics::{Estimate, percentile};
use crate::workload::Preset;

fn small_experiment(policy: PolicyKind) -> ExperimentSettings {
    let mut preset = Preset::named("lublin").unwrap();
    preset.horizon = Duration::from_secs(60);
    preset.workers = 3;
    preset.nodes = 3;
    ExperimentSettings {
        preset,
        load: 0.6,
        policy,
        seed: 11,
        fleet: FleetSettings::default(),
    }
}

#[test]
fn every_policy_finishes_every_program_and_respects_the_bound() {
    for policy in POLICIES {
        let metrics = experiment::run(&small_experiment(policy));
        let name = policy.name();
        assert_eq!(metrics.unfinished, 0.0, "{name}");
        assert!(metrics.mean >= metrics.bound.mean, "{name}");
        assert!(metrics.p95 >= metrics.bound.p95, "{name}");
        assert!(metrics.fairness > 0.0 && metrics.fairness <= 1.0, "{name}");
    }
}

#[test]
fn equal_seeds_give_equal_metrics() {
    for policy in [PolicyKind::LeastLoaded, PolicyKind::Elderworks] {
        let first = experiment::run(&small_experiment(policy));
        let second = experiment::run(&small_experiment(policy));
        assert_eq!(format!("{first:?}"), format!("{second:?}"));
    }
}

#[test]
fn percentiles_use_the_nearest_rank() {
    let values = [1.0, 2.0, 3.0, 4.0];
    for (share, expected) in [(0.0, 1.0), (0.25, 1.0), (0.5, 2.0), (0.95, 4.0), (1.0, 4.0)] {
        assert_eq!(percentile(&values, share), expected, "share {share}");
    }
    assert_eq!(percentile(&[], 0.5), 0.0);
}

#[test]
fn confidence_intervals_use_the_student_t_quantile() {
    let estimate = Estimate::of(&[1.0, 3.0]);
    assert_eq!(estimate.mean, 2.0);
    assert!((estimate.half_width - 12.706).abs() < 1e-9);
    assert_eq!(Estimate::of(&[5.0]).half_width, 0.0);
}
