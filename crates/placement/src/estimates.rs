//! What placement learns of each program while it runs: nothing is told in advance.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::{ResourceName, Tokens};

/// Programs beyond this number share one estimate.
const MAX_PROGRAMS: usize = 1_024;
/// Runs of more turns count as having this many.
const MAX_TURNS: usize = 64;
/// Turns expected of a program that nothing is known of.
const PRIOR_TURNS: f64 = 4.0;
/// How many observed runs that expectation weighs.
const PRIOR_RUNS: f64 = 2.0;
/// Smoothing of durations, for each observation.
const SMOOTHING: f64 = 0.05;
/// Time of one turn before any was seen, in seconds.
const PRIOR_TURN_SECONDS: f64 = 4.0;
/// Pause before any was seen, in seconds.
const PRIOR_PAUSE_SECONDS: f64 = 2.0;

/// Tokens generated in one turn before any was seen.
const PRIOR_OUTPUT_TOKENS: f64 = 150.0;

/// Estimates for one program.
#[derive(Clone, Debug)]
struct ProgramEstimate {
    /// Ended runs by number of turns.
    ended: [u32; MAX_TURNS + 1],
    turn_seconds: f64,
    pause_seconds: f64,
    output_tokens: f64,
}

impl Default for ProgramEstimate {
    fn default() -> Self {
        Self {
            ended: [0; MAX_TURNS + 1],
            turn_seconds: PRIOR_TURN_SECONDS,
            pause_seconds: PRIOR_PAUSE_SECONDS,
            output_tokens: PRIOR_OUTPUT_TOKENS,
        }
    }
}

impl ProgramEstimate {
    /// Mean of the turns left of runs that have made `turns` and go on.
    fn remaining_turns(&self, turns: u32) -> f64 {
        let made = (turns as usize).min(MAX_TURNS - 1);
        let longer = self.ended.iter().enumerate().skip(made + 1);
        let (runs, left) = longer.fold((0.0, 0.0), |(runs, left), (total, count)| {
            let count = f64::from(*count);
            (runs + count, left + count * (total - made) as f64)
        });
        (left + PRIOR_TURNS * PRIOR_RUNS) / (runs + PRIOR_RUNS)
    }
}

/// Estimates by program.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    programs: BTreeMap<ResourceName, ProgramEstimate>,
    others: ProgramEstimate,
}

impl Estimates {
    /// Expected time until a run of the program that has made so many turns ends.
    pub(crate) fn remaining(&self, program: &ResourceName, turns: u32) -> Duration {
        let seconds = self.remaining_turns(program, turns) * self.of(program).turn_seconds;
        Duration::from_secs_f64(seconds)
    }

    /// Expected turns that a run of the program makes beside those it has made.
    pub(crate) fn remaining_turns(&self, program: &ResourceName, turns: u32) -> f64 {
        self.of(program).remaining_turns(turns)
    }

    /// Expected tokens generated in one turn.
    pub(crate) fn output(&self, program: &ResourceName) -> f64 {
        self.of(program).output_tokens
    }

    /// Expected pause between two turns.
    pub(crate) fn pause(&self, program: &ResourceName) -> Duration {
        Duration::from_secs_f64(self.of(program).pause_seconds)
    }

    pub(crate) fn run_ended(&mut self, program: &ResourceName, turns: u32) {
        let turns = (turns as usize).min(MAX_TURNS);
        self.estimate(program).ended[turns] += 1;
    }

    pub(crate) fn turn_took(&mut self, program: &ResourceName, took: Duration, output: Tokens) {
        let estimate = self.estimate(program);
        smooth(&mut estimate.turn_seconds, took.as_secs_f64());
        smooth(&mut estimate.output_tokens, output.0 as f64);
    }

    pub(crate) fn pause_took(&mut self, program: &ResourceName, duration: Duration) {
        smooth(
            &mut self.estimate(program).pause_seconds,
            duration.as_secs_f64(),
        );
    }

    fn of(&self, program: &ResourceName) -> &ProgramEstimate {
        self.programs.get(program).unwrap_or(&self.others)
    }

    fn estimate(&mut self, program: &ResourceName) -> &mut ProgramEstimate {
        if self.programs.len() >= MAX_PROGRAMS && !self.programs.contains_key(program) {
            return &mut self.others;
        }
        self.programs.entry(program.clone()).or_default()
    }
}

fn smooth(estimate: &mut f64, observed: f64) {
    *estimate += (observed - *estimate) * SMOOTHING;
}
