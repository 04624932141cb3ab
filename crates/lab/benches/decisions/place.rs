//! Choosing an engine for a call with a prompt of 30,000 tokens, by the engines known.

use std::time::Duration;

use criterion::{BenchmarkId, Criterion};
use elderworks_placement::event::{FinishedResult, LoadReport, ReadyCall};
use elderworks_placement::{Event, Placement, PlacementSettings, Ticket};
use elderworks_types::{
    Attempt, CallId, CallNumber, EngineId, ModelName, ResourceName, RunId, TenantId, Timestamp,
    Tokens, ZoneId,
};

const BLOCKS_PER_CALL: u64 = 1_875;

fn placement(engines: usize) -> Placement {
    let settings = PlacementSettings::new(ZoneId::new("zone-00"), 1);
    let mut placement = Placement::new(settings);
    let now = Timestamp(1);
    for number in 0..engines {
        let engine = EngineId::new(format!("engine-{number:05}"));
        let added = Event::EngineAdded {
            engine: engine.clone(),
            zone: ZoneId::new("zone-00"),
            models: vec![ModelName::new("agent-large")],
        };
        placement.handle(now, added);
        let report = LoadReport {
            measured: now,
            running: number as u32 % 30,
            waiting: 0,
            waiting_prefill: Tokens(0),
            blocks_used: 10_000,
            blocks_total: 50_000,
        };
        placement.handle(now, Event::Load { engine, report });
    }
    placement
}

fn ticket(run: u64) -> Ticket {
    Ticket {
        call: CallId {
            run: RunId::root(run),
            number: CallNumber(1),
        },
        attempt: Attempt(1),
    }
}

fn ready_call(run: u64, now: Timestamp) -> Event {
    let scatter = |number: u64| (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    Event::CallReady(Box::new(ReadyCall {
        ticket: ticket(run),
        model: ModelName::new("agent-large"),
        blocks: (0..BLOCKS_PER_CALL).map(scatter).collect(),
        prompt: Tokens(30_000),
        max_output: Tokens(1_024),
        tenant: TenantId::new("tenant-0001"),
        program: ResourceName::new("boundary-draft"),
        run_started: now,
        attained: Tokens(0),
        turns: 0,
        run_deadline: None,
        call_deadline: None,
        priority: 0,
        parent: None,
    }))
}

fn place_and_finish(placement: &mut Placement, now: Timestamp, run: u64) {
    placement.handle(now, ready_call(run, now));
    let ticket = ticket(run);
    placement.handle(now, Event::FirstToken { ticket });
    let result = FinishedResult::Completed {
        cached: Tokens(0),
        output: Tokens(483),
    };
    placement.handle(now, Event::Finished { ticket, result });
    let run = ticket.call.run;
    placement.handle(now, Event::RunEnded { run });
}

/// Measures a call from its placement to the end of its run.
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
