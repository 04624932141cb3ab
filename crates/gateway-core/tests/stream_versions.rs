//! Software versions of workers: which ones were in use, which one began a stream, and which workers a
//! request may use because of them.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_gateway_core::balancer::{PlacementQuery, choose};
use elderworks_gateway_core::policy::Policy;
use elderworks_gateway_core::stream_versions::history::{
    NEW_VERSION_PAUSE, VersionCounts, VersionHistory,
};
use elderworks_gateway_core::stream_versions::lifetime::{MAX_DEADLINE, StreamLifetime};
use elderworks_gateway_core::stream_versions::lookup::{
    LookupStep, OriginAnswer, OriginLookup, OriginSource,
};
use elderworks_gateway_core::stream_versions::origins::{
    ASKED_NODES, COPIES, StreamOrigins, holders,
};
use elderworks_gateway_core::stream_versions::records::{
    RecordChange, VersionRecord, VersionRecords,
};
use elderworks_gateway_core::stream_versions::{
    ServiceVersions, SoftwareVersion, StreamKey, StreamVersion, VersionRule, service_key,
};
use elderworks_gateway_core::workers::{WorkerDirectory, WorkerRecord};
use elderworks_types::{NodeId, Timestamp};

const START: Timestamp = Timestamp(5_000_000);
const LIFETIME: Duration = Duration::from_secs(10);
const SERVICE: &str = "engines";

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::of(name)
}

fn after(millis: u64) -> Timestamp {
    START + Duration::from_millis(millis)
}

/// Returns counts of workers of these versions; an empty name stands for an unknown version.
fn counts(names: &[&str]) -> VersionCounts {
    let versions = names.iter().map(|name| {
        let known = (!name.is_empty()).then(|| version(name));
        (known, 2)
    });
    BTreeMap::from([(SERVICE.to_owned(), versions.collect())])
}

/// A history that has observed these versions at these times, with a read at the last one.
fn observed(mut history: VersionHistory, steps: &[(u64, &[&str])]) -> VersionHistory {
    for (at, names) in steps {
        history.observe(after(*at), &counts(names));
        history.note_read(after(*at));
    }
    history
}

fn versions_at(history: &VersionHistory, millis: u64) -> ServiceVersions {
    history.versions(SERVICE, after(millis), LIFETIME)
}

#[test]
fn a_single_version_is_proved_once_it_was_alone_for_the_life_of_a_stream() {
    let starting = VersionHistory::starting(START);
    let history = observed(starting, &[(0, &["v1"]), (9_900, &["v1"])]);
    assert_eq!(
        versions_at(&history, 9_900),
        ServiceVersions::Recent(version("v1"))
    );
    let history = observed(history, &[(10_000, &["v1"])]);
    assert_eq!(
        versions_at(&history, 10_000),
        ServiceVersions::Sole(version("v1"))
    );
    assert_eq!(
        versions_at(&history, 11_000),
        ServiceVersions::Stale(version("v1"))
    );
    assert_eq!(
        history.versions("another", after(10_000), LIFETIME),
        ServiceVersions::Unknown
    );
}

#[test]
fn a_single_version_is_proved_at_once_if_no_node_ran_before() {
    let mut history = VersionHistory::starting(START);
    history.note_first_start();
    let history = observed(history, &[(0, &["v1"])]);
    assert_eq!(
        versions_at(&history, 0),
        ServiceVersions::Sole(version("v1"))
    );
}

#[test]
fn a_version_counts_for_the_life_of_a_stream_after_its_last_worker_has_gone() {
    let mut history = VersionHistory::default();
    history.note_first_start();
    let history = observed(
        history,
        &[
            (0, &["v1"]),
            (1_000, &["v1", "v2"]),
            (2_000, &["v1", "v2"]),
            (3_000, &["v2"]),
        ],
    );
    assert_eq!(versions_at(&history, 3_000), ServiceVersions::Several);
    let history = observed(history, &[(12_900, &["v2"])]);
    assert_eq!(versions_at(&history, 12_900), ServiceVersions::Several);
    let history = observed(history, &[(13_000, &["v2"])]);
    assert_eq!(
        versions_at(&history, 13_000),
        ServiceVersions::Sole(version("v2"))
    );
}

