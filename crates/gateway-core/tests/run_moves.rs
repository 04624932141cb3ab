//! Tests when a run migrates to another engine, and which runs are backed up.

use std::net::SocketAddr;
use std::time::Duration;

use elderworks_gateway_core::engines::{MoveOutcome, RunCopy};
use elderworks_gateway_core::policy::Policy;
use elderworks_gateway_core::run_moves::backups::{BURST_S, BackupRules, Backups, RunSize};
use elderworks_gateway_core::run_moves::stop::{RunStop, StopOutcome, StopStep, left_copy};
use elderworks_gateway_core::run_moves::targets::{ZonePreference, choose};
use elderworks_gateway_core::run_moves::{
    AttemptEnd, CallEnd, CopyPath, EndReason, Engine, MigrationReason, RunAction, RunMigration,
};
use elderworks_gateway_core::stream_versions::SoftwareVersion;
use elderworks_gateway_core::workers::{WorkerDirectory, WorkerRecord};
use elderworks_types::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn engine(name: &str, port: u16) -> Engine {
    Engine {
        worker: name.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
    }
}

fn source() -> Engine {
    engine("w1", 1)
}

fn target() -> Engine {
    engine("w2", 2)
}

fn backup() -> Engine {
    engine("w3", 3)
}

fn migration(backup: Option<Engine>, max_engines: u32) -> RunMigration {
    let ran_at = vec!["w1".to_owned()];
    RunMigration::new("r1".to_owned(), source(), backup, ran_at, max_engines)
}

fn copied(handle: &str) -> CallEnd {
    CallEnd::Answered(MoveOutcome::Copied {
        handle: handle.to_owned(),
        events: 2,
    })
}

fn copy(handle: &str) -> RunCopy {
    RunCopy {
        source: source().address,
        handle: handle.to_owned(),
    }
}

#[test]
fn what_a_call_to_stop_a_run_shows() {
    use StopOutcome::{Lost, Stopped, Unsure};
    use StopStep::{AskAgain, Done};
    let answered = CallEnd::Answered;
    let no_room = |handle: Option<&str>| MoveOutcome::NoRoom {
        handle: handle.map(str::to_owned),
    };
    let cases = [
        (copied("h"), Done(Stopped), Done(Stopped), Some(copy("h"))),
        (
            answered(no_room(Some("h"))),
            Done(Stopped),
            Done(Stopped),
            Some(copy("h")),
        ),
        (
            answered(MoveOutcome::NoSuchRun),
            Done(Stopped),
            Done(Stopped),
            None,
        ),
        (CallEnd::NotReached, Done(Lost), Done(Lost), None),
        (answered(no_room(None)), Done(Unsure), Done(Unsure), None),
        (CallEnd::Refused, Done(Unsure), Done(Unsure), None),
        (
            answered(MoveOutcome::UnderWay),
            AskAgain,
            Done(Unsure),
            None,
        ),
        (CallEnd::NotSent, AskAgain, Done(Unsure), None),
        (CallEnd::Unknown, AskAgain, Done(Unsure), None),
    ];
    for (end, first, second, left) in cases {
        let mut stop = RunStop::default();
        assert_eq!(stop.after_call(&end), first, "{end:?}");
        assert_eq!(stop.after_call(&end), second, "{end:?} again");
        assert_eq!(left_copy(source().address, end.clone()), left, "{end:?}");
    }
}

fn stop_at_target() -> RunAction {
    RunAction::Stop(CopyPath {
        source: source().address,
        target: target().address,
    })
}

