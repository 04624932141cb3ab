//! A schedule of surplus answers on kept connections and of resets under which engines work on, among
//! all other faults, while configurations change the types of some routes.

use std::time::Duration;

use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use crate::faults::{self, Fault, MAX_CONFIGURATIONS};
use crate::fleet::{ENGINES, EVENTS, Fleet, ProxiedWorker, TOOLS};
use crate::proxy::Side;
use crate::standin::platform;
use crate::standin::worker::{Again, Behaviour, Persistence, SurplusRate};

/// Pause between two events, in milliseconds, so that a stream lasts longer than two workers may work
/// on it.
const EVENT_PAUSE_MS: u64 = 130;

/// Time for which engines work on, in milliseconds.
const WORK_MS: std::ops::RangeInclusive<u64> = 500..=1_000;

/// What engines do, by turns, with requests that come again.
const AGAIN: [Again; 3] = [Again::Refuse, Again::Take, Again::Close];

/// Number of requests after which a surplus answer is sent.
const SURPLUS_EVERY: std::ops::RangeInclusive<usize> = 2..=6;

/// Version of the first configuration with the changing routes.
const FIRST_VERSION: u64 = 2;

const _: () = assert!(FIRST_VERSION < MAX_CONFIGURATIONS, "below those of faults");

/// How the engines of a round work on.
pub struct WorkingOn {
    seed: u64,
}

impl WorkingOn {
    /// Makes the worker of this number work on if it is an engine.
    pub fn apply(&self, proxied: &mut ProxiedWorker, number: usize) {
        if proxied.service != ENGINES {
            return;
        }
        let salt = u64::try_from(number).expect("a small number");
        let mut random = ChaCha8Rng::seed_from_u64(self.seed.wrapping_add(salt));
        let persistence = Persistence {
            work: Duration::from_millis(random.random_range(WORK_MS)),
            again: AGAIN[number % AGAIN.len()],
        };
        proxied.event_pause_ms = EVENT_PAUSE_MS;
        proxied.worker.set_persistence(Some(persistence));
    }
}

/// Prepares a fleet for the schedule.
pub fn prepare(fleet: &mut Fleet, seed: u64) {
    fleet.set_working_on(WorkingOn { seed });
    fleet.deployment.configure(&configuration(FIRST_VERSION));
}

/// Returns the configuration of a version, with routes whose types depend on it.
pub fn configuration(version: u64) -> Value {
    let mut configuration = platform::configuration(version);
    let routes = configuration["routes"].as_array_mut().expect("a list");
    for route in routes.iter_mut() {
        if ["stream-once", "kept"].contains(&route["name"].as_str().expect("a name")) {
            route["attempts"] = json!(2);
        }
    }
    let is_even = version.is_multiple_of(2);
    let copy_of = |name: &str, new_name: &str| {
        let mut routes = routes.iter();
        let found = routes.find(|route| route["name"] == name);
        let route = found.expect("a route of the default configuration");
        platform::renamed_route(route, new_name)
    };
    let mut two = copy_of("stream", "stream-two");
    two["attempts"] = json!(2);
    let mut call = copy_of("safe", "changing");
    if is_even {
        call["type"] = json!("mutating");
    }
    let mut stream = copy_of("stream", "changing-stream");
    stream["attempts"] = json!(2);
    stream["resumable"] = json!(is_even);
    routes.extend([two, call, stream]);
    configuration
}

/// Draws a fault and its duration: one of this schedule, or any other.
pub fn draw(random: &mut ChaCha8Rng, fleet: &Fleet) -> (Fault, Duration) {
    let (other, duration) = faults::draw(random, fleet);
    match random.random_range(0..10) {
        0..=2 => (draw_reset(random, fleet), Duration::ZERO),
        3..=5 => (draw_surplus(random), duration),
        6 => (draw_break(random, fleet), duration),
        _ => (other, duration),
    }
}

fn draw_reset(random: &mut ChaCha8Rng, fleet: &Fleet) -> Fault {
    Fault::ResetWorkerLink {
        worker: draw_worker_at_work(random, fleet),
        side: match random.random_bool(0.8) {
            true => Side::Caller,
            false => Side::Target,
        },
    }
}

fn draw_surplus(random: &mut ChaCha8Rng) -> Fault {
    Fault::Surplus {
        service: [ENGINES, TOOLS].choose(random).expect("some services"),
        rate: SurplusRate {
            every: random.random_range(SURPLUS_EVERY),
        },
    }
}

/// Draws a worker that is at work, or any if none is.
fn draw_worker_at_work(random: &mut ChaCha8Rng, fleet: &Fleet) -> usize {
    let at_work = (0..fleet.workers.len()).filter(|number| {
        let proxied = &fleet.workers[*number];
        proxied.service == ENGINES && proxied.worker.is_at_work()
    });
    let drawn = at_work.choose(random);
    drawn.unwrap_or_else(|| random.random_range(0..fleet.workers.len()))
}

/// Draws an engine that resets its streams, and works on.
fn draw_break(random: &mut ChaCha8Rng, fleet: &Fleet) -> Fault {
    let numbers: Vec<usize> = (0..fleet.workers.len())
        .filter(|number| fleet.workers[*number].service == ENGINES)
        .collect();
    let worker = *numbers.choose(random).expect("some engines");
    let behaviour = Behaviour::BreakAfter {
        events: random.random_range(1..EVENTS),
        of: EVENTS,
    };
    Fault::Worker { worker, behaviour }
}