#[test]
fn a_gap_in_the_records_ends_the_proof() {
    let history = observed(VersionHistory::default(), &[(0, &["v1"]), (500, &["v1"])]);
    assert_eq!(
        versions_at(&history, 500),
        ServiceVersions::Sole(version("v1"))
    );
    let mut history = history;
    history.note_gap(after(600));
    let history = observed(history, &[(600, &["v1"])]);
    assert_eq!(
        versions_at(&history, 600),
        ServiceVersions::Recent(version("v1"))
    );
}

#[test]
fn workers_of_unknown_versions_prove_nothing() {
    let history = observed(VersionHistory::default(), &[(0, &[""])]);
    assert_eq!(versions_at(&history, 0), ServiceVersions::Unknown);
    let history = observed(VersionHistory::default(), &[(0, &["", "v1"])]);
    assert_eq!(versions_at(&history, 0), ServiceVersions::Several);
}

#[test]
fn a_further_version_is_noticed_once() {
    let mut history = VersionHistory::default();
    assert!(!history.observe(after(0), &counts(&["v1"])));
    assert!(!history.observe(after(100), &counts(&["v1"])));
    assert!(history.observe(after(200), &counts(&["v1", "v2"])));
    assert!(!history.observe(after(300), &counts(&["v1", "v2"])));
    // A first version returns after its workers had gone.
    assert!(!history.observe(after(400), &counts(&["v2"])));
    assert!(history.observe(after(5_000), &counts(&["v1", "v2"])));
}

#[test]
fn a_node_that_sees_some_workers_needs_a_readers_statement() {
    let mut history = VersionHistory::default();
    history.note_first_start();
    history.observe_some(after(0), &counts(&["v1"]));
    history.note_read(after(0));
    assert_eq!(
        versions_at(&history, 0),
        ServiceVersions::Recent(version("v1"))
    );
    for (stated, expected) in [
        (
            ServiceVersions::Sole(version("v1")),
            ServiceVersions::Sole(version("v1")),
        ),
        (
            ServiceVersions::Sole(version("v2")),
            ServiceVersions::Several,
        ),
        (ServiceVersions::Several, ServiceVersions::Several),
    ] {
        history.note_statement(after(100), service_key(SERVICE), stated);
        assert_eq!(versions_at(&history, 200), expected, "{stated:?}");
    }
    assert_eq!(
        versions_at(&history, 2_200),
        ServiceVersions::Recent(version("v1"))
    );
}

/// Streams of a further version may have begun since a reader stated that there is one.
#[test]
fn an_earlier_statement_of_a_reader_does_not_prove_a_single_version() {
    let mut history = VersionHistory::starting(START);
    let counts = directory(&[("w1", "v1")], START).version_counts();
    history.observe_some(START, &counts);
    let sole = ServiceVersions::Sole(version("v1"));
    history.note_statement(after(100), service_key(SERVICE), sole);
    assert_eq!(versions_at(&history, 350), sole);
    for ms in [400, 1_900] {
        let expected = ServiceVersions::Stale(version("v1"));
        assert_eq!(versions_at(&history, ms), expected, "{ms}");
    }
}

fn directory(listed: &[(&str, &str)], now: Timestamp) -> WorkerDirectory {
    let mut workers = WorkerDirectory::new(Policy::default());
    add(&mut workers, listed, now);
    workers
}

fn add(workers: &mut WorkerDirectory, listed: &[(&str, &str)], now: Timestamp) {
    for (id, software) in listed {
        let software = (!software.is_empty()).then(|| (*software).to_owned());
        let record = WorkerRecord {
            software,
            ..common::engine(id, "a")
        };
        workers.upsert(record, now);
    }
    let counts = workers.version_counts();
    workers.versions_mut().observe(now, &counts);
}

/// Returns the workers that requests with 40 different seeds use.
fn used(workers: &WorkerDirectory, rule: VersionRule, now: Timestamp) -> Vec<String> {
    let chosen = (0..40).filter_map(|seed| {
        let query = PlacementQuery {
            service: SERVICE,
            key: None,
            zone: "a",
            repeatable: true,
            tried: &[],
            versions: rule,
            turn: None,
            seed,
            is_connected: &|_| false,
        };
        choose(workers, &query, now).map(|worker| worker.record.id.clone())
    });
    let mut chosen: Vec<String> = chosen.collect();
    chosen.sort();
    chosen.dedup();
    chosen
}

