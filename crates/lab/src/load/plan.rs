//! When programs arrive and what they ask.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

const TURNS: std::ops::RangeInclusive<usize> = 2..=6;
const PROMPT_WORDS: std::ops::RangeInclusive<usize> = 20..=200;
const MAX_OUTPUT: std::ops::RangeInclusive<u64> = 32..=160;

/// Words of which prompts are made.
const WORDS: [&str; 12] = [
    "parcel", "boundary", "meal", "diet", "declare", "north", "resident", "week", "area", "claim",
    "order", "sheet",
];

/// All programs of one experiment.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// In order of start.
    pub programs: Vec<PlannedProgram>,
}

/// One program.
#[derive(Clone, Debug)]
pub struct PlannedProgram {
    /// When it arrives, from the start of the experiment.
    pub start: Duration,
    /// Its turns.
    pub turns: Vec<PlannedTurn>,
}

/// One model call.
#[derive(Clone, Debug)]
pub struct PlannedTurn {
    /// The new message.
    pub prompt: String,
    /// Most tokens of the answer.
    pub max_output: u64,
}

impl LoadPlan {
    /// `runs` programs that arrive independently, `rate` a second on average.
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
