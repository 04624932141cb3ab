//! A schedule of faults of the store around kills: the store is slow, rejects calls or loses their
//! answers before processes are killed, while they start, and for some seconds after that.

use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::Fleet;
use crate::standin::store::StoreFault;

/// Bounds of the times of one cycle, in milliseconds.
const BEFORE_KILL_MS: std::ops::Range<u64> = 200..900;
const DOWN_MS: std::ops::Range<u64> = 100..800;
const AFTER_START_MS: std::ops::Range<u64> = 1_500..4_000;
const CALM_MS: std::ops::Range<u64> = 300..1_500;

/// Injects cycles of faults for at least a duration; returns a log of them with their times.
pub async fn inject(random: &mut ChaCha8Rng, fleet: &mut Fleet, duration: Duration) -> Vec<String> {
    let started = Instant::now();
    let mut schedule = Vec::new();
    while started.elapsed() < duration {
        let before = draw_fault(random);
        let after = draw_fault(random);
        let first = random.random_range(0..fleet.nodes.len());
        // Mostly all of them.
        let count = match random.random_bool(0.6) {
            true => fleet.nodes.len(),
            false => random.random_range(1..=fleet.nodes.len()),
        };
        let at = started.elapsed().as_millis();
        schedule.push(format!(
            "{at} ms: store {before:?}, {count} killed from {first} on, store {after:?}"
        ));
        let store = fleet.deployment.store.clone();
        store.set_fault(before);
        pause(random, BEFORE_KILL_MS).await;
        let killed = (first..first + count).map(|number| number % fleet.nodes.len());
        let killed: Vec<usize> = killed.collect();
        for node in &killed {
            fleet.nodes[*node].kill();
        }
        pause(random, DOWN_MS).await;
        for node in &killed {
            fleet.nodes[*node].start();
        }
        store.set_fault(after);
        pause(random, AFTER_START_MS).await;
        store.set_fault(StoreFault::None);
        fleet.replace_crashed_workers();
        pause(random, CALM_MS).await;
    }
    schedule
}

fn draw_fault(random: &mut ChaCha8Rng) -> StoreFault {
    match random.random_range(0..8) {
        0 => StoreFault::Busy,
        1 => StoreFault::Throttled,
        2 => StoreFault::AnswersLost,
        3 => StoreFault::DoneLate(random.random_range(200..3_000)),
        _ => StoreFault::Slow(random.random_range(100..700)),
    }
}

async fn pause(random: &mut ChaCha8Rng, milliseconds: std::ops::Range<u64>) {
    let time = Duration::from_millis(random.random_range(milliseconds));
    actix_rt::time::sleep(time).await;
}