#[test]
fn a_bound_stream_uses_workers_of_its_version_only() {
    let workers = directory(
        &[("w1", "v1"), ("w2", "v2"), ("w3", "v2"), ("w4", "")],
        START,
    );
    let bound = StreamVersion::Bound(version("v2"));
    assert_eq!(used(&workers, bound.rule(true), START), ["w2", "w3"]);
    assert_eq!(used(&workers, bound.rule(false), START), ["w2", "w3"]);
    let unknown = StreamVersion::of_first_event(None);
    assert!(used(&workers, unknown.rule(true), START).is_empty());
    let gone = StreamVersion::Bound(version("v3"));
    assert!(used(&workers, gone.rule(true), START).is_empty());
    assert!(workers.serves_version(SERVICE, version("v1"), START));
    assert!(!workers.serves_version(SERVICE, version("v3"), START));
}

#[test]
fn a_version_that_has_just_appeared_begins_no_streams_while_another_can() {
    let mut workers = directory(&[("w1", "v1")], START);
    let appeared = after(1_000);
    add(&mut workers, &[("w2", "v2")], appeared);
    let rule = StreamVersion::Open.rule(true);
    assert_eq!(used(&workers, rule, appeared), ["w1"]);
    assert_eq!(
        used(&workers, StreamVersion::Open.rule(false), appeared),
        ["w1", "w2"]
    );
    let settled = appeared + NEW_VERSION_PAUSE;
    assert_eq!(used(&workers, rule, settled), ["w1", "w2"]);
    // Without any other worker, the new one is used at once.
    workers.mark_missing("w1", appeared);
    workers.forget_missing(after(3_000));
    assert_eq!(used(&workers, rule, appeared), ["w2"]);
}

#[test]
fn a_restarted_worker_has_the_version_of_its_latest_record() {
    let mut workers = directory(&[("w1", "v1")], START);
    let restarted = WorkerRecord {
        born: 7,
        software: Some("v2".to_owned()),
        ..common::engine("w1", "a")
    };
    workers.upsert(restarted.clone(), START);
    assert_eq!(
        workers.get("w1").expect("a worker").software,
        Some(version("v2"))
    );
    // A reader's update doesn't have the version, which can't have changed.
    let update = WorkerRecord {
        software: None,
        draining: true,
        ..restarted
    };
    workers.upsert(update, START);
    assert_eq!(
        workers.get("w1").expect("a worker").software,
        Some(version("v2"))
    );
}

#[test]
fn a_worker_of_unknown_version_takes_the_one_that_is_told() {
    let mut workers = directory(&[("w1", ""), ("w2", "v1")], START);
    let unknown: Vec<_> = workers.without_software().collect();
    assert_eq!(unknown, [workers.get("w1").expect("a worker").key()]);
    assert!(workers.set_software(unknown[0], "v2"));
    assert!(!workers.set_software(unknown[0], "v3"));
    assert_eq!(
        workers.get("w1").expect("a worker").software,
        Some(version("v2"))
    );
}

fn answer(origin: Option<&str>, versions: ServiceVersions) -> OriginAnswer {
    OriginAnswer {
        origin: origin.map(version),
        versions,
    }
}

/// Returns how a lookup ends after these answers of `nodes` nodes and a timeout.
fn outcome(
    own: ServiceVersions,
    nodes: usize,
    answers: &[OriginAnswer],
) -> Option<(SoftwareVersion, OriginSource)> {
    let mut lookup = OriginLookup::start(own, nodes);
    let mut step = lookup.first_step();
    for answer in answers {
        if step == LookupStep::Wait {
            step = lookup.on_answer(*answer);
        }
    }
    if step == LookupStep::Wait {
        step = lookup.on_timeout();
    }
    match step {
        LookupStep::Known(known) => Some((known.version, known.source)),
        LookupStep::Wait | LookupStep::Unknown => None,
    }
}

#[test]
fn a_copy_decides_whatever_else_is_known() {
    let told = [
        answer(None, ServiceVersions::Several),
        answer(Some("v2"), ServiceVersions::Several),
    ];
    let expected = Some((version("v2"), OriginSource::Copy));
    for own in [
        ServiceVersions::Several,
        ServiceVersions::Unknown,
        ServiceVersions::Recent(version("v1")),
        ServiceVersions::Stale(version("v1")),
    ] {
        assert_eq!(outcome(own, 3, &told), expected, "{own:?}");
    }
}

