//! Simulates the migration of one run between engines that crash, refuse calls or lose responses.
//! Checks that the caller receives every event in order, that no two engines execute the run at the
//! same time, and that each copy is either used once or freed.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use elderworks_gateway_core::engines::{MoveOutcome, RunCopy};
use elderworks_gateway_core::run_moves::{
    AttemptEnd, CallEnd, CopyPath, Engine, MAX_MIGRATIONS, MAX_UNFORCED_ATTEMPTS, MigrationReason,
    RunAction, RunMigration,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ENGINES: u16 = 4;
const REQUEST: &str = "r1";
/// Number of steps within which a run must end.
const MAX_STEPS: u32 = 200;

fn address(engine: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + engine))
}

fn engine(number: u16) -> Engine {
    Engine {
        worker: format!("w{number}"),
        address: address(number),
    }
}

fn number(address: SocketAddr) -> u16 {
    address.port() - 9_000
}

/// Outcome of a call or an attempt, drawn for each one.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    Success,
    ResponseLost,
    /// The engine resets the connection before the call or the request is sent.
    NotSent,
    Refused,
    InProgress,
    NoRoom,
    EngineCrashes,
}

/// Next occurrence on the stream.
#[derive(Clone, Copy, Debug)]
enum Occurrence {
    Event,
    Crash,
    /// The connection is lost. The flag tells whether the engine continues the run.
    Reset(bool),
    /// The gateway migrates the run for another reason.
    Migrate(MigrationReason),
}

#[derive(Clone, Debug)]
struct Copy {
    target: u16,
    source: u16,
    is_used: bool,
}

#[derive(Debug)]
struct World {
    /// Number of events in the complete response.
    events: u32,
    /// Events that the caller has received.
    received: Vec<u32>,
    /// Next event of the current stream.
    next: u32,
    crashed: BTreeSet<u16>,
    executing: BTreeSet<u16>,
    stopped: BTreeSet<u16>,
    ran_at: BTreeSet<u16>,
    backup: Option<u16>,
    copies: BTreeMap<String, Copy>,
    /// Handles that were returned to the gateway.
    returned: BTreeSet<String>,
    runs: u32,
}

impl World {
    fn stop(&mut self, hop: CopyPath, outcome: Outcome) -> CallEnd {
        let source = number(hop.source);
        if let Outcome::EngineCrashes = outcome {
            self.crash(source);
        }
        if self.crashed.contains(&source) {
            return CallEnd::NotReached;
        }
        match outcome {
            Outcome::Refused => return CallEnd::Refused,
            Outcome::NotSent => return CallEnd::NotSent,
            Outcome::InProgress => return CallEnd::Answered(MoveOutcome::UnderWay),
            _ => {}
        }
        if !self.executing.remove(&source) {
            return CallEnd::Answered(MoveOutcome::NoSuchRun);
        }
        self.stopped.insert(source);
        let target = match outcome {
            Outcome::NoRoom => source,
            _ => number(hop.target),
        };
        let handle = self.make_copy(source, target);
        match outcome {
            Outcome::ResponseLost => CallEnd::Unknown,
            Outcome::NoRoom => {
                self.returned.insert(handle.clone());
                CallEnd::Answered(MoveOutcome::NoRoom {
                    handle: Some(handle),
                })
            }
            _ => {
                self.returned.insert(handle.clone());
                CallEnd::Answered(MoveOutcome::Copied { handle, events: 0 })
            }
        }
    }

    fn copy(&mut self, hop: CopyPath, outcome: Outcome) -> CallEnd {
        let source = number(hop.source);
        match outcome {
            _ if self.crashed.contains(&source) => CallEnd::NotReached,
            Outcome::Success if self.executing.contains(&source) => {
                let handle = self.make_copy(source, number(hop.target));
                self.returned.insert(handle.clone());
                CallEnd::Answered(MoveOutcome::Copied { handle, events: 0 })
            }
            Outcome::ResponseLost | Outcome::EngineCrashes => CallEnd::Unknown,
            Outcome::NoRoom => CallEnd::Answered(MoveOutcome::NoRoom { handle: None }),
            Outcome::InProgress => CallEnd::Answered(MoveOutcome::UnderWay),
            Outcome::Refused => CallEnd::Refused,
            Outcome::NotSent => CallEnd::NotSent,
            Outcome::Success => CallEnd::Answered(MoveOutcome::NoSuchRun),
        }
    }

