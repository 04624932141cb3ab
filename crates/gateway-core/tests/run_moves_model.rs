//! One run among engines that crash, refuse, stop it, or lose their answers. What reaches the caller
//! must be in order, no two engines may work on it, and no copy may be used twice or forgotten.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use elderworks_gateway_core::engines::{MoveOutcome, RunCopy};
use elderworks_gateway_core::run_moves::{
    AttemptEnd, CallEnd, CopyPath, Engine, MOST_MOVES, MOST_UNFORCED, MigrationReason, RunAction,
    RunMigration,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ENGINES: u16 = 4;
const REQUEST: &str = "r1";
/// Steps after which a run must have ended.
const MOST_STEPS: u32 = 200;

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

/// What becomes of a call or an attempt; drawn anew for each.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Served,
    ServedAnswerLost,
    Refused,
    UnderWay,
    NoRoom,
    EngineCrashes,
}

/// What happens to the stream between two events.
#[derive(Clone, Copy, Debug)]
enum Happening {
    Event,
    Crash,
    /// The connection is gone; whether the engine works on.
    Reset(bool),
    /// The gateway gives the engine up for another reason.
    Leave(MigrationReason),
}

#[derive(Clone, Debug)]
struct Copy {
    target: u16,
    source: u16,
    is_used: bool,
}

#[derive(Debug)]
struct World {
    events: u32,
    passed: Vec<u32>,
    /// Next event of the stream that is read.
    next: u32,
    dead: BTreeSet<u16>,
    working: BTreeSet<u16>,
    stopped: BTreeSet<u16>,
    ran_at: BTreeSet<u16>,
    backup: Option<u16>,
    copies: BTreeMap<String, Copy>,
    /// Handles that the gateway was told.
    told: BTreeSet<String>,
    runs: u32,
}

impl World {
    fn stop(&mut self, hop: CopyPath, fate: Fate) -> CallEnd {
        let source = number(hop.source);
        if let Fate::EngineCrashes = fate {
            self.crash(source);
        }
        if self.dead.contains(&source) {
            return CallEnd::NotReached;
        }
        match fate {
            Fate::Refused => return CallEnd::Refused,
            Fate::UnderWay => return CallEnd::Answered(MoveOutcome::UnderWay),
            _ => {}
        }
        if !self.working.remove(&source) {
            return CallEnd::Answered(MoveOutcome::NoSuchRun);
        }
        self.stopped.insert(source);
        let target = match fate {
            Fate::NoRoom => source,
            _ => number(hop.target),
        };
        let handle = self.make_copy(source, target);
        match fate {
            Fate::ServedAnswerLost => CallEnd::Unknown,
            Fate::NoRoom => {
                self.told.insert(handle.clone());
                CallEnd::Answered(MoveOutcome::NoRoom {
                    handle: Some(handle),
                })
            }
            _ => {
                self.told.insert(handle.clone());
                CallEnd::Answered(MoveOutcome::Copied { handle, events: 0 })
            }
        }
    }