#[test]
fn without_a_copy_only_a_proved_single_version_is_taken() {
    let v1 = version("v1");
    let (recent, stale, sole) = (
        ServiceVersions::Recent(v1),
        ServiceVersions::Stale(v1),
        ServiceVersions::Sole(v1),
    );
    let (several, unknown) = (ServiceVersions::Several, ServiceVersions::Unknown);
    let other = ServiceVersions::Sole(version("v2"));
    let cases: &[(ServiceVersions, usize, &[ServiceVersions], bool)] = &[
        // A node that knows needs no answer; one that is alone has nobody to contradict it.
        (sole, 3, &[], true),
        (stale, 0, &[], true),
        (recent, 0, &[], false),
        (unknown, 0, &[], false),
        (several, 0, &[], false),
        // A node that reads late needs one that doesn't, or the agreement of all: others that are cut off
        // with it miss the same.
        (stale, 3, &[], false),
        (stale, 3, &[unknown], false),
        (stale, 3, &[recent], false),
        (stale, 3, &[stale, stale], false),
        (stale, 3, &[recent, sole], true),
        (stale, 3, &[recent, recent, recent], true),
        (stale, 3, &[stale, stale, stale], true),
        (stale, 3, &[stale, several, stale], false),
        // A node that has just started needs one that has seen more.
        (recent, 3, &[], false),
        (recent, 3, &[recent, recent, recent], false),
        (recent, 3, &[sole], true),
        (recent, 3, &[stale], false),
        (recent, 3, &[stale, recent, unknown], true),
        (recent, 3, &[other], false),
        (unknown, 3, &[sole], true),
        (unknown, 3, &[unknown, unknown, unknown], false),
        // Several versions, at this node or at another one, are never guessed between.
        (several, 3, &[sole, sole, sole], false),
        (recent, 3, &[several, sole], false),
        (unknown, 3, &[sole, several], true),
    ];
    for (own, nodes, versions, is_known) in cases {
        let answers: Vec<OriginAnswer> = versions.iter().map(|told| answer(None, *told)).collect();
        let expected = is_known.then_some((v1, OriginSource::SoleVersion));
        assert_eq!(
            outcome(*own, *nodes, &answers),
            expected,
            "{own:?}, {versions:?}"
        );
    }
}

#[test]
fn a_stream_keeps_the_version_that_was_noted_first() {
    let mut origins = StreamOrigins::default();
    let stream = StreamKey::of("r1");
    assert!(origins.note_begun(START, stream, version("v1"), true));
    assert!(!origins.note_begun(START, stream, version("v2"), true));
    origins.note_told(START, stream, version("v2"));
    let known = origins.get(after(30), stream);
    assert_eq!(known, Some((version("v1"), Duration::from_millis(30))));
    assert_eq!(origins.take_unreported(), [(stream, version("v1"))]);
    assert!(origins.take_unreported().is_empty());
}

#[test]
fn streams_begun_at_the_only_version_are_reported_once_there_is_another() {
    let mut origins = StreamOrigins::default();
    let streams = ["r1", "r2"].map(StreamKey::of);
    for stream in streams {
        assert!(!origins.note_begun(START, stream, version("v1"), false));
    }
    origins.note_told(START, StreamKey::of("of another node"), version("v1"));
    assert!(origins.take_unreported().is_empty());
    assert!(origins.report_all());
    assert_eq!(
        origins.take_unreported(),
        streams.map(|stream| (stream, version("v1")))
    );
    assert!(!origins.report_all());
}

#[test]
fn streams_are_forgotten_after_their_lifetime_and_at_the_limit() {
    let mut origins = StreamOrigins::default();
    origins.note_begun(START, StreamKey(1), version("v1"), true);
    origins.note_begun(after(6_000), StreamKey(2), version("v1"), true);
    origins.drop_old(after(10_000), LIFETIME);
    assert_eq!(origins.len(), 2);
    origins.drop_old(after(10_001), LIFETIME);
    assert_eq!(origins.len(), 1);
    assert!(origins.get(after(10_001), StreamKey(1)).is_none());
    for stream in 10..100_000 {
        origins.note_told(after(11_000), StreamKey(stream), version("v1"));
    }
    assert!(origins.len() < 40_000, "{}", origins.len());
    assert!(origins.get(after(11_000), StreamKey(99_999)).is_some());
}

/// The node that resumes a stream asks those that hold it although it knows other nodes.
#[test]
fn the_asked_nodes_include_the_holders_after_changes_of_the_fleet() {
    let nodes: Vec<NodeId> = (0..30)
        .map(|number| NodeId::new(format!("n{number}")))
        .collect();
    let mut missed = 0;
    for stream in 0..500 {
        let stream = StreamKey(stream);
        let held = holders(stream, nodes[..28].iter().skip(1), COPIES);
        // Another node asks: it is not a holder itself, and it knows two nodes more.
        let asked = holders(stream, nodes.iter().skip(2), ASKED_NODES);
        missed += held
            .iter()
            .filter(|node| **node != &nodes[1] && !asked.contains(node))
            .count();
    }
    assert_eq!(missed, 0);
}

