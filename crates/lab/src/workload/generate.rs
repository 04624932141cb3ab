//! Generates programs and arrivals from a preset and a seed.

use std::time::Duration;

use elderworks_types::{ResourceName, TenantId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, Pareto};
use xxhash_rust::xxh3::xxh3_64;

use super::capacity;
use super::chain::BLOCK_TOKENS;
use super::preset::ProgramClass;
use super::{AfterTurn, Preset, ProgramPlan, RunPlan, Segment, Turn};

/// Scale of the Pareto distribution of slow pauses.
const SLOW_PAUSE_SCALE_SECONDS: f64 = 5.0;
/// Shape of the Pareto distribution of slow pauses; its variance would be infinite without the
/// limit on pauses.
const SLOW_PAUSE_SHAPE: f64 = 1.3;
/// Maximum pause, after which tools time out.
const MAX_PAUSE_SECONDS: f64 = 120.0;
/// Fraction of the horizon, around its middle, that the rush lasts.
const RUSH_FRACTION: f64 = 0.4;

/// A log-normal distribution clamped to bounds.
#[derive(Clone, Copy, Debug)]
pub struct ClampedLogNormal {
    median: f64,
    sigma: f64,
    min: f64,
    max: f64,
}

impl ClampedLogNormal {
    /// Creates a distribution; `sigma` is the standard deviation of the logarithm.
    pub const fn new(median: f64, sigma: f64, min: f64, max: f64) -> Self {
        Self {
            median,
            sigma,
            min,
            max,
        }
    }

    fn draw(&self, random: &mut ChaCha8Rng) -> f64 {
        let distribution =
            LogNormal::new(self.median.ln(), self.sigma).expect("sigma is finite and not negative");
        distribution.sample(random).clamp(self.min, self.max)
    }

    fn draw_count(&self, random: &mut ChaCha8Rng) -> u64 {
        self.draw(random).round() as u64
    }
}

/// Generates all programs of one experiment in order of arrival.
pub fn programs(preset: &Preset, load: f64, seed: u64) -> Vec<ProgramPlan> {
    let rate = capacity::programs_per_second(preset) * load;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    arrivals(preset, rate, &mut random)
        .into_iter()
        .map(|arrival| program(preset, arrival, &mut random))
        .collect()
}

/// Generates one program of the preset's mix.
pub fn program(preset: &Preset, arrival: Duration, random: &mut ChaCha8Rng) -> ProgramPlan {
    let class = choose_class(preset, random);
    let tenant = choose_tenant(preset, random);
    let document = random.random_range(0..preset.documents_per_tenant);
    let segments = segments(class, tenant, document, random);
    ProgramPlan {
        arrival,
        program: ResourceName::new(class.name),
        tenant: TenantId::new(format!("tenant-{tenant:03}")),
        deadline: class.deadline,
        root: root_run(class, segments, random),
    }
}

/// Generates Poisson arrivals by thinning; the rate is highest during the rush in the middle of the
/// horizon.
fn arrivals(preset: &Preset, mean_rate: f64, random: &mut ChaCha8Rng) -> Vec<Duration> {
    let horizon = preset.horizon.as_secs_f64();
    let peak_rate = mean_rate * preset.rush_peak;
    let gaps = Exp::new(peak_rate).expect("rates are positive");
    let mut arrivals = Vec::new();
    let mut at = gaps.sample(random);
    while at < horizon {
        let accepted = rate_factor(preset, at / horizon) / preset.rush_peak;
        if random.random_bool(accepted.clamp(0.0, 1.0)) {
            arrivals.push(Duration::from_secs_f64(at));
        }
        at += gaps.sample(random);
    }
    arrivals
}

/// Returns the arrival rate at a point of the horizon (0 to 1) as a multiple of the mean rate.
fn rate_factor(preset: &Preset, point: f64) -> f64 {
    let in_rush = (point - 0.5).abs() < RUSH_FRACTION / 2.0;
    if in_rush {
        preset.rush_peak
    } else {
        (1.0 - preset.rush_peak * RUSH_FRACTION) / (1.0 - RUSH_FRACTION)
    }
}

