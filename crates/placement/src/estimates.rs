//! Estimates of run length, turn time, pause time and output size for each program.
//!
//! They are learned from the runs themselves, starting from fixed priors.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::{ResourceName, Tokens};

/// Maximum number of programs with their own estimate; further ones share one.
const MAX_PROGRAMS: usize = 1_024;
/// Turn count at which runs are capped in the statistics.
const MAX_TURNS: usize = 64;
/// Remaining turns expected of a program without observed runs.
const PRIOR_TURNS: f64 = 4.0;
/// Weight of [`PRIOR_TURNS`], as a number of observed runs.
const PRIOR_RUNS: f64 = 2.0;
/// Weight of one observation in a moving average.
const SMOOTHING: f64 = 0.05;
/// Initial estimate of the duration of a turn, in seconds.
const PRIOR_TURN_SECONDS: f64 = 4.0;
/// Initial estimate of the pause between two turns, in seconds.
const PRIOR_PAUSE_SECONDS: f64 = 2.0;

/// Initial estimate of the tokens generated in one turn.
const PRIOR_OUTPUT_TOKENS: f64 = 150.0;

/// Estimates for one program.
#[derive(Clone, Debug)]
struct ProgramEstimate {
    /// Number of ended runs, indexed by their number of turns.
    runs_by_turns: [u32; MAX_TURNS + 1],
    turn_seconds: f64,
    pause_seconds: f64,
    output_tokens: f64,
}

impl Default for ProgramEstimate {
    fn default() -> Self {
        Self {
            runs_by_turns: [0; MAX_TURNS + 1],
            turn_seconds: PRIOR_TURN_SECONDS,
            pause_seconds: PRIOR_PAUSE_SECONDS,
            output_tokens: PRIOR_OUTPUT_TOKENS,
        }
    }
}

impl ProgramEstimate {
    /// Returns the mean number of remaining turns of the runs that had more than `turns` turns.
    fn remaining_turns(&self, turns: u32) -> f64 {
        let turns_done = (turns as usize).min(MAX_TURNS - 1);
        let longer = self.runs_by_turns.iter().enumerate().skip(turns_done + 1);
        let (runs, left) = longer.fold((0.0, 0.0), |(runs, left), (total, count)| {
            let count = f64::from(*count);
            (runs + count, left + count * (total - turns_done) as f64)
        });
        (left + PRIOR_TURNS * PRIOR_RUNS) / (runs + PRIOR_RUNS)
    }
}

/// Estimates of all programs.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    programs: BTreeMap<ResourceName, ProgramEstimate>,
    overflow: ProgramEstimate,
}

impl Estimates {
    /// Returns the expected remaining time of a run of `program` after `turns` turns.
    pub(crate) fn remaining_time(&self, program: &ResourceName, turns: u32) -> Duration {
        let seconds = self.remaining_turns(program, turns) * self.get(program).turn_seconds;
        Duration::from_secs_f64(seconds)
    }

    /// Returns the expected number of remaining turns of a run of `program` after `turns` turns.
    pub(crate) fn remaining_turns(&self, program: &ResourceName, turns: u32) -> f64 {
        self.get(program).remaining_turns(turns)
    }

    /// Returns the expected number of tokens generated in one turn.
    pub(crate) fn output_tokens(&self, program: &ResourceName) -> f64 {
        self.get(program).output_tokens
    }

    /// Returns the expected pause between two turns.
    pub(crate) fn pause(&self, program: &ResourceName) -> Duration {
        Duration::from_secs_f64(self.get(program).pause_seconds)
    }

    /// Records an ended run and its number of turns.
    pub(crate) fn record_run(&mut self, program: &ResourceName, turns: u32) {
        let turns = (turns as usize).min(MAX_TURNS);
        self.get_or_insert(program).runs_by_turns[turns] += 1;
    }

    /// Records the duration and the generated tokens of a turn.
    pub(crate) fn record_turn(&mut self, program: &ResourceName, took: Duration, output: Tokens) {
        let estimate = self.get_or_insert(program);
        smooth(&mut estimate.turn_seconds, took.as_secs_f64());
        smooth(&mut estimate.output_tokens, output.0 as f64);
    }

    /// Records the pause between two turns.
    pub(crate) fn record_pause(&mut self, program: &ResourceName, duration: Duration) {
        smooth(
            &mut self.get_or_insert(program).pause_seconds,
            duration.as_secs_f64(),
        );
    }

    fn get(&self, program: &ResourceName) -> &ProgramEstimate {
        self.programs.get(program).unwrap_or(&self.overflow)
    }

    fn get_or_insert(&mut self, program: &ResourceName) -> &mut ProgramEstimate {
        if self.programs.len() >= MAX_PROGRAMS && !self.programs.contains_key(program) {
            return &mut self.overflow;
        }
        self.programs.entry(program.clone()).or_default()
    }
}

/// Updates an exponential moving average.
fn smooth(estimate: &mut f64, observed: f64) {
    *estimate += (observed - *estimate) * SMOOTHING;
}