fn record(name: &str) -> VersionRecord {
    VersionRecord {
        service: service_key(SERVICE),
        version: version(name),
    }
}

#[test]
fn recorded_versions_complete_the_history_of_a_process_that_has_just_started() {
    let v1 = version("v1");
    for (recorded, seen, expected) in [
        (&["v1"][..], &["v1"][..], ServiceVersions::Sole(v1)),
        (&["v1", "v2"], &["v1"], ServiceVersions::Several),
        (&["v2"], &["v1"], ServiceVersions::Several),
        (&["v1"], &["v1", "v2"], ServiceVersions::Several),
        (&[], &["v1"], ServiceVersions::Recent(v1)),
    ] {
        let mut history = VersionHistory::starting(START);
        let records: Vec<VersionRecord> = recorded.iter().map(|name| record(name)).collect();
        history.take_recorded(START, &records);
        let history = observed(history, &[(50, seen)]);
        assert_eq!(
            versions_at(&history, 50),
            expected,
            "{recorded:?}, {seen:?}"
        );
        // What was recorded before the start matters no longer than a stream lasts.
        let history = observed(history, &[(10_000, &["v1"]), (20_100, &["v1"])]);
        assert_eq!(versions_at(&history, 20_100), ServiceVersions::Sole(v1));
    }
}

#[test]
fn records_follow_the_versions_in_use() {
    let mut records = VersionRecords::default();
    assert!(!records.is_read());
    let due = |records: &VersionRecords, history: &VersionHistory, at: u64| {
        records.due([SERVICE].into_iter(), history, after(at), LIFETIME)
    };
    let mut history = VersionHistory::default();
    history.note_first_start();
    let history = observed(history, &[(0, &["v1"])]);
    let write = RecordChange::Write(record("v1"));
    assert_eq!(due(&records, &history, 0), [write]);
    records.note_done(write);
    assert!(due(&records, &history, 0).is_empty());
    let history = observed(history, &[(1_000, &["v1", "v2"])]);
    let write = RecordChange::Write(record("v2"));
    assert_eq!(due(&records, &history, 1_000), [write]);
    records.note_done(write);
    let history = observed(history, &[(2_000, &["v2"]), (11_900, &["v2"])]);
    assert!(due(&records, &history, 11_900).is_empty());
    let history = observed(history, &[(12_000, &["v2"])]);
    let remove = RecordChange::Remove(record("v1"));
    // Others may have written records that this node doesn't know.
    assert!(due(&records, &history, 12_000).is_empty());
    records.take_read(vec![record("v1"), record("v2")]);
    assert_eq!(due(&records, &history, 12_000), [remove]);
    records.note_done(remove);
    assert!(due(&records, &history, 12_000).is_empty());
}

/// A node that has just started may not know of streams that a version without workers began.
#[test]
fn a_node_that_has_just_started_removes_no_record() {
    let mut records = VersionRecords::default();
    records.take_read(vec![record("v1"), record("v2")]);
    let history = observed(VersionHistory::starting(START), &[(0, &["v2"])]);
    let due = |history: &VersionHistory, at| {
        records.due([SERVICE].into_iter(), history, after(at), LIFETIME)
    };
    assert!(due(&history, 0).is_empty());
    let history = observed(history, &[(10_000, &["v2"])]);
    assert_eq!(due(&history, 10_000), [RecordChange::Remove(record("v1"))]);
}

#[test]
fn a_record_is_its_key() {
    let known = record("v1");
    assert_eq!(VersionRecord::parse(&known.key()), Some(known));
    for foreign in ["", "x-y", "0123", "12-"] {
        assert_eq!(VersionRecord::parse(foreign), None, "{foreign}");
    }
}