fn choose_class<'a>(preset: &'a Preset, random: &mut ChaCha8Rng) -> &'a ProgramClass {
    let mut point: f64 = random.random();
    for class in &preset.classes {
        point -= class.arrival_fraction;
        if point < 0.0 {
            return class;
        }
    }
    preset.classes.last().expect("a preset has programs")
}

fn choose_tenant(preset: &Preset, random: &mut ChaCha8Rng) -> usize {
    let weight = |rank: usize| ((rank + 1) as f64).powf(-preset.tenant_skew);
    let total: f64 = (0..preset.tenants).map(weight).sum();
    let mut point = random.random::<f64>() * total;
    for rank in 0..preset.tenants {
        point -= weight(rank);
        if point < 0.0 {
            return rank;
        }
    }
    preset.tenants - 1
}

fn segments(
    class: &ProgramClass,
    tenant: usize,
    document: u64,
    random: &mut ChaCha8Rng,
) -> Vec<Segment> {
    let system = identity(&format!("system/{}", class.name));
    let handbook = identity(&format!("handbook/{tenant}"));
    let document_identity = identity(&format!("document/{tenant}/{document}"));
    // The length is derived from the document, because equal documents must have equal lengths.
    let mut document_random = ChaCha8Rng::seed_from_u64(document_identity ^ system);
    let length = class.document.draw(&mut document_random) as u64;
    let unique = random.random();
    let parts = [
        (system, class.system),
        (handbook, class.handbook),
        (document_identity, length),
        (unique, BLOCK_TOKENS),
    ];
    parts
        .into_iter()
        .map(|(identity, tokens)| Segment {
            identity,
            tokens: tokens.next_multiple_of(BLOCK_TOKENS),
        })
        .filter(|segment| segment.tokens > 0)
        .collect()
}

fn identity(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

fn root_run(class: &ProgramClass, segments: Vec<Segment>, random: &mut ChaCha8Rng) -> RunPlan {
    let count = class.turns.draw_count(random).max(1);
    let turns = (1..=count)
        .map(|number| {
            let after = if number == count {
                AfterTurn::End
            } else if random.random_bool(class.spawn_probability) {
                AfterTurn::Spawn(children(class, &segments, random))
            } else {
                AfterTurn::Pause(pause(class, random))
            };
            turn(class, after, random)
        })
        .collect();
    RunPlan { segments, turns }
}

/// Generates sub-agents, which start with the segments of their parent.
fn children(class: &ProgramClass, segments: &[Segment], random: &mut ChaCha8Rng) -> Vec<RunPlan> {
    let count = class.children.draw_count(random);
    (0..count)
        .map(|_| {
            let turns = class.child_turns.draw_count(random).max(1);
            let turns = (1..=turns)
                .map(|number| {
                    let after = if number == turns {
                        AfterTurn::End
                    } else {
                        AfterTurn::Pause(pause(class, random))
                    };
                    turn(class, after, random)
                })
                .collect();
            RunPlan {
                segments: segments.to_vec(),
                turns,
            }
        })
        .collect()
}

fn turn(class: &ProgramClass, after: AfterTurn, random: &mut ChaCha8Rng) -> Turn {
    Turn {
        prompt: class.prompt.draw_count(random).max(1),
        output: class.output.draw_count(random).max(1),
        after,
    }
}

fn pause(class: &ProgramClass, random: &mut ChaCha8Rng) -> Duration {
    let seconds = if random.random_bool(class.slow_pause_fraction) {
        let tail =
            Pareto::new(SLOW_PAUSE_SCALE_SECONDS, SLOW_PAUSE_SHAPE).expect("positive parameters");
        tail.sample(random)
    } else {
        class.pause.draw(random)
    };
    Duration::from_secs_f64(seconds.min(MAX_PAUSE_SECONDS))
}