    fn make_copy(&mut self, source: u16, target: u16) -> String {
        let handle = format!("h{}", self.copies.len());
        let copy = Copy {
            target,
            source,
            is_used: false,
        };
        self.copies.insert(handle.clone(), copy);
        handle
    }

    fn attempt(&mut self, at: u16, copy: &RunCopy, outcome: Outcome) -> AttemptEnd {
        if let Outcome::EngineCrashes = outcome {
            self.crash(at);
        }
        let is_refused = matches!(
            outcome,
            Outcome::Refused | Outcome::NotSent | Outcome::InProgress | Outcome::NoRoom
        );
        if self.crashed.contains(&at) || is_refused || !self.use_copy(at, copy) {
            return AttemptEnd::NotRun;
        }
        assert!(
            self.executing.is_empty(),
            "two engines execute the run: {self:?}"
        );
        self.executing.insert(at);
        self.stopped.remove(&at);
        self.ran_at.insert(at);
        self.runs += 1;
        self.next = self.last() + 1;
        match outcome {
            Outcome::ResponseLost => AttemptEnd::Unknown,
            _ => AttemptEnd::Answered,
        }
    }

    /// Returns whether an engine has an unused copy, and marks the copy as used.
    fn use_copy(&mut self, at: u16, copy: &RunCopy) -> bool {
        let source = number(copy.source);
        if copy.handle == REQUEST {
            return self.backup.take_if(|backup| *backup == at).is_some();
        }
        let Some(known) = self.copies.get_mut(&copy.handle) else {
            return false;
        };
        assert_eq!(known.source, source);
        assert!(!known.is_used, "a copy was used twice");
        let is_there = known.target == at || (source == at && self.stopped.contains(&at));
        known.is_used = is_there;
        is_there
    }

    fn crash(&mut self, engine: u16) {
        self.crashed.insert(engine);
        self.executing.remove(&engine);
        self.stopped.remove(&engine);
    }

    fn last(&self) -> u32 {
        self.received.last().copied().unwrap_or(0)
    }
}

#[derive(Debug)]
struct Script {
    events: u32,
    has_backup: bool,
    max_engines: u32,
    occurrences: Vec<Occurrence>,
    outcomes: Vec<Outcome>,
}

fn script() -> impl Strategy<Value = Script> {
    let reasons = [
        MigrationReason::Silent,
        MigrationReason::Draining,
        MigrationReason::Preempted,
        MigrationReason::Slow,
    ];
    let occurrence = prop_oneof![
        4 => Just(Occurrence::Event),
        1 => Just(Occurrence::Crash),
        1 => any::<bool>().prop_map(Occurrence::Reset),
        1 => proptest::sample::select(reasons.to_vec()).prop_map(Occurrence::Migrate),
    ];
    let outcome = prop_oneof![
        5 => Just(Outcome::Success),
        1 => Just(Outcome::ResponseLost),
        1 => Just(Outcome::NotSent),
        1 => Just(Outcome::Refused),
        1 => Just(Outcome::InProgress),
        1 => Just(Outcome::NoRoom),
        1 => Just(Outcome::EngineCrashes),
    ];
    (
        1_u32..12,
        any::<bool>(),
        1_u32..4,
        proptest::collection::vec(occurrence, 1..40),
        proptest::collection::vec(outcome, 1..20),
    )
        .prop_map(
            |(events, has_backup, max_engines, mut occurrences, outcomes)| {
                // Guarantees progress: a run also generates events between migrations.
                occurrences.push(Occurrence::Event);
                Script {
                    events,
                    has_backup,
                    max_engines,
                    occurrences,
                    outcomes,
                }
            },
        )
}

