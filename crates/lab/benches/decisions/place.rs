//! Benchmark of choosing an engine for a prompt of 30,000 tokens, by number of known engines.

use std::time::Duration;

use crate::fixtures::{call_ready_event, engine_added_event, first_ticket, load_event};
use criterion::{BenchmarkId, Criterion};
use elderworks_placement::event::FinishedResult;
use elderworks_placement::{Event, Placement, PlacementSettings};
use elderworks_types::{RunId, Timestamp, Tokens, ZoneId};

fn placement(engines: usize) -> Placement {
    let settings = PlacementSettings::new(ZoneId::new("zone-00"), 1);
    let mut placement = Placement::new(settings);
    let now = Timestamp(1);
    for number in 0..engines {
        placement.handle(now, engine_added_event(number, ZoneId::new("zone-00")));
        placement.handle(now, load_event(number, now));
    }
    placement
}

fn place_and_finish(placement: &mut Placement, now: Timestamp, run: u64) {
    let ticket = first_ticket(RunId::root(run));
    placement.handle(now, call_ready_event(ticket, now));
    placement.handle(now, Event::FirstToken { ticket });
    let result = FinishedResult::Completed {
        cached: Tokens(0),
        output: Tokens(483),
    };
    placement.handle(now, Event::Finished { ticket, result });
    let run = ticket.call.run;
    placement.handle(now, Event::RunEnded { run });
}

/// Measures a call from placement to the end of its run.
pub fn place(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place a call by engines");
    for engines in [8, 16, 32, 64] {
        let mut placement = placement(engines);
        let mut now = Timestamp(1_000_000);
        let mut run = 0;
        group.bench_with_input(
            BenchmarkId::from_parameter(engines),
            &engines,
            |bench, _| {
                bench.iter(|| {
                    now = now + Duration::from_millis(1);
                    run += 1;
                    place_and_finish(&mut placement, now, run);
                });
            },
        );
    }
    group.finish();
}