#[test]
fn actions_after_a_broken_stream() {
    use CallEnd::{Answered, NotReached, NotSent, Refused, Unknown};
    let resume = |at: Engine, handle: &str| RunAction::Resume {
        at,
        copy: copy(handle),
    };
    let no_room = |handle: Option<&str>| {
        let handle = handle.map(str::to_owned);
        Answered(MoveOutcome::NoRoom { handle })
    };
    let unsettled = || RunAction::End(EndReason::Unsettled);
    // Outcomes of the stop calls; final action with a backup and without.
    let cases = [
        (
            vec![copied("h")],
            resume(backup(), "h"),
            resume(target(), "h"),
        ),
        (
            vec![no_room(Some("h"))],
            resume(source(), "h"),
            resume(source(), "h"),
        ),
        (vec![no_room(None)], unsettled(), unsettled()),
        (
            vec![Answered(MoveOutcome::NoSuchRun)],
            resume(backup(), "r1"),
            RunAction::End(EndReason::NoCopy),
        ),
        (
            vec![NotReached],
            resume(backup(), "r1"),
            RunAction::End(EndReason::NoCopy),
        ),
        (
            vec![Unknown, NotReached],
            resume(backup(), "r1"),
            RunAction::End(EndReason::NoCopy),
        ),
        (
            vec![NotSent, NotReached],
            resume(backup(), "r1"),
            RunAction::End(EndReason::NoCopy),
        ),
        (
            vec![NotSent, copied("h")],
            resume(backup(), "h"),
            resume(target(), "h"),
        ),
        (vec![NotSent, NotSent], unsettled(), unsettled()),
        (vec![NotSent, Unknown], unsettled(), unsettled()),
        (vec![Unknown, Unknown], unsettled(), unsettled()),
        (
            vec![
                Answered(MoveOutcome::UnderWay),
                Answered(MoveOutcome::UnderWay),
            ],
            unsettled(),
            unsettled(),
        ),
        (vec![Refused], unsettled(), unsettled()),
    ];
    for (answers, with_backup, without) in cases {
        for (kept, expected) in [(Some(backup()), with_backup), (None, without)] {
            let mut migration = migration(kept, 2);
            let mut action = migration.migrate(MigrationReason::Broken, Some(target()));
            for answer in &answers {
                assert!(
                    matches!(action, RunAction::Stop(_)),
                    "{answers:?}: {action:?}"
                );
                action = migration.after_stop(answer.clone());
            }
            assert_eq!(action, expected, "{answers:?}");
        }
    }
}

#[test]
fn a_run_continues_if_an_unforced_migration_fails() {
    for reason in [
        MigrationReason::Draining,
        MigrationReason::Preempted,
        MigrationReason::Slow,
    ] {
        let mut run = migration(None, 2);
        assert!(matches!(
            run.migrate(reason, Some(target())),
            RunAction::Copy(_)
        ));
        assert_eq!(run.after_copy(CallEnd::NotReached), RunAction::Read);
        assert!(matches!(
            run.migrate(reason, Some(target())),
            RunAction::Copy(_)
        ));
        assert_eq!(run.after_copy(copied("a")), stop_at_target());
        assert_eq!(run.after_stop(CallEnd::Refused), RunAction::Read);
        assert_eq!(run.take_unused_copies(), [copy("a")]);
        assert_eq!(run.migrate(reason, None), RunAction::Read);
    }
}

#[test]
fn a_refused_copy_returns_to_the_source_engine_and_is_finally_freed() {
    let mut run = migration(None, 2);
    assert_eq!(
        run.migrate(MigrationReason::Broken, Some(target())),
        stop_at_target()
    );
    let at_target = RunAction::Resume {
        at: target(),
        copy: copy("h"),
    };
    assert_eq!(run.after_stop(copied("h")), at_target);
    let at_source = RunAction::Resume {
        at: source(),
        copy: copy("h"),
    };
    assert_eq!(run.after_attempt(AttemptEnd::NotRun, None), at_source);
    let end = run.after_attempt(AttemptEnd::NotRun, None);
    assert_eq!(end, RunAction::End(EndReason::AllRefused));
    assert_eq!(run.take_unused_copies(), [copy("h")]);
    assert_eq!(run.take_unused_copies(), []);
}

#[test]
fn a_target_whose_stream_breaks_is_stopped_as_well() {
    let mut run = migration(None, 3);
    run.migrate(MigrationReason::Broken, Some(target()));
    run.after_stop(copied("h"));
    let action = run.after_attempt(AttemptEnd::Unknown, Some(backup()));
    let expected = RunAction::Stop(CopyPath {
        source: target().address,
        target: backup().address,
    });
    assert_eq!(action, expected);
    assert_eq!(run.take_unused_copies(), [], "the copy may be in use");
    run.after_stop(copied("i"));
    assert_eq!(
        run.after_attempt(AttemptEnd::Answered, None),
        RunAction::Read
    );
    let action = run.migrate(MigrationReason::Broken, Some(source()));
    assert_eq!(action, RunAction::End(EndReason::MigrationLimit));
}

