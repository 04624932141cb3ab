//! Sizes of simulated deployments, and the steps of the callers' programs.

use std::time::Duration;

use serde::Serialize;

use crate::kernel::{NetworkProfile, Purpose, Random};

/// A predefined deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Preset {
    /// Three zones; one-way delays of 1.5 ms between zones and 1 ms to clients.
    Lublin,
    /// Four zones; one-way delays of 0.5 ms between zones and 3 ms to clients.
    Ulaanbaatar,
}

/// Error for a name that matches no [`Preset`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown preset {0:?}: expected lublin or ulaanbaatar")]
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

/// Component counts and network properties of a simulated deployment.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Number of zones.
    pub zones: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of sidecars.
    pub sidecars: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of root runs, one for each initial caller.
    pub runs: usize,
    /// Number of partitions.
    pub partitions: u32,
    /// Network delays and error rates.
    pub network: NetworkProfile,
}

impl Scenario {
    /// Returns the deployment of a preset. Presets are small so that thousands of runs are feasible.
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

/// One-way delay within a zone.
const DELAY_WITHIN_ZONE: Duration = Duration::from_micros(200);

/// Returns a network with the given one-way delays and a low rate of datagram faults.
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
    /// A model call whose prompt includes the full history.
    Model,
    /// A repeatable tool call.
    Lookup,
    /// A non-repeatable tool call.
    Submit {
        /// Whether the called tool deduplicates by idempotency key.
        keyed: bool,
    },
    /// Two concurrent tool calls through different sidecars, submitted in reverse order of their
    /// numbers.
    Crossed,
    /// A pause of the given length.
    Pause(Duration),
    /// Start of a sub-agent, without waiting for it.
    Spawn,
    /// Model calls that repeat until the run's limit ends the run.
    Endless,
    /// A read of the run.
    Read,
}

/// Draws the steps of one run: dependent calls, pauses and one non-repeatable call. Sub-agents get
/// fewer steps and no non-repeatable call.
pub fn draw_steps(is_child: bool, random: &mut Random) -> Vec<Step> {
    let mut steps = vec![Step::Model];
    let turns = if is_child { 2 } else { random.in_range(3, 6) };
    for _ in 0..turns {
        steps.push(draw_step(is_child, random));
    }
    if !is_child {
        let position = 1 + random.index(steps.len());
        let keyed = random.chance(50);
        steps.insert(position, Step::Submit { keyed });
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

/// Returns the random stream from which the programs of a seed are drawn.
pub fn workload_random(seed: u64) -> Random {
    Random::new(seed, Purpose::Workload)
}
