//! Runs one simulation from its plan and reports the result.

use elderworks_execution::ExecutionSettings;
use serde::Serialize;

use crate::check::{Violation, check};
use crate::fault::{Fault, FaultKind, draw_schedule};
use crate::kernel::{Purpose, Random};
use crate::observation::Observations;
use crate::scenario::{Preset, Scenario};
use crate::world::World;

/// Input of one simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of all random streams.
    pub seed: u64,
    /// The simulated deployment.
    pub preset: Preset,
    /// Faults to inject.
    pub schedule: Vec<Fault>,
    /// Limits of execution, and switches that break it deliberately.
    pub execution: ExecutionSettings,
    /// Whether the report includes the trace in addition to its digest.
    pub keep_trace: bool,
}

impl Plan {
    /// Creates a plan with a schedule of faults drawn at random from `kinds`.
    pub fn with_random_faults(seed: u64, preset: Preset, kinds: &[FaultKind]) -> Self {
        let mut random = Random::new(seed, Purpose::Faults);
        Self {
            seed,
            preset,
            schedule: draw_schedule(kinds, &mut random),
            execution: ExecutionSettings::default(),
            keep_trace: false,
        }
    }

    /// Creates a plan with the given schedule.
    pub fn with_schedule(seed: u64, preset: Preset, schedule: Vec<Fault>) -> Self {
        Self {
            schedule,
            ..Self::with_random_faults(seed, preset, &[])
        }
    }
}

/// Result of one simulation.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed of the plan.
    pub seed: u64,
    /// Faults that were injected.
    pub schedule: Vec<Fault>,
    /// Violated invariants.
    pub violations: Vec<Violation>,
    /// Hash of the trace lines.
    pub digest: u64,
    /// Trace lines; empty unless the plan asks for the trace.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub trace: Vec<String>,
    /// Counts of completed work.
    pub totals: Totals,
}

/// Counts of the work done in a simulation, which show that it was not idle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Totals {
    /// Calls that completed.
    pub completed: usize,
    /// Calls that were refused, temporarily or permanently.
    pub refused: usize,
    /// Calls that failed.
    pub failed: usize,
    /// Calls with an unknown outcome.
    pub unknown: usize,
    /// Requests that engines accepted.
    pub generations: usize,
    /// Invocations that tools executed.
    pub invocations: usize,
    /// Accepted changes of resources.
    pub changes: usize,
}

/// Runs a plan and checks every invariant on the result.
pub fn run(plan: &Plan) -> Report {
    let (observations, trace) = observe(plan);
    Report {
        seed: plan.seed,
        schedule: plan.schedule.clone(),
        violations: check(&observations),
        digest: trace.digest(),
        trace: trace.into_lines(),
        totals: Totals::of(&observations),
    }
}

fn observe(plan: &Plan) -> (Observations, crate::trace::Trace) {
    let world = World::new(
        Scenario::from_preset(plan.preset),
        plan.seed,
        plan.schedule.clone(),
        &plan.execution,
        plan.keep_trace,
    );
    world.run()
}

impl Totals {
    /// Adds the counts of another simulation.
    pub fn add(&mut self, other: &Totals) {
        self.completed += other.completed;
        self.refused += other.refused;
        self.failed += other.failed;
        self.unknown += other.unknown;
        self.generations += other.generations;
        self.invocations += other.invocations;
        self.changes += other.changes;
    }

    fn of(observations: &Observations) -> Self {
        use elderworks_types::Outcome;
        let mut totals = Totals {
            generations: observations.generations.len(),
            invocations: observations.invocations.len(),
            ..Totals::default()
        };
        for ended in &observations.outcomes {
            match ended.outcome {
                Outcome::Completed(_) => totals.completed += 1,
                Outcome::Refused(_) => totals.refused += 1,
                Outcome::Failed(_) => totals.failed += 1,
                Outcome::Unknown(_) => totals.unknown += 1,
            }
        }
        let changes = observations.changes.iter();
        totals.changes = changes.filter(|change| change.result.is_ok()).count();
        totals
    }
}