#[test]
fn a_worker_that_leaves_continues_streams_that_no_other_one_of_its_version_can() {
    let drain_use = Duration::from_secs(1);
    let mut workers = directory(&[("w1", "v1"), ("w2", "v2")], START).with_drain_use(drain_use);
    let bound = StreamVersion::Bound(version("v1")).rule(true);
    let leaving = |id: &str| WorkerRecord {
        draining: true,
        software: Some("v1".to_owned()),
        ..common::engine(id, "a")
    };
    workers.versions_mut().note_read(after(100));
    workers.upsert(leaving("w1"), after(200));
    assert_eq!(used(&workers, bound, after(1_100)), ["w1"]);
    assert!(workers.serves_version(SERVICE, version("v1"), after(1_100)));
    // New streams go elsewhere, and so do bound ones while another worker accepts them.
    assert_eq!(used(&workers, VersionRule::Any, after(300)), ["w2"]);
    let mut with_another = workers.clone();
    add(&mut with_another, &[("w3", "v1")], after(300));
    assert_eq!(used(&with_another, bound, after(300)), ["w3"]);
    // The announcement may be repeated; the time runs from the first one.
    workers.upsert(leaving("w1"), after(1_000));
    assert!(used(&workers, bound, after(1_200)).is_empty());
    assert!(!workers.serves_version(SERVICE, version("v1"), after(1_200)));
}

#[test]
fn a_worker_that_leaves_continues_its_own_streams_for_a_part_of_its_notice() {
    let drain_use = Duration::from_secs(1);
    let mut workers = directory(&[("w1", "v1"), ("w2", "v1")], START).with_drain_use(drain_use);
    let may_continue = |workers: &WorkerDirectory, at| {
        let known = workers.get("w1").expect("a known worker");
        workers.may_continue_stream(known, at)
    };
    assert!(may_continue(&workers, after(100)));
    workers.versions_mut().note_read(after(100));
    let leaving = WorkerRecord {
        draining: true,
        ..common::engine("w1", "a")
    };
    workers.upsert(leaving, after(200));
    assert!(may_continue(&workers, after(1_100)));
    assert!(!may_continue(&workers, after(1_200)));
}

#[test]
fn a_worker_whose_leaving_may_be_old_news_continues_nothing() {
    let drain_use = Duration::from_secs(1);
    let bound = StreamVersion::Bound(version("v1")).rule(true);
    let leaving = WorkerRecord {
        draining: true,
        ..common::engine("w1", "a")
    };
    // The records were not read for a while.
    let mut workers = directory(&[("w1", "v1")], START).with_drain_use(drain_use);
    workers.versions_mut().note_read(START);
    workers.upsert(leaving.clone(), after(800));
    assert!(used(&workers, bound, after(800)).is_empty());
    // The worker is first seen while it leaves.
    let mut workers = directory(&[("w2", "v2")], START).with_drain_use(drain_use);
    workers.versions_mut().note_read(START);
    workers.upsert(leaving, START);
    assert!(used(&workers, bound, START).is_empty());
}

#[test]
fn another_nodes_proof_counts_while_this_node_sees_no_other_version() {
    let starting = || observed(VersionHistory::starting(START), &[(0, &["v1"])]);
    let mut history = starting();
    history.note_proved(SERVICE, version("v1"));
    assert_eq!(
        versions_at(&history, 0),
        ServiceVersions::Sole(version("v1"))
    );
    let history = observed(history, &[(500, &["v1", "v2"])]);
    assert_eq!(versions_at(&history, 500), ServiceVersions::Several);
    let mut contradicted = starting();
    contradicted.note_proved(SERVICE, version("v2"));
    assert_eq!(
        versions_at(&contradicted, 0),
        ServiceVersions::Recent(version("v1"))
    );
    let mut interrupted = starting();
    interrupted.note_proved(SERVICE, version("v1"));
    interrupted.note_gap(after(100));
    assert_eq!(
        versions_at(&interrupted, 100),
        ServiceVersions::Recent(version("v1"))
    );
}

#[test]
fn streams_last_as_long_as_routes_hold_them_or_callers_wait() {
    let seconds = Duration::from_secs;
    let mut lifetime = StreamLifetime::default();
    lifetime.note_routes(seconds(20));
    // Routes that hold requests for a shorter time now don't end the streams of before.
    lifetime.note_routes(seconds(10));
    assert_eq!(lifetime.get(), seconds(20));
    lifetime.note_deadline(seconds(15));
    assert_eq!(lifetime.get(), seconds(20));
    lifetime.note_deadline(seconds(30));
    assert_eq!(lifetime.get(), seconds(30));
    lifetime.note_deadline(seconds(100_000));
    assert_eq!(lifetime.get(), MAX_DEADLINE);
    lifetime.note_routes(seconds(300));
    assert_eq!(lifetime.get(), seconds(300));
}