#[test]
fn a_run_limited_to_one_engine_resumes_there() {
    let mut run = migration(None, 1);
    run.migrate(MigrationReason::Broken, Some(target()));
    let expected = RunAction::Resume {
        at: source(),
        copy: copy("h"),
    };
    assert_eq!(run.after_stop(copied("h")), expected);
}

/// Guards against unforced migrations that could lose the run: the source engine may refuse to
/// resume a run that was copied elsewhere.
#[test]
fn a_run_at_its_engine_limit_does_not_migrate_unforced() {
    for reason in [
        MigrationReason::Silent,
        MigrationReason::Draining,
        MigrationReason::Slow,
    ] {
        let mut run = migration(None, 1);
        assert_eq!(run.migrate(reason, Some(target())), RunAction::Read);
        let mut run = migration(None, 2);
        run.migrate(MigrationReason::Silent, Some(target()));
        run.after_stop(copied("h"));
        run.after_attempt(AttemptEnd::Answered, None);
        assert_eq!(run.migrate(reason, Some(backup())), RunAction::Read);
        assert!(matches!(
            run.migrate(reason, Some(source())),
            RunAction::Stop(_) | RunAction::Copy(_)
        ));
    }
}

#[test]
fn a_lost_engine_does_not_count_towards_the_engine_limit() {
    let mut run = migration(Some(backup()), 1);
    run.migrate(MigrationReason::Broken, None);
    let expected = RunAction::Resume {
        at: backup(),
        copy: copy("r1"),
    };
    assert_eq!(run.after_stop(CallEnd::NotReached), expected);
    let mut run = migration(Some(backup()), 1);
    run.migrate(MigrationReason::Broken, None);
    let stopped = CallEnd::Answered(MoveOutcome::NoSuchRun);
    let expected = RunAction::End(EndReason::EngineLimit);
    assert_eq!(run.after_stop(stopped), expected, "this engine is not lost");
}

#[test]
fn a_silent_engine_is_abandoned_only_if_unreachable() {
    let mut run = migration(Some(backup()), 2);
    run.migrate(MigrationReason::Silent, None);
    let gone = CallEnd::Answered(MoveOutcome::NoSuchRun);
    assert_eq!(
        run.after_stop(gone),
        RunAction::Read,
        "the end of the stream may still arrive"
    );
    run.migrate(MigrationReason::Silent, None);
    assert!(matches!(
        run.after_stop(CallEnd::NotSent),
        RunAction::Stop(_)
    ));
    assert_eq!(run.after_stop(CallEnd::NotSent), RunAction::Read);
    run.migrate(MigrationReason::Silent, None);
    let action = run.after_stop(CallEnd::NotReached);
    assert!(matches!(action, RunAction::Resume { .. }), "{action:?}");
}

fn record(id: &str, zone: &str, draining: bool) -> WorkerRecord {
    WorkerRecord {
        id: id.to_owned(),
        service: "engines".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: zone.to_owned(),
        slots: 2,
        draining,
        cold_left: Duration::ZERO,
        born: 1,
        software: Some("v1".to_owned()),
    }
}

#[test]
fn targets_are_healthy_have_a_free_slot_and_match_the_zone_preference() {
    let now = Timestamp(1);
    let mut workers = WorkerDirectory::new(Policy::default());
    let listed = [
        ("w1", "a", false),
        ("w2", "a", false),
        ("w3", "b", false),
        ("w4", "b", true),
    ];
    for (id, zone, draining) in listed {
        workers.upsert(record(id, zone, draining), now);
    }
    let chosen = |workers: &WorkerDirectory, excluded: &[&str], preference| {
        let excluded: Vec<String> = excluded.iter().map(|id| (*id).to_owned()).collect();
        let software = SoftwareVersion::of("v1");
        let found = choose(
            workers, "engines", "w1", software, &excluded, preference, now,
        );
        found.map(|worker| worker.record.id.clone())
    };
    assert_eq!(
        chosen(&workers, &[], ZonePreference::Same).as_deref(),
        Some("w2")
    );
    assert_eq!(
        chosen(&workers, &[], ZonePreference::Other).as_deref(),
        Some("w3")
    );
    let excluded = chosen(&workers, &["w2"], ZonePreference::Same);
    assert_eq!(excluded.as_deref(), Some("w3"));
    workers.note_start("w2", now);
    workers.note_start("w2", now);
    let when_full = chosen(&workers, &[], ZonePreference::Same);
    assert_eq!(
        when_full.as_deref(),
        Some("w3"),
        "the other engine has no free slot"
    );
    assert_eq!(chosen(&workers, &["w2", "w3"], ZonePreference::Same), None);
}

