//! Benchmarks of frequent decisions, each over increasing input sizes.

mod fixtures;
mod gossip;
mod journal;
mod place;

use std::time::Duration;

use criterion::Criterion;

/// Samples per benchmark.
const SAMPLES: usize = 20;
const MEASUREMENT_TIME: Duration = Duration::from_secs(2);
const WARM_UP_TIME: Duration = Duration::from_millis(500);

fn main() {
    let mut criterion = Criterion::default()
        .sample_size(SAMPLES)
        .measurement_time(MEASUREMENT_TIME)
        .warm_up_time(WARM_UP_TIME)
        .configure_from_args();
    gossip::gossip_tick(&mut criterion);
    place::place(&mut criterion);
    journal::admit_and_journal(&mut criterion);
    criterion.final_summary();
}
