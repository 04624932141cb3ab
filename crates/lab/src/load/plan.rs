//! Seeded plan of program arrivals and prompts.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

/// Model calls per program.
const TURNS: std::ops::RangeInclusive<usize> = 2..=6;
/// Words per prompt.
const PROMPT_WORDS: std::ops::RangeInclusive<usize> = 20..=200;
/// Limit on the output tokens of a call.
const MAX_OUTPUT: std::ops::RangeInclusive<u64> = 32..=160;

/// Vocabulary of the prompts.
const WORDS: [&str; 12] = [
    "parcel", "boundary", "meal", "diet", "declare", "north", "resident", "week", "area", "claim",
    "order", "sheet",
];

/// All programs of one experiment.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Programs in start order.
    pub programs: Vec<PlannedProgram>,
}

/// A planned program.
#[derive(Clone, Debug)]
pub struct PlannedProgram {
    /// Arrival time, from the start of the experiment.
    pub start: Duration,
    /// Model calls in order.
    pub turns: Vec<PlannedTurn>,
}

/// A planned model call.
#[derive(Clone, Debug)]
pub struct PlannedTurn {
    /// Text of the new user message.
    pub prompt: String,
    /// Maximum number of output tokens.
    pub max_output: u64,
}

impl LoadPlan {
    /// Plans `runs` programs with Poisson arrivals at `rate` programs per second.
    pub fn new(rate: f64, runs: usize, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let gaps = Exp::new(rate).expect("the rate is above 0");
        let mut start = Duration::ZERO;
        let programs = (0..runs)
            .map(|_| {
                start += Duration::from_secs_f64(gaps.sample(&mut random));
                let turns = random.random_range(TURNS);
                PlannedProgram {
                    start,
                    turns: (0..turns).map(|_| planned_turn(&mut random)).collect(),
                }
            })
            .collect();
        Self { programs }
    }
}

fn planned_turn(random: &mut ChaCha8Rng) -> PlannedTurn {
    let count = random.random_range(PROMPT_WORDS);
    let words: Vec<&str> = (0..count)
        .map(|_| WORDS[random.random_range(0..WORDS.len())])
        .collect();
    PlannedTurn {
        prompt: words.join(" "),
        max_output: random.random_range(MAX_OUTPUT),
    }
}
