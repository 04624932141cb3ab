//! One simulation from its plan to its report.

use elderworks_execution::ExecutionSettings;
use serde::Serialize;

use crate::check::{Violation, check};
use crate::fault::{Fault, FaultKind, draw_schedule};
use crate::kernel::{Purpose, Random};
use crate::observation::Observations;
use crate::scenario::{Preset, Scenario};
use crate::world::World;

/// What to simulate.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Everything random follows from it.
    pub seed: u64,
    /// The deployment.
    pub preset: Preset,
    /// Faults in force.
    pub schedule: Vec<Fault>,
    /// Limits of execution, and ways to break it on purpose.
    pub execution: ExecutionSettings,
    /// Whether to keep the trace, not only its digest.
    pub keep_trace: bool,
}

impl Plan {
    /// A plan whose faults are drawn from `kinds` by the seed.
    pub fn drawn(seed: u64, preset: Preset, kinds: &[FaultKind]) -> Self {
        let mut random = Random::new(seed, Purpose::Faults);
        Self {
            seed,
            preset,
            schedule: draw_schedule(kinds, &mut random),
            execution: ExecutionSettings::default(),
            keep_trace: false,
        }
    }

    /// A plan with a given schedule.
    pub fn with_schedule(seed: u64, preset: Preset, schedule: Vec<Fault>) -> Self {
        Self {
            schedule,
            ..Self::drawn(seed, preset, &[])
        }
    }
}

/// What came of a simulation.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// The faults that were in force.
    pub schedule: Vec<Fault>,
    /// Invariants that did not hold.
    pub violations: Vec<Violation>,
    /// Hash of the trace.
    pub digest: u64,
    /// The trace, if it was kept.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub trace: Vec<String>,
    /// How much was done.
    pub totals: Totals,
}

/// How much was done in a simulation, to show that it was not idle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Totals {
    /// Calls that completed.
    pub completed: usize,
    /// Calls refused for good or for a while.
    pub refused: usize,
    /// Calls that failed.
    pub failed: usize,
    /// Calls whose fate is unknown.
    pub unknown: usize,
    /// Requests that engines took.
    pub generations: usize,
    /// Invocations that tools ran.
    pub invocations: usize,
    /// Operators' changes that were accepted.
    pub changes: usize,
}

/// Runs a plan and judges it.
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
    /// Adds another run's.
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
