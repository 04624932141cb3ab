//! Placement of one node: engines known, cached blocks indexed, calls placed.

use std::time::Duration;

use elderworks_placement::event::{CacheChange, FinishedResult, LoadReport, ReadyCall};
use elderworks_placement::{Effect, Event, Placement, PlacementSettings, Ticket};
use elderworks_types::{
    Attempt, CallId, CallNumber, EngineId, ModelName, ResourceName, RunId, TenantId, Timestamp,
    Tokens, ZoneId,
};

use super::{Filled, Flows};
use crate::scale::memory::resident_bytes;
use crate::scale::timing::EventTimer;

/// Calls placed on each size.
const CALLS: usize = 2_000;

/// Blocks of a prompt of 30,000 tokens.
const BLOCKS_PER_CALL: u64 = 1_875;

/// Blocks that one cache event names.
const BLOCKS_PER_EVENT: u64 = 64;

/// Engines of a full cell.
const CELL_ENGINES: usize = 64;

/// A node that knows `count` engines, and places calls among them.
pub fn fill_engines(count: usize) -> eyre::Result<(Filled, Placement)> {
    let before = resident_bytes()?;
    let mut timer = EventTimer::default();
    let mut placement = with_engines(count, &mut timer);
    let after = resident_bytes()?;
    let mut now = Timestamp(1_000_000);
    for call in 0..CALLS {
        now = now + Duration::from_millis(1);
        place_one(&mut placement, &mut timer, now, call as u64);
    }
    let resident = after.saturating_sub(before);
    let filled = filled("placement: engines known", count, resident, &timer);
    Ok((filled, placement))
}

/// A node of a full cell that indexes `count` cached blocks.
pub fn fill_blocks(count: usize) -> eyre::Result<(Filled, Placement)> {
    let before = resident_bytes()?;
    let mut timer = EventTimer::default();
    let mut placement = with_engines(CELL_ENGINES, &mut timer);
    let now = Timestamp(1_000_000);
    for event in 0..count as u64 / BLOCKS_PER_EVENT {
        let first = event * BLOCKS_PER_EVENT;
        let blocks = (first..first + BLOCKS_PER_EVENT).map(scattered).collect();
        let event = Event::Cache {
            engine: engine(event as usize % CELL_ENGINES),
            change: CacheChange::Stored(blocks),
        };
        timer.time("cache event of 64 blocks", || placement.handle(now, event));
    }
    let indexed = placement.counters().indexed_blocks;
    let resident = resident_bytes()?.saturating_sub(before);
    let filled = filled("placement: blocks indexed", indexed, resident, &timer);
    Ok((filled, placement))
}

fn filled(role: &'static str, count: usize, resident_bytes: u64, timer: &EventTimer) -> Filled {
    Filled {
        role,
        count,
        resident_bytes,
        encoded_bytes: None,
        times: timer.means(),
        flows: Flows::default(),
    }
}

fn with_engines(count: usize, timer: &mut EventTimer) -> Placement {
    let settings = PlacementSettings::new(ZoneId::new("zone-00"), 1);
    let mut placement = Placement::new(settings);
    let now = Timestamp(1);
    for number in 0..count {
        let zone = ZoneId::new(format!("zone-{:02}", number % 28));
        placement.handle(now, engine_added(number, zone));
        let load = load_of(number, now);
        timer.time("load report", || placement.handle(now, load));
    }
    placement
}

/// An engine joins.
pub fn engine_added(number: usize, zone: ZoneId) -> Event {
    Event::EngineAdded {
        engine: engine(number),
        zone,
        models: vec![model()],
    }
}

/// An engine that is busy by its number reports its load.
pub fn load_of(number: usize, now: Timestamp) -> Event {
    Event::Load {
        engine: engine(number),
        report: LoadReport {
            measured: now,
            running: number as u32 % 30,
            waiting: 0,
            waiting_prefill: Tokens(0),
            blocks_used: 10_000,
            blocks_total: 50_000,
        },
    }
}

/// The first attempt of a run's first call.
pub fn first_ticket(run: RunId) -> Ticket {
    Ticket {
        call: CallId {
            run,
            number: CallNumber(1),
        },
        attempt: Attempt(1),
    }
}

/// A call with a prompt of 30,000 tokens is ready to be placed.
pub fn call_ready(ticket: Ticket, now: Timestamp) -> Event {
    Event::CallReady(Box::new(ReadyCall {
        ticket,
        model: model(),
        blocks: (0..BLOCKS_PER_CALL).map(scattered).collect(),
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

fn place_one(placement: &mut Placement, timer: &mut EventTimer, now: Timestamp, number: u64) {
    let ticket = first_ticket(RunId::root(number + 1));
    let ready = call_ready(ticket, now);
    let effects = timer.time("place", || placement.handle(now, ready));
    let dispatched = effects
        .iter()
        .any(|effect| matches!(effect, Effect::Dispatch { .. }));
    if !dispatched {
        return;
    }
    placement.handle(now, Event::FirstToken { ticket });
    let result = FinishedResult::Completed {
        cached: Tokens(0),
        output: Tokens(483),
    };
    timer.time("call finished", || {
        placement.handle(now, Event::Finished { ticket, result })
    });
    let run = ticket.call.run;
    timer.time("run ended", || {
        placement.handle(now, Event::RunEnded { run })
    });
}

fn engine(number: usize) -> EngineId {
    EngineId::new(format!("engine-{number:05}"))
}

fn model() -> ModelName {
    ModelName::new("agent-large")
}

/// Spreads numbers as hashes are spread.
fn scattered(number: u64) -> u64 {
    number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
