//! Tests of snapshots, of new readers, and of the removal of ended runs.

mod common;

use std::time::Duration;

use common::World;
use common::build::*;
use elderworks_execution::{Event, ExecutionSettings, Partition};
use elderworks_protocol::journal::JournalBody;
use elderworks_protocol::record::{Record, Writer};
use elderworks_types::{Epoch, Incarnation, NodeId, Offset, RunId, Sequence, Timestamp};

/// Creates a world whose snapshot has several parts.
fn large_world() -> World {
    let mut world = World::owned();
    let text = "x".repeat(30_000);
    for run in 0..20 {
        let id = RunId::root(run);
        let mut limits = limits();
        limits.max_history = elderworks_types::Tokens(100_000);
        world.event(0, start_with(run_spec(id, 1_000_000), limits));
        world.event(0, submit(id, model_call(1, 0, &text)));
        world.place(0, call(id, 1), 1, "engine-a");
        world.complete(0, call(id, 1), 1, "short");
    }
    world
}

fn feed(reader: &mut Partition, offset: usize, record: &Record<JournalBody>) {
    let event = Event::RecordRead {
        offset: Offset(offset as u64),
        record: record.clone(),
    };
    reader.handle(Timestamp(0), event);
}

fn new_reader() -> Partition {
    let writer = Writer {
        node: NodeId::new("reader"),
        incarnation: Incarnation(1),
    };
    Partition::new(
        elderworks_types::PartitionId(0),
        writer,
        ExecutionSettings::default(),
    )
}

fn parts(world: &World) -> Vec<usize> {
    let positions = world.log.iter().enumerate();
    positions
        .filter(|(_, record)| matches!(record.body, JournalBody::Snapshot { .. }))
        .map(|(position, _)| position)
        .collect()
}

#[test]
fn a_reader_from_the_snapshot_equals_one_from_the_start() {
    let mut world = large_world();
    // The snapshot is taken while a record is in flight.
    world.feed(0, start(RunId::root(100), 500));
    world.feed(0, Event::TakeSnapshot);
    world.feed(0, submit(RunId::root(1), model_call(2, 0, "after")));
    world.settle();
    world.event(0, start(RunId::root(101), 500));
    let parts = parts(&world);
    assert!(parts.len() > 1, "the snapshot has several parts");
    let first = Offset(parts[0] as u64);
    let confirmed = world.log.iter().any(|record| {
        matches!(record.body, JournalBody::SnapshotConfirmed { first: begins } if begins == first)
    });
    assert!(confirmed, "the owner confirms its snapshot");
    let owner = &world.nodes[0].partition;
    assert_eq!(owner.snapshot_offset(), Some(Offset(parts[0] as u64)));
    let restored = world.reader_from(parts[0]);
    assert!(restored.is_loaded());
    assert_eq!(restored.state_digest(), owner.state_digest());
    assert_eq!(world.reader_from(0).state_digest(), owner.state_digest());
    // A batch can contain records before the first part of the snapshot.
    let earlier = world.reader_from(parts[0] - 1);
    assert_eq!(earlier.state_digest(), owner.state_digest());
}

#[test]
fn snapshot_parts_may_be_repeated_and_interleaved_with_fenced_records() {
    let mut world = large_world();
    world.event(0, Event::TakeSnapshot);
    let parts = parts(&world);
    let stale = Record {
        writer: Writer {
            node: NodeId::new("node-9"),
            incarnation: Incarnation(1),
        },
        sequence: Sequence(1),
        epoch: Epoch(0),
        body: JournalBody::Release { unsent: Vec::new() },
    };
    let mut reader = new_reader();
    for position in &parts {
        feed(&mut reader, *position, &world.log[*position]);
        feed(&mut reader, *position, &stale);
        feed(&mut reader, *position, &world.log[*position]);
    }
    assert!(reader.is_loaded());
    // The remaining records include the owner's confirmation of the snapshot.
    let last = parts[parts.len() - 1];
    for (position, record) in world.log.iter().enumerate().skip(last + 1) {
        feed(&mut reader, position, record);
    }
    let owner = &world.nodes[0].partition;
    assert_eq!(reader.state_digest(), owner.state_digest());
}

#[test]
fn incomplete_snapshot_fails_to_load() {
    let mut world = large_world();
    world.event(0, Event::TakeSnapshot);
    let parts = parts(&world);
    let mut reader = new_reader();
    feed(&mut reader, parts[0], &world.log[parts[0]]);
    world.take_over(1);
    let claim = world.log.last().expect("the claim");
    feed(&mut reader, world.log.len() - 1, claim);
    assert!(!reader.is_loaded());
    assert!(reader.load_failed());
    let effects = reader.handle(Timestamp(0), Event::Claim { forced: true });
    assert!(
        effects.is_empty(),
        "a reader without state must not claim the partition"
    );
}

#[test]
fn ended_runs_are_removed_by_count_and_age() {
    let settings = ExecutionSettings {
        max_ended_runs: 5,
        retain_ended: Duration::from_secs(60),
        ..ExecutionSettings::default()
    };
    let mut world = World::owned_with(settings);
    for run in 0..8 {
        let id = RunId::root(run);
        world.event(0, start(id, 1_000));
        world.event(0, submit(id, model_call(1, 0, "x")));
        world.place(0, call(id, 1), 1, "engine-a");
        world.complete(0, call(id, 1), 1, "ok");
        let end = Event::EndRun {
            connection: 1,
            tenant: tenant(),
            run: id,
        };
        world.event(0, end);
        world.advance_time(Duration::from_millis(100));
    }
    let runs = |world: &World| world.nodes[0].partition.counters().runs;
    assert_eq!(
        runs(&world),
        8,
        "the engine memory of the runs is not released yet"
    );
    for run in 0..8 {
        let released = Event::MemoryReleased {
            run: RunId::root(run),
            engine: "engine-a".into(),
        };
        world.event(0, released);
    }
    world.advance_time(Duration::from_secs(1));
    assert_eq!(runs(&world), 5);
    world.advance_time(Duration::from_secs(61));
    assert_eq!(runs(&world), 0);
    assert_eq!(world.digests()[0], world.digests()[1]);
}

#[test]
fn memory_release_survives_a_takeover_and_skips_terminated_engines() {
    let mut world = World::owned();
    world.event(0, start(RUN, 1_000));
    world.event(0, submit(RUN, model_call(1, 0, "x")));
    world.place(0, call(RUN, 1), 1, "engine-a");
    assert!(
        world.nodes[0]
            .partition
            .may_hold_memory(RUN, &"engine-a".into())
    );
    world.complete(0, call(RUN, 1), 1, "ok");
    let end = Event::EndRun {
        connection: 1,
        tenant: tenant(),
        run: RUN,
    };
    world.event(0, end);
    assert!(
        !world.nodes[0]
            .partition
            .may_hold_memory(RUN, &"engine-a".into())
    );
    world.nodes[0].paused = true;
    world.take_over(1);
    assert_eq!(world.nodes[1].partition.counters().unreleased_runs, 1);
    let gone = Event::EngineGone {
        engine: "engine-a".into(),
    };
    world.event(1, gone);
    assert_eq!(world.nodes[1].partition.counters().unreleased_runs, 0);
}
