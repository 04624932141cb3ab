//! Property test: the invariants hold for random sequences of crashes, pauses, takeovers and lost
//! responses.

mod common;

use common::chaos::{Chaos, NODES, Step};
use elderworks_execution::ExecutionSettings;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SEED: [u8; 32] = *b"execution-crashes-0123456789abcd";

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    let pick = 0..8usize;
    prop_oneof![
        6 => (0..2u64, any::<bool>(), any::<bool>())
            .prop_map(|(run, tool, reordered)| Step::Submit { run, tool, reordered }),
        3 => node.clone().prop_map(|node| Step::Resubmit { node }),
        12 => (node.clone(), 0..3usize).prop_map(|(node, copies)| Step::Flush { node, copies }),
        14 => (node.clone(), 1..6usize)
            .prop_map(|(node, records)| Step::Deliver { node, records }),
        8 => (pick.clone(), prop::bool::weighted(0.1))
            .prop_map(|(pick, refuse)| Step::Place { pick, refuse }),
        8 => (pick.clone(), prop::bool::weighted(0.2))
            .prop_map(|(pick, lose)| Step::Execute { pick, lose }),
        8 => (pick, prop::bool::weighted(0.2), prop::bool::weighted(0.2))
            .prop_map(|(pick, partial, lose)| Step::Answer { pick, partial, lose }),
        3 => node.clone().prop_map(|node| Step::Claim { node }),
        1 => node.clone().prop_map(|node| Step::Release { node }),
        2 => node.clone().prop_map(|node| Step::Pause { node }),
        3 => node.clone().prop_map(|node| Step::Unpause { node }),
        1 => node.clone().prop_map(|node| Step::Restart { node }),
        1 => node.clone().prop_map(|node| Step::Snapshot { node }),
        2 => prop::bool::weighted(0.7).prop_map(|up| Step::LogUp { up }),
        1 => (0..2u64, node).prop_map(|(run, node)| Step::EndRun { run, node }),
        6 => (10..2_000u64).prop_map(|millis| Step::AdvanceTime { millis }),
    ]
}

/// Sums of counters over a set of histories, to check that each kind of event occurred.
#[derive(Default)]
struct Coverage {
    completed: u64,
    refused: u64,
    failed: u64,
    unknown: u64,
    retries: u64,
    resumed: u64,
    queried: u64,
    fenced: u64,
    repeated: u64,
}

impl Coverage {
    fn add(&mut self, chaos: &Chaos) {
        for node in &chaos.world.nodes {
            let counters = node.partition.counters();
            self.completed += counters.calls_completed;
            self.refused += counters.calls_refused;
            self.failed += counters.calls_failed;
            self.unknown += counters.calls_unknown;
            self.retries += counters.retries;
            self.resumed += counters.resumed;
            self.queried += counters.tool_queries;
            self.fenced += counters.fenced;
            self.repeated += counters.records_repeated;
        }
    }

    fn min_count(&self) -> u64 {
        let counts = [
            self.completed,
            self.refused,
            self.failed,
            self.unknown,
            self.retries,
            self.resumed,
            self.queried,
            self.fenced,
            self.repeated,
        ];
        counts.into_iter().min().unwrap_or_default()
    }
}

/// Runs random histories with `settings`. Returns their coverage, or the description of the first
/// failure.
fn run_histories(settings: &ExecutionSettings, cases: u32) -> Result<Coverage, String> {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let coverage = std::cell::RefCell::new(Coverage::default());
    let steps = prop::collection::vec(step(), 20..300);
    let result = runner.run(&steps, |steps| {
        let mut chaos = Chaos::new(settings.clone());
        for step in &steps {
            chaos.step(step);
        }
        chaos.recover_and_end_runs();
        chaos.check();
        coverage.borrow_mut().add(&chaos);
        Ok(())
    });
    match result {
        Ok(()) => Ok(coverage.into_inner()),
        Err(error) => Err(error.to_string()),
    }
}

#[test]
fn invariants_survive_random_histories() {
    let settings = ExecutionSettings {
        snapshot_interval: 25,
        ..ExecutionSettings::default()
    };
    let coverage = run_histories(&settings, 1_500).unwrap_or_else(|error| panic!("{error}"));
    assert!(
        coverage.min_count() > 10,
        "some kind of event occurred too rarely"
    );
}

/// Guards against checks that would miss a fault: every injected fault must fail the property test.
#[cfg(feature = "broken")]
#[test]
fn deliberately_broken_variants_are_caught() {
    use elderworks_execution::Faults;

    let variants = [
        (
            "no_fencing",
            Faults {
                no_fencing: true,
                ..Faults::default()
            },
        ),
        (
            "no_dedup",
            Faults {
                no_dedup: true,
                ..Faults::default()
            },
        ),
        (
            "no_reservation",
            Faults {
                no_reservation: true,
                ..Faults::default()
            },
        ),
        (
            "release_not_retried",
            Faults {
                release_not_retried: true,
                ..Faults::default()
            },
        ),
        (
            "resend_after_takeover",
            Faults {
                resend_after_takeover: true,
                ..Faults::default()
            },
        ),
        (
            "refuse_after_dispatch",
            Faults {
                refuse_after_dispatch: true,
                ..Faults::default()
            },
        ),
        (
            "mix_histories",
            Faults {
                mix_histories: true,
                ..Faults::default()
            },
        ),
    ];
    for (name, faults) in variants {
        let settings = ExecutionSettings {
            faults,
            ..ExecutionSettings::default()
        };
        let error = run_histories(&settings, 1_000).err();
        let error = error.unwrap_or_else(|| panic!("{name} was not detected"));
        let reason = error.lines().next().unwrap_or_default();
        println!("{name}: {reason}");
    }
}
