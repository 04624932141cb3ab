//! Non-determinism: two runs with the same seed must produce the same trace.

use elderworks_simulation::{FaultKind, Plan, Preset, run};

const SEEDS: [u64; 3] = [1, 7, 42];

#[test]
fn two_runs_of_one_seed_have_one_digest() {
    let kinds: Vec<FaultKind> = FaultKind::all().collect();
    for seed in SEEDS {
        for preset in [Preset::Lublin, Preset::Ulaanbaatar] {
            let plan = Plan::with_random_faults(seed, preset, &kinds);
            let first = run(&plan);
            let second = run(&plan);
            assert_eq!(first.digest, second.digest, "seed {seed}, {preset:?}");
            assert_eq!(first.totals, second.totals, "seed {seed}, {preset:?}");
        }
    }
}

#[test]
fn fault_names_are_read_back() {
    for kind in FaultKind::all() {
        assert_eq!(kind.to_string().parse(), Ok(kind));
    }
    assert!("earthquake".parse::<FaultKind>().is_err());
}
