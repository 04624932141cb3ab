//! The size of a simulated deployment and the programs its callers run.

use std::time::Duration;

use serde::Serialize;

use crate::kernel::{NetworkProfile, Purpose, Random};

/// A deployment to simulate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Preset {
    /// Three zones 1.5 ms apart, clients 1 ms away.
    Lublin,
    /// Four zones 0.5 ms apart, clients 3 ms away.
    Ulaanbaatar,
}

/// A name that is not a preset's.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no preset is called {0:?}: expected lublin or ulaanbaatar")]
pub struct UnknownPreset(String);

impl std::str::FromStr for Preset {
    type Err = UnknownPreset;

    fn from_str(text: &str) -> Result<Self, UnknownPreset> {
        match text {
            "lublin" => Ok(Preset::Lublin),
            "ulaanbaatar" => Ok(Preset::Ulaanbaatar),
            _ => Err(UnknownPreset(text.to_owned())),
        }
    }
}

/// How many of what, and how far apart.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Zones.
    pub zones: usize,
    /// Nodes.
    pub nodes: usize,
    /// Sidecars.
    pub sidecars: usize,
    /// Engines.
    pub engines: usize,
    /// Root runs.
    pub runs: usize,
    /// Partitions.
    pub partitions: u32,
    /// Delays and error rates.
    pub network: NetworkProfile,
}

impl Scenario {
    /// The deployment of a preset, small enough that thousands can be run.
    pub fn from_preset(preset: Preset) -> Self {
        match preset {
            Preset::Lublin => Self {
                zones: 3,
                nodes: 4,
                sidecars: 2,
                engines: 3,
                runs: 5,
                partitions: 4,
                network: network(Duration::from_micros(1_500), Duration::from_millis(1)),
            },
            Preset::Ulaanbaatar => Self {
                zones: 4,
                nodes: 5,
                sidecars: 2,
                engines: 5,
                runs: 6,
                partitions: 6,
                network: network(Duration::from_micros(500), Duration::from_millis(3)),
            },
        }
    }
}

const DELAY_WITHIN_ZONE: Duration = Duration::from_micros(200);

fn network(between_zones: Duration, to_clients: Duration) -> NetworkProfile {
    NetworkProfile {
        between_zones,
        within_zone: DELAY_WITHIN_ZONE,
        to_clients,
        loss_percent: 1,
        duplicate_percent: 1,
        reorder_percent: 2,
    }
}

/// One step of a caller's program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Step {
    /// A model call on the whole history so far.
    Model,
    /// A tool call that may be repeated.
    Lookup,
    /// A tool call that must not be repeated.
    Submit {
        /// Whether to the tool that remembers idempotency keys.
        keyed: bool,
    },
    /// Two tool calls at once, the later number first, through different sidecars.
    Crossed,
    /// Nothing for a while.
    Pause(Duration),
    /// Starts a sub-agent and goes on.
    Spawn,
    /// Model calls until the run's limit ends it.
    Endless,
    /// Reads the run.
    Read,
}

/// Seeded steps of one run: dependent calls, pauses, and one submission. A sub-agent's are fewer.
pub fn draw_steps(is_child: bool, random: &mut Random) -> Vec<Step> {
    let mut steps = vec![Step::Model];
    let turns = if is_child { 2 } else { random.in_range(3, 6) };
    for _ in 0..turns {
        steps.push(draw_step(is_child, random));
    }
    if !is_child {
        let place = 1 + random.index(steps.len());
        let keyed = random.chance(50);
        steps.insert(place, Step::Submit { keyed });
        steps.push(Step::Read);
    }
    if random.chance(8) {
        steps.push(Step::Endless);
    }
    steps
}

fn draw_step(is_child: bool, random: &mut Random) -> Step {
    let pause = random.duration(Duration::from_millis(100), Duration::from_secs(3));
    match random.in_range(0, 10) {
        0..=3 => Step::Model,
        4 | 5 => Step::Lookup,
        6 => Step::Crossed,
        7 if !is_child => Step::Spawn,
        7 | 8 => Step::Pause(pause),
        _ => Step::Read,
    }
}

/// The stream from which a seed's programs are drawn.
pub fn workload_random(seed: u64) -> Random {
    Random::new(seed, Purpose::Workload)
}
