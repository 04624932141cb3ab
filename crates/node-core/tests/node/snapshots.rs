//! Replay that starts at a snapshot.

use std::time::Duration;

use elderworks_node_core::Effect;
use elderworks_protocol::decode;
use elderworks_protocol::journal::JournalBody;
use elderworks_protocol::record::{RecordBatch, StreamName};
use elderworks_protocol::sidecar::{NodeMessage, SidecarMessage};
use elderworks_types::{Offset, PartitionId, RunId};

use crate::fixtures::{program, run_in, start_run, tenant, tool_call, tool_service};
use crate::world::World;

/// Number of runs; with [`CALLS`], it makes the stream longer than one window of the search.
const RUNS: usize = 4;
/// Number of calls of each run.
const CALLS: u32 = 90;

/// Number of offsets before the end that the search may read: one window, which always contains a
/// confirmation in this test.
const SEARCHED: u64 = 512;

fn runs(partition: PartitionId) -> Vec<RunId> {
    let first = run_in(partition).root;
    (first..)
        .map(RunId::root)
        .filter(|run| run.partition(crate::world::PARTITIONS) == partition)
        .take(RUNS)
        .collect()
}

fn bodies(world: &World, stream: StreamName, offset: usize) -> Vec<JournalBody> {
    let batch = decode::<RecordBatch<JournalBody>>(&world.log[&stream][offset]);
    let records = batch.map(|batch| batch.records).unwrap_or_default();
    records.into_iter().map(|record| record.body).collect()
}

/// Returns the offsets of the batches that contain a wanted record.
fn offsets_with(
    world: &World,
    stream: StreamName,
    wanted: impl Fn(&JournalBody) -> bool,
) -> Vec<usize> {
    (0..world.log[&stream].len())
        .filter(|offset| bodies(world, stream, *offset).iter().any(&wanted))
        .collect()
}

/// Returns a node that has completed all calls of all runs.
fn busy_world(partition: PartitionId) -> World {
    let mut world = World::new(1);
    world.run_until("the node owns all partitions", |world| world.settled());
    world.apply(0, tool_service());
    world.apply(0, program(&["tool"], false));
    world.advance(Duration::from_secs(1));
    for run in runs(partition) {
        world.send(0, start_run(run));
        for number in 1..=CALLS {
            world.send(0, tool_call(run, number, true));
        }
        world.advance(Duration::from_secs(1));
    }
    world
}

fn calls_seen(world: &mut World, index: usize, run: RunId) -> usize {
    world.node(index).sent.clear();
    let query = SidecarMessage::ReadRun {
        query: 1,
        tenant: tenant(),
        run,
    };
    world.send(index, query);
    match world.node(index).sent.pop() {
        Some((_, NodeMessage::RunView { view, .. })) => view.map_or(0, |view| view.calls.len()),
        other => panic!("the run cannot be read: {other:?}"),
    }
}

#[test]
fn a_new_owner_starts_at_the_latest_confirmed_snapshot() {
    let partition = PartitionId(0);
    let stream = StreamName::Partition(partition);
    let mut world = busy_world(partition);
    let snapshots = offsets_with(&world, stream, |body| {
        matches!(body, JournalBody::Snapshot { part: 0, .. })
    });
    let length = world.log[&stream].len();
    assert!(
        length > 600,
        "the stream is too short for this test: {length} offsets"
    );
    assert!(snapshots.len() > 2, "{snapshots:?}");
    let latest = *snapshots.last().expect("there are some");

    // A former owner writes its old snapshot again, which is not confirmed.
    let stale = world.log[&stream][snapshots[0]].clone();
    world.log.get_mut(&stream).expect("the stream").push(stale);

    world.kill(0);
    world.start(1);
    world.run_until("the other node owns all partitions", |world| {
        world.settled()
    });
    let reads: Vec<Offset> = world
        .node(1)
        .effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Read {
                stream: read, from, ..
            } if *read == stream => Some(*from),
            _ => None,
        })
        .collect();
    assert!(reads.contains(&Offset(latest as u64)), "{reads:?}");
    // The first read determines the end of the stream; all others are close to it.
    let near_end = |from: &Offset| from.0 + SEARCHED >= length as u64;
    assert!(reads[1..].iter().all(near_end), "{reads:?}");
    for run in runs(partition) {
        assert_eq!(calls_seen(&mut world, 1, run), CALLS as usize);
    }
}
