//! Beginning in the middle of a stream.

use std::time::Duration;

use elderworks_node_core::Effect;
use elderworks_protocol::decode;
use elderworks_protocol::journal::JournalBody;
use elderworks_protocol::record::{RecordBatch, StreamName};
use elderworks_protocol::sidecar::{NodeMessage, SidecarMessage};
use elderworks_types::{Offset, PartitionId, RunId};

use crate::fixtures::{program, run_in, start_run, tenant, tool_call, tool_service};
use crate::world::World;

/// Enough runs of enough calls that the stream is longer than one window of the search.
const RUNS: usize = 4;
const CALLS: u32 = 90;

/// Offsets before the end that this search may read: one window, for confirmations come often.
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

/// Offsets whose batch holds a record that a test asks for.
fn offsets_with(
    world: &World,
    stream: StreamName,
    wanted: impl Fn(&JournalBody) -> bool,
) -> Vec<usize> {
    (0..world.log[&stream].len())
        .filter(|offset| bodies(world, stream, *offset).iter().any(&wanted))
        .collect()
}

/// A node that has journalled all the calls of all the runs.
fn busy_world(partition: PartitionId) -> World {
    let mut world = World::new(1);
    world.until("it owns all", |world| world.settled());
    world.apply(0, tool_service());
    world.apply(0, program(&["tool"], false));
    world.pass(Duration::from_secs(1));
    for run in runs(partition) {
        world.say(0, start_run(run));
        for number in 1..=CALLS {
            world.say(0, tool_call(run, number, true));
        }
        world.pass(Duration::from_secs(1));
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
    world.say(index, query);
    match world.node(index).sent.pop() {
        Some((_, NodeMessage::RunView { view, .. })) => view.map_or(0, |view| view.calls.len()),
        other => panic!("the run cannot be read: {other:?}"),
    }
}

#[test]
fn a_new_owner_begins_at_the_latest_confirmed_snapshot() {
    let partition = PartitionId(0);
    let stream = StreamName::Partition(partition);
    let mut world = busy_world(partition);
    let snapshots = offsets_with(&world, stream, |body| {
        matches!(body, JournalBody::Snapshot { part: 0, .. })
    });
    let length = world.log[&stream].len();
    assert!(
        length > 600,
        "the stream is too short for this test: {length}"
    );
    assert!(snapshots.len() > 2, "{snapshots:?}");
    let latest = *snapshots.last().expect("there are some");

    // An owner of long ago wakes up and writes its old snapshot again; nobody confirms it.
    let stale = world.log[&stream][snapshots[0]].clone();
    world.log.get_mut(&stream).expect("the stream").push(stale);

    world.kill(0);
    world.start(1);
    world.until("the other owns all", |world| world.settled());
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
    // The first read only shows where the stream ends; all others are near that end.
    let near_end = |from: &Offset| from.0 + SEARCHED >= length as u64;
    assert!(reads[1..].iter().all(near_end), "{reads:?}");
    for run in runs(partition) {
        assert_eq!(calls_seen(&mut world, 1, run), CALLS as usize);
    }
}
