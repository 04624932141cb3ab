//! Time of one placement decision, by number of engines and by number of known runs.

#![allow(
    missing_docs,
    reason = "the group macro makes an undocumented public function"
)]

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use elderworks_placement::event::{FinishedResult, ReadyCall};
use elderworks_placement::{Event, Placement, PlacementSettings, Ticket};
use elderworks_types::text::BlockHash;
use elderworks_types::{
    Attempt, CallId, CallNumber, EngineId, ModelName, ResourceName, RunId, TenantId, Timestamp,
    Tokens, ZoneId,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of blocks in a prompt of about 4 000 tokens.
const PROMPT_BLOCKS: u64 = 250;
const MODEL: &str = "agent";

/// Returns well-distributed hashes, since `BlockMap` uses them without hashing them again.
fn block_hashes(run: u64) -> Vec<BlockHash> {
    (0..PROMPT_BLOCKS)
        .map(|block| xxh3_64_with_seed(&block.to_le_bytes(), run))
        .collect()
}

fn ready(run: u64, number: u32) -> ReadyCall {
    ReadyCall {
        ticket: ticket(run, number),
        model: ModelName::new(MODEL),
        blocks: block_hashes(run),
        prompt: Tokens(PROMPT_BLOCKS * 16),
        max_output: Tokens(200),
        tenant: TenantId::new("tenant"),
        program: ResourceName::new("draft"),
        run_started: Timestamp(0),
        attained: Tokens(0),
        turns: number,
        run_deadline: None,
        call_deadline: None,
        priority: 0,
        parent: None,
    }
}

fn ticket(run: u64, number: u32) -> Ticket {
    let call = CallId {
        run: RunId::root(run),
        number: CallNumber(number),
    };
    Ticket {
        call,
        attempt: Attempt(1),
    }
}

fn finished(run: u64, number: u32) -> Event {
    let result = FinishedResult::Completed {
        cached: Tokens(0),
        output: Tokens(100),
    };
    Event::Finished {
        ticket: ticket(run, number),
        result,
    }
}

/// Creates a placement in which each run has completed one call.
fn prepared(engines: usize, runs: u64) -> Placement {
    let mut placement = Placement::new(PlacementSettings::new(ZoneId::new("a"), 1));
    for index in 0..engines {
        placement.handle(
            Timestamp(0),
            Event::EngineAdded {
                engine: EngineId::new(format!("engine-{index}")),
                zone: ZoneId::new("a"),
                models: vec![ModelName::new(MODEL)],
            },
        );
    }
    for run in 1..=runs {
        let now = Timestamp(run);
        placement.handle(now, Event::CallReady(Box::new(ready(run, 1))));
        placement.handle(now, finished(run, 1));
    }
    placement
}

fn decide(criterion: &mut Criterion, name: &str, sizes: &[(usize, u64)]) {
    let mut group = criterion.benchmark_group(name);
    for (engines, runs) in sizes {
        let mut placement = prepared(*engines, *runs);
        let mut next = 0;
        let id = BenchmarkId::from_parameter(format!("{engines} engines, {runs} runs"));
        group.bench_function(id, |bencher| {
            bencher.iter_batched(
                || {
                    next += 1;
                    Box::new(ready(next % runs + 1, next as u32 + 1))
                },
                |call| {
                    let Ticket { call: id, .. } = call.ticket;
                    let now = Timestamp(runs + u64::from(id.number.0));
                    let effects = placement.handle(now, Event::CallReady(call));
                    placement.handle(now, finished(id.run.root, id.number.0));
                    black_box(effects)
                },
                criterion::BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

fn by_engines(criterion: &mut Criterion) {
    decide(
        criterion,
        "by_engines",
        &[(8, 1_000), (16, 1_000), (32, 1_000), (64, 1_000)],
    );
}

fn by_runs(criterion: &mut Criterion) {
    decide(
        criterion,
        "by_runs",
        &[(64, 1_000), (64, 5_000), (64, 20_000)],
    );
}

criterion_group!(benches, by_engines, by_runs);
criterion_main!(benches);
