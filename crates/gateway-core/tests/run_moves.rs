//! When a run goes on elsewhere, and which runs are backed up.

use std::net::SocketAddr;
use std::time::Duration;

use elderworks_gateway_core::engines::{MoveOutcome, RunCopy};
use elderworks_gateway_core::policy::Policy;
use elderworks_gateway_core::run_moves::backups::{BURST_S, BackupRules, Backups, RunSize};
use elderworks_gateway_core::run_moves::targets::{ZonePreference, choose};
use elderworks_gateway_core::run_moves::{
    AttemptEnd, CallEnd, CopyPath, EndReason, Engine, MigrationReason, RunAction, RunMigration,
};
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

fn life(backup: Option<Engine>, max_engines: u32) -> RunMigration {
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

fn stop_at_target() -> RunAction {
    RunAction::Stop(CopyPath {
        source: source().address,
        target: target().address,
    })
}

#[test]
fn what_a_broken_stream_leads_to() {
    use CallEnd::{Answered, NotReached, Refused, Unknown};
    let go_on = |at: Engine, handle: &str| RunAction::Resume {
        at,
        copy: copy(handle),
    };
    let no_room = |handle: Option<&str>| {
        let handle = handle.map(str::to_owned);
        Answered(MoveOutcome::NoRoom { handle })
    };
    let in_doubt = || RunAction::End(EndReason::InDoubt);
    // What the engine said to each call that was to stop the run, with a backup and without.
    let cases = [
        (
            vec![copied("h")],
            go_on(backup(), "h"),
            go_on(target(), "h"),
        ),
        (
            vec![no_room(Some("h"))],
            go_on(source(), "h"),
            go_on(source(), "h"),
        ),
        (vec![no_room(None)], in_doubt(), in_doubt()),
        (
            vec![Answered(MoveOutcome::NoSuchRun)],
            go_on(backup(), "r1"),
            RunAction::End(EndReason::NoCopy),
        ),
        (
            vec![NotReached],
            go_on(backup(), "r1"),
            RunAction::End(EndReason::NoCopy),
        ),
        (
            vec![Unknown, NotReached],
            go_on(backup(), "r1"),
            RunAction::End(EndReason::NoCopy),
        ),
        (vec![Unknown, Unknown], in_doubt(), in_doubt()),
        (
            vec![
                Answered(MoveOutcome::UnderWay),
                Answered(MoveOutcome::UnderWay),
            ],
            in_doubt(),
            in_doubt(),
        ),
        (vec![Refused], in_doubt(), in_doubt()),
    ];
    for (answers, with_backup, without) in cases {
        for (kept, expected) in [(Some(backup()), with_backup), (None, without)] {
            let mut life = life(kept, 2);
            let mut order = life.leave(MigrationReason::Broken, Some(target()));
            for answer in &answers {
                assert!(
                    matches!(order, RunAction::Stop(_)),
                    "{answers:?}: {order:?}"
                );
                order = life.after_stop(answer.clone());
            }
            assert_eq!(order, expected, "{answers:?}");
        }
    }
}

#[test]
fn a_run_that_leaves_unforced_is_read_on_if_the_move_fails() {
    for reason in [
        MigrationReason::Draining,
        MigrationReason::TakenSoon,
        MigrationReason::Slow,
    ] {
        let mut run = life(None, 2);
        assert!(matches!(
            run.leave(reason, Some(target())),
            RunAction::Copy(_)
        ));
        assert_eq!(run.after_copy(CallEnd::NotReached), RunAction::Read);
        assert!(matches!(
            run.leave(reason, Some(target())),
            RunAction::Copy(_)
        ));
        assert_eq!(run.after_copy(copied("a")), stop_at_target());
        assert_eq!(run.after_stop(CallEnd::Refused), RunAction::Read);
        assert_eq!(run.take_unused_copies(), [copy("a")]);
        assert_eq!(run.leave(reason, None), RunAction::Read);
    }
}

#[test]
fn a_refused_copy_goes_back_to_the_engine_that_stopped_and_is_freed_at_last() {
    let mut run = life(None, 2);
    assert_eq!(
        run.leave(MigrationReason::Broken, Some(target())),
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
    assert_eq!(end, RunAction::End(EndReason::NotTaken));
    assert_eq!(run.take_unused_copies(), [copy("h")]);
    assert_eq!(run.take_unused_copies(), []);
}

#[test]
fn a_target_that_breaks_too_is_asked_to_stop_in_its_turn() {
    let mut run = life(None, 3);
    run.leave(MigrationReason::Broken, Some(target()));
    run.after_stop(copied("h"));
    let order = run.after_attempt(AttemptEnd::Unknown, Some(backup()));
    let expected = RunAction::Stop(CopyPath {
        source: target().address,
        target: backup().address,
    });
    assert_eq!(order, expected);
    assert_eq!(run.take_unused_copies(), [], "the copy may be in use");
    run.after_stop(copied("i"));
    assert_eq!(
        run.after_attempt(AttemptEnd::Answered, None),
        RunAction::Read
    );
    let order = run.leave(MigrationReason::Broken, Some(source()));
    assert_eq!(order, RunAction::End(EndReason::MovedOften));
}

#[test]
fn a_route_that_allows_one_engine_keeps_the_run_at_it() {
    let mut run = life(None, 1);
    run.leave(MigrationReason::Broken, Some(target()));
    let expected = RunAction::Resume {
        at: source(),
        copy: copy("h"),
    };
    assert_eq!(run.after_stop(copied("h")), expected);
}

/// An engine whose run was copied elsewhere may refuse to take it up again.
#[test]
fn a_run_that_may_go_nowhere_else_does_not_leave_unforced() {
    for reason in [
        MigrationReason::Silent,
        MigrationReason::Draining,
        MigrationReason::Slow,
    ] {
        let mut run = life(None, 1);
        assert_eq!(run.leave(reason, Some(target())), RunAction::Read);
        let mut run = life(None, 2);
        run.leave(MigrationReason::Silent, Some(target()));
        run.after_stop(copied("h"));
        run.after_attempt(AttemptEnd::Answered, None);
        assert_eq!(run.leave(reason, Some(backup())), RunAction::Read);
        assert!(matches!(
            run.leave(reason, Some(source())),
            RunAction::Stop(_) | RunAction::Copy(_)
        ));
    }
}

#[test]
fn a_lost_engine_does_not_count_against_the_route() {
    let mut run = life(Some(backup()), 1);
    run.leave(MigrationReason::Broken, None);
    let expected = RunAction::Resume {
        at: backup(),
        copy: copy("r1"),
    };
    assert_eq!(run.after_stop(CallEnd::NotReached), expected);
    let mut run = life(Some(backup()), 1);
    run.leave(MigrationReason::Broken, None);
    let stopped = CallEnd::Answered(MoveOutcome::NoSuchRun);
    let expected = RunAction::End(EndReason::NoAttemptLeft);
    assert_eq!(run.after_stop(stopped), expected, "this one is not lost");
}

#[test]
fn a_silent_engine_is_left_only_if_it_cannot_be_reached() {
    let mut run = life(Some(backup()), 2);
    run.leave(MigrationReason::Silent, None);
    let gone = CallEnd::Answered(MoveOutcome::NoSuchRun);
    assert_eq!(
        run.after_stop(gone),
        RunAction::Read,
        "its end is on the way"
    );
    run.leave(MigrationReason::Silent, None);
    let order = run.after_stop(CallEnd::NotReached);
    assert!(matches!(order, RunAction::Resume { .. }), "{order:?}");
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
    }
}

#[test]
fn targets_have_room_are_well_and_lie_where_it_is_wished() {
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
    let chosen = |workers: &WorkerDirectory, tried: &[&str], wish| {
        let tried: Vec<String> = tried.iter().map(|id| (*id).to_owned()).collect();
        let found = choose(workers, "engines", "w1", &tried, wish, now);
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
    let tried = chosen(&workers, &["w2"], ZonePreference::Same);
    assert_eq!(tried.as_deref(), Some("w3"));
    workers.note_start("w2", now);
    workers.note_start("w2", now);
    let crowded = chosen(&workers, &[], ZonePreference::Same);
    assert_eq!(
        crowded.as_deref(),
        Some("w3"),
        "no slot is free at the other"
    );
    assert_eq!(chosen(&workers, &["w2", "w3"], ZonePreference::Same), None);
}

const RULES: BackupRules = BackupRules {
    max_bytes_per_token: 100_000,
    max_concurrent: 2,
    bytes_per_s: 400_000_000,
};

/// Generates much for its size.
const LONG_RUN: RunSize = RunSize {
    tokens: 1_000,
    remaining_tokens: 4_000,
    token_bytes: 18_432,
};

/// A long prompt and a short answer.
const SHORT_RUN: RunSize = RunSize {
    tokens: 14_000,
    remaining_tokens: 257,
    token_bytes: 18_432,
};

#[test]
fn backups_are_for_runs_that_generate_much_on_little_memory() {
    let now = Timestamp(1);
    let mut backups = Backups::default();
    assert_eq!(backups.begin(&RULES, &SHORT_RUN, now), None);
    let bytes = backups.begin(&RULES, &LONG_RUN, now);
    assert_eq!(bytes, Some(5_000 * 18_432));
    let off = BackupRules {
        max_bytes_per_token: 0,
        ..RULES
    };
    assert_eq!(Backups::default().begin(&off, &LONG_RUN, now), None);
    assert!(backups.begin(&RULES, &LONG_RUN, now).is_some());
    assert_eq!(backups.begin(&RULES, &LONG_RUN, now), None, "two at a time");
    backups.end();
    assert!(backups.begin(&RULES, &LONG_RUN, now).is_some());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Over any time, backups move no more than the bound on average and what may be used ahead.
    #[test]
    fn backups_keep_to_their_bytes(
        runs in proptest::collection::vec((1_u64..20_000, 1_u64..5_000, 0_u64..300_000), 1..200),
    ) {
        let rules = BackupRules { max_bytes_per_token: u64::MAX, max_concurrent: u32::MAX, ..RULES };
        let mut backups = Backups::default();
        let mut now = Timestamp(1);
        let mut moved = 0_u64;
        for (tokens, remaining_tokens, pause_us) in runs {
            now = now + Duration::from_micros(pause_us);
            let run = RunSize { tokens, remaining_tokens, token_bytes: 18_432 };
            if let Some(bytes) = backups.begin(&rules, &run, now) {
                moved += bytes;
                let passed = now.since(Timestamp(1)).as_secs_f64() + BURST_S as f64;
                let most = rules.bytes_per_s as f64 * passed;
                prop_assert!(moved as f64 <= most + 200.0, "{} of {}", moved, most);
            }
        }
    }
}