/// Simulates a run to its end. Returns the final state and whether the response is complete.
fn simulate(script: &Script) -> (World, bool) {
    let backup = script.has_backup.then_some(3);
    let mut world = World {
        events: script.events,
        received: Vec::new(),
        next: 1,
        crashed: BTreeSet::new(),
        executing: BTreeSet::from([0]),
        stopped: BTreeSet::new(),
        ran_at: BTreeSet::from([0]),
        backup,
        copies: BTreeMap::new(),
        returned: BTreeSet::new(),
        runs: 1,
    };
    let ran_at = vec![engine(0).worker];
    let mut migration = RunMigration::new(
        REQUEST.to_owned(),
        engine(0),
        backup.map(engine),
        ran_at,
        script.max_engines,
    );
    let mut outcomes = script.outcomes.iter().copied().cycle();
    let mut occurrences = script.occurrences.iter().copied().cycle();
    let mut freed = Vec::new();
    let mut is_complete = false;
    let mut action = RunAction::Read;
    let mut calls = 0;
    for _ in 0..MAX_STEPS {
        let candidate = (0..ENGINES).find(|other| engine(*other) != *migration.at());
        let mut outcome = || outcomes.next().expect("a cycle");
        calls += u32::from(matches!(action, RunAction::Copy(_) | RunAction::Stop(_)));
        action = match action {
            RunAction::Copy(hop) => migration.after_copy(world.copy(hop, outcome())),
            RunAction::Stop(hop) => migration.after_stop(world.stop(hop, outcome())),
            RunAction::Resume { at, copy } => {
                let end = world.attempt(number(at.address), &copy, outcome());
                migration.after_attempt(end, candidate.map(engine))
            }
            RunAction::Read => {
                freed.extend(migration.take_unused_copies());
                let at = number(migration.at().address);
                if world.last() == world.events {
                    is_complete = true;
                    break;
                }
                let is_read = world.executing.contains(&at);
                match occurrences.next().expect("a cycle") {
                    Occurrence::Event if is_read => {
                        world.received.push(world.next);
                        world.next += 1;
                        RunAction::Read
                    }
                    Occurrence::Migrate(reason) if is_read => {
                        migration.migrate(reason, candidate.map(engine))
                    }
                    Occurrence::Reset(continues) if is_read && continues => {
                        migration.migrate(MigrationReason::Broken, candidate.map(engine))
                    }
                    Occurrence::Reset(_) if is_read => {
                        world.executing.remove(&at);
                        migration.migrate(MigrationReason::Broken, candidate.map(engine))
                    }
                    // Otherwise the engine has crashed or was stopped by a call whose response was
                    // lost, and the stream breaks off.
                    Occurrence::Crash if is_read => {
                        world.crash(at);
                        migration.migrate(MigrationReason::Broken, candidate.map(engine))
                    }
                    _ => migration.migrate(MigrationReason::Broken, candidate.map(engine)),
                }
            }
            RunAction::End(_) => break,
        };
    }
    let has_ended = is_complete || matches!(action, RunAction::End(_));
    assert!(has_ended, "the run does not end");
    // One copy call and two stop calls for each migration attempt.
    assert!(calls <= 3 * (MAX_UNFORCED_ATTEMPTS + MAX_MIGRATIONS + 1));
    migration.end();
    freed.extend(migration.take_unused_copies());
    for copy in &freed {
        let known = &world.copies[&copy.handle];
        assert!(!known.is_used, "a used copy is freed");
    }
    let freed: BTreeSet<&String> = freed.iter().map(|copy| &copy.handle).collect();
    for handle in &world.returned {
        let is_used = world.copies[handle].is_used;
        assert!(is_used || freed.contains(handle), "{handle} is leaked");
    }
    (world, is_complete)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 20_000,
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn events_arrive_in_order_from_one_engine_at_a_time(script in script()) {
        let (world, is_complete) = simulate(&script);
        let expected: Vec<u32> = (1..=world.last()).collect();
        prop_assert_eq!(&world.received, &expected);
        prop_assert_eq!(is_complete, world.last() == world.events);
        prop_assert!(world.runs <= 1 + MAX_MIGRATIONS);
        let alive = world.ran_at.difference(&world.crashed).count();
        prop_assert!(alive <= script.max_engines as usize, "{:?}", world);
    }
}

/// Checks that the model covers successful migrations.
#[test]
fn runs_survive_a_reset_and_a_crash_with_a_backup() {
    let script = |has_backup, occurrence| Script {
        events: 4,
        has_backup,
        max_engines: 2,
        occurrences: vec![
            Occurrence::Event,
            occurrence,
            Occurrence::Event,
            Occurrence::Event,
        ],
        outcomes: vec![Outcome::Success],
    };
    assert!(simulate(&script(false, Occurrence::Reset(true))).1);
    assert!(simulate(&script(true, Occurrence::Crash)).1);
    assert!(!simulate(&script(false, Occurrence::Crash)).1);
    assert!(
        simulate(&script(
            false,
            Occurrence::Migrate(MigrationReason::Draining)
        ))
        .1
    );
}
