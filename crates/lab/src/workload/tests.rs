//! Tests that workloads are deterministic and that block hashes reflect shared segments.

use super::chain::{BLOCK_TOKENS, run_block_hashes};
use super::{AfterTurn, Preset, ProgramPlan, RunPlan, Segment, Turn, capacity, generate};

const PRESETS: [&str; 3] = ["lublin", "ulaanbaatar", "target"];

fn describe(programs: &[ProgramPlan]) -> String {
    format!("{programs:?}")
}

#[test]
fn equal_seeds_give_equal_programs() {
    let preset = Preset::named("lublin").unwrap();
    let first = generate::programs(&preset, 0.05, 3);
    let second = generate::programs(&preset, 0.05, 3);
    let other = generate::programs(&preset, 0.05, 4);
    assert_eq!(describe(&first), describe(&second));
    assert_ne!(describe(&first), describe(&other));
}

#[test]
fn arrivals_meet_the_load_and_peak_in_the_middle() {
    for name in PRESETS {
        let preset = Preset::named(name).unwrap();
        let programs = generate::programs(&preset, 0.5, 1);
        let horizon = preset.horizon.as_secs_f64();
        let expected = capacity::programs_per_second(&preset) * 0.5 * horizon;
        let ratio = programs.len() as f64 / expected;
        assert!((0.9..1.1).contains(&ratio), "{name}: {ratio}");
        let in_rush = programs
            .iter()
            .filter(|plan| (plan.arrival.as_secs_f64() / horizon - 0.5).abs() < 0.2)
            .count() as f64;
        let expected_in_rush = programs.len() as f64 * 0.4 * preset.rush_peak;
        let ratio = in_rush / expected_in_rush;
        assert!((0.9..1.1).contains(&ratio), "{name} in the rush: {ratio}");
    }
}

#[test]
fn arrival_fractions_add_up_to_one() {
    for name in PRESETS {
        let preset = Preset::named(name).unwrap();
        let sum: f64 = preset
            .classes
            .iter()
            .map(|class| class.arrival_fraction)
            .sum();
        assert!((sum - 1.0).abs() < 1e-9, "{name}: {sum}");
    }
}

#[test]
fn block_hashes_match_exactly_for_common_segments() {
    let segment = |identity, blocks| Segment {
        identity,
        tokens: blocks * BLOCK_TOKENS,
    };
    let run = |segments: &[Segment]| RunPlan {
        segments: segments.to_vec(),
        turns: vec![Turn {
            prompt: 40,
            output: 24,
            after: AfterTurn::End,
        }],
    };
    let first = run_block_hashes(&run(&[segment(1, 4), segment(2, 3)]), 100);
    let second = run_block_hashes(&run(&[segment(1, 4), segment(3, 3)]), 101);
    let same_segments = run_block_hashes(&run(&[segment(1, 4), segment(2, 3)]), 102);
    let common = |left: &[u64], right: &[u64]| {
        left.iter()
            .zip(right)
            .take_while(|(left, right)| left == right)
            .count()
    };
    assert_eq!(first.len(), 11);
    assert_eq!(common(&first, &second), 4);
    assert_eq!(common(&first, &same_segments), 7);
}