    fn copy(&mut self, hop: CopyPath, fate: Fate) -> CallEnd {
        let source = number(hop.source);
        match fate {
            _ if self.dead.contains(&source) => CallEnd::NotReached,
            Fate::Served if self.working.contains(&source) => {
                let handle = self.make_copy(source, number(hop.target));
                self.told.insert(handle.clone());
                CallEnd::Answered(MoveOutcome::Copied { handle, events: 0 })
            }
            Fate::ServedAnswerLost | Fate::EngineCrashes => CallEnd::Unknown,
            Fate::NoRoom => CallEnd::Answered(MoveOutcome::NoRoom { handle: None }),
            Fate::UnderWay => CallEnd::Answered(MoveOutcome::UnderWay),
            Fate::Refused => CallEnd::Refused,
            Fate::Served => CallEnd::Answered(MoveOutcome::NoSuchRun),
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

    fn attempt(&mut self, at: u16, copy: &RunCopy, fate: Fate) -> AttemptEnd {
        if let Fate::EngineCrashes = fate {
            self.crash(at);
        }
        let is_refused = matches!(fate, Fate::Refused | Fate::UnderWay | Fate::NoRoom);
        if self.dead.contains(&at) || is_refused || !self.take(at, copy) {
            return AttemptEnd::NotRun;
        }
        assert!(self.working.is_empty(), "two engines at work: {self:?}");
        self.working.insert(at);
        self.stopped.remove(&at);
        self.ran_at.insert(at);
        self.runs += 1;
        self.next = self.last() + 1;
        match fate {
            Fate::ServedAnswerLost => AttemptEnd::Unknown,
            _ => AttemptEnd::Answered,
        }
    }

    /// Whether an engine has the copy and may use it.
    fn take(&mut self, at: u16, copy: &RunCopy) -> bool {
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
        self.dead.insert(engine);
        self.working.remove(&engine);
        self.stopped.remove(&engine);
    }

    fn last(&self) -> u32 {
        self.passed.last().copied().unwrap_or(0)
    }
}

#[derive(Debug)]
struct Script {
    events: u32,
    has_backup: bool,
    max_engines: u32,
    happenings: Vec<Happening>,
    fates: Vec<Fate>,
}

fn script() -> impl Strategy<Value = Script> {
    let reasons = [
        MigrationReason::Silent,
        MigrationReason::Draining,
        MigrationReason::TakenSoon,
        MigrationReason::Slow,
    ];
    let happening = prop_oneof![
        4 => Just(Happening::Event),
        1 => Just(Happening::Crash),
        1 => any::<bool>().prop_map(Happening::Reset),
        1 => proptest::sample::select(reasons.to_vec()).prop_map(Happening::Leave),
    ];
    let fate = prop_oneof![
        5 => Just(Fate::Served),
        1 => Just(Fate::ServedAnswerLost),
        1 => Just(Fate::Refused),
        1 => Just(Fate::UnderWay),
        1 => Just(Fate::NoRoom),
        1 => Just(Fate::EngineCrashes),
    ];
    (
        1_u32..12,
        any::<bool>(),
        1_u32..4,
        proptest::collection::vec(happening, 1..40),
        proptest::collection::vec(fate, 1..20),
    )
        .prop_map(|(events, has_backup, max_engines, mut happenings, fates)| {
            // However often a run tries to leave, it generates meanwhile.
            happenings.push(Happening::Event);
            Script {
                events,
                has_backup,
                max_engines,
                happenings,
                fates,
            }
        })
}

/// Plays a run to its end; tells whether it is whole.
fn play(script: &Script) -> (World, bool) {
    let backup = script.has_backup.then_some(3);
    let mut world = World {
        events: script.events,
        passed: Vec::new(),
        next: 1,
        dead: BTreeSet::new(),
        working: BTreeSet::from([0]),
        stopped: BTreeSet::new(),
        ran_at: BTreeSet::from([0]),
        backup,
        copies: BTreeMap::new(),
        told: BTreeSet::new(),
        runs: 1,
    };
    let ran_at = vec![engine(0).worker];
    let mut life = RunMigration::new(
        REQUEST.to_owned(),
        engine(0),
        backup.map(engine),
        ran_at,
        script.max_engines,
    );
    let mut fates = script.fates.iter().copied().cycle();
    let mut happenings = script.happenings.iter().copied().cycle();
    let mut freed = Vec::new();
    let mut is_whole = false;
    let mut order = RunAction::Read;
    let mut calls = 0;
    for _ in 0..MOST_STEPS {
        let candidate = (0..ENGINES).find(|other| engine(*other) != *life.at());
        let mut fate = || fates.next().expect("a cycle");
        calls += u32::from(matches!(order, RunAction::Copy(_) | RunAction::Stop(_)));
        order = match order {
            RunAction::Copy(hop) => life.after_copy(world.copy(hop, fate())),
            RunAction::Stop(hop) => life.after_stop(world.stop(hop, fate())),
            RunAction::Resume { at, copy } => {
                let end = world.attempt(number(at.address), &copy, fate());
                life.after_attempt(end, candidate.map(engine))
            }
            RunAction::Read => {
                freed.extend(life.take_unused_copies());
                let at = number(life.at().address);
                if world.last() == world.events {
                    is_whole = true;
                    break;
                }
                let is_read = world.working.contains(&at);
                match happenings.next().expect("a cycle") {
                    Happening::Event if is_read => {
                        world.passed.push(world.next);
                        world.next += 1;
                        RunAction::Read
                    }
                    Happening::Leave(reason) if is_read => {
                        life.leave(reason, candidate.map(engine))
                    }
                    Happening::Reset(works_on) if is_read && works_on => {
                        life.leave(MigrationReason::Broken, candidate.map(engine))
                    }
                    Happening::Reset(_) if is_read => {
                        world.working.remove(&at);
                        life.leave(MigrationReason::Broken, candidate.map(engine))
                    }
                    // Crashed, or stopped by a call whose answer was lost: the stream ends broken.
                    Happening::Crash if is_read => {
                        world.crash(at);
                        life.leave(MigrationReason::Broken, candidate.map(engine))
                    }
                    _ => life.leave(MigrationReason::Broken, candidate.map(engine)),
                }
            }
            RunAction::End(_) => break,
        };
    }
    let has_ended = is_whole || matches!(order, RunAction::End(_));
    assert!(has_ended, "the run never ends");
    // A copy and two stops for each try to leave.
    assert!(calls <= 3 * (MOST_UNFORCED + MOST_MOVES + 1));
    life.end();
    freed.extend(life.take_unused_copies());
    for copy in &freed {
        let known = &world.copies[&copy.handle];
        assert!(!known.is_used, "a used copy is freed");
    }
    let freed: BTreeSet<&String> = freed.iter().map(|copy| &copy.handle).collect();
    for handle in &world.told {
        let is_used = world.copies[handle].is_used;
        assert!(is_used || freed.contains(handle), "{handle} is forgotten");
    }
    (world, is_whole)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 20_000,
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_run_goes_on_in_order_at_one_engine_at_a_time(script in script()) {
        let (world, is_whole) = play(&script);
        let expected: Vec<u32> = (1..=world.last()).collect();
        prop_assert_eq!(&world.passed, &expected);
        prop_assert_eq!(is_whole, world.last() == world.events);
        prop_assert!(world.runs <= 1 + MOST_MOVES);
        let living = world.ran_at.difference(&world.dead).count();
        prop_assert!(living <= script.max_engines as usize, "{:?}", world);
    }
}

/// The model reaches what it is for.
#[test]
fn a_reset_stream_and_a_crash_with_a_backup_are_survived() {
    let script = |has_backup, happening| Script {
        events: 4,
        has_backup,
        max_engines: 2,
        happenings: vec![
            Happening::Event,
            happening,
            Happening::Event,
            Happening::Event,
        ],
        fates: vec![Fate::Served],
    };
    assert!(play(&script(false, Happening::Reset(true))).1);
    assert!(play(&script(true, Happening::Crash)).1);
    assert!(!play(&script(false, Happening::Crash)).1);
    assert!(play(&script(false, Happening::Leave(MigrationReason::Draining))).1);
}