const RULES: BackupRules = BackupRules {
    max_bytes_per_token: 100_000,
    max_concurrent: 2,
    bytes_per_s: 400_000_000,
};

/// Has many tokens left to generate for its size.
const LONG_RUN: RunSize = RunSize {
    tokens: 1_000,
    remaining_tokens: 4_000,
    token_bytes: 18_432,
};

/// Has a long prompt and a short output.
const SHORT_RUN: RunSize = RunSize {
    tokens: 14_000,
    remaining_tokens: 257,
    token_bytes: 18_432,
};

#[test]
fn backups_are_limited_to_runs_with_few_bytes_per_remaining_token() {
    let now = Timestamp(1);
    let mut backups = Backups::default();
    assert_eq!(backups.start(&RULES, &SHORT_RUN, now), None);
    let bytes = backups.start(&RULES, &LONG_RUN, now);
    assert_eq!(bytes, Some(5_000 * 18_432));
    let off = BackupRules {
        max_bytes_per_token: 0,
        ..RULES
    };
    assert_eq!(Backups::default().start(&off, &LONG_RUN, now), None);
    assert!(backups.start(&RULES, &LONG_RUN, now).is_some());
    assert_eq!(backups.start(&RULES, &LONG_RUN, now), None, "two at a time");
    backups.end();
    assert!(backups.start(&RULES, &LONG_RUN, now).is_some());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Over any period, backups transfer at most the average rate plus the burst.
    #[test]
    fn backups_stay_within_their_byte_rate(
        runs in proptest::collection::vec((1_u64..20_000, 1_u64..5_000, 0_u64..300_000), 1..200),
    ) {
        let rules = BackupRules { max_bytes_per_token: u64::MAX, max_concurrent: u32::MAX, ..RULES };
        let mut backups = Backups::default();
        let mut now = Timestamp(1);
        let mut transferred = 0_u64;
        for (tokens, remaining_tokens, delay_us) in runs {
            now = now + Duration::from_micros(delay_us);
            let run = RunSize { tokens, remaining_tokens, token_bytes: 18_432 };
            if let Some(bytes) = backups.start(&rules, &run, now) {
                transferred += bytes;
                let elapsed = now.since(Timestamp(1)).as_secs_f64() + BURST_S as f64;
                let max_bytes = rules.bytes_per_s as f64 * elapsed;
                prop_assert!(
                    transferred as f64 <= max_bytes + 200.0,
                    "{} of {}", transferred, max_bytes
                );
            }
        }
    }
}

#[test]
fn an_engine_of_another_version_is_no_target() {
    let now = Timestamp(1);
    let mut workers = WorkerDirectory::new(Policy::default());
    for (id, software) in [("w1", Some("v1")), ("w2", Some("v2")), ("w3", None)] {
        let software = software.map(str::to_owned);
        let of_version = WorkerRecord {
            software,
            ..record(id, "a", false)
        };
        workers.upsert(of_version, now);
    }
    let target = |workers: &WorkerDirectory| {
        let software = SoftwareVersion::of("v1");
        let preference = ZonePreference::Same;
        let found = choose(workers, "engines", "w1", software, &[], preference, now);
        found.map(|worker| worker.record.id.clone())
    };
    assert_eq!(target(&workers), None);
    workers.upsert(record("w4", "b", false), now);
    assert_eq!(target(&workers).as_deref(), Some("w4"));
}
