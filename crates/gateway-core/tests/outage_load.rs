//! Replays a load of programs whose turns are kept through a silence of the log, by the callers' rules:
//! a turn has 2.5 s, one more try within them after a refusal, and goes out again twice after a failure.

use std::time::Duration;

use elderworks_gateway_core::outage_wait::{RETRY_AFTER, outage_wait};
use elderworks_gateway_core::policy::Policy;

/// Seconds.
type Seconds = f64;

/// What a turn takes at an engine, and a program between two turns.
const TURN: Seconds = 0.06;
const TOOLS: Seconds = 0.07;

/// A turn's deadline, and the gap after which a stream is given up.
const DEADLINE: Seconds = 2.5;
const LONGEST_GAP: Seconds = 2.4;

/// Part of the time left for which callers wait before they come back.
const LONGEST_RETURN: f64 = 1.0 / 3.0;

/// Times that a turn goes out.
const GOES: u32 = 3;

/// Programs that begin each second, and the turns of each.
const PROGRAMS: u32 = 72;
const TURNS: u32 = 6;

/// A program's aim in terms of what it takes undisturbed.
const AIM: f64 = 1.6;
const AIM_ADDED: Seconds = 0.2;

/// Programs that begin while one turn runs: what waits ends later than what has run, by a turn.
const A_TURNS_PROGRAMS: u32 = (TURN * PROGRAMS as f64) as u32 + 2;

const SILENT_FROM: Seconds = 10.0;

/// What is done with a turn while the log is silent.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// It runs, and its end waits.
    Begin,
    /// It waits for this share of its time, then is refused.
    Wait(f64),
}

#[derive(Clone, Copy, Debug)]
struct Outage {
    until: Seconds,
    known_after: Seconds,
    way: Way,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Counted {
    in_time: u32,
    /// Within twice the aim.
    late: u32,
    later: u32,
    failed: u32,
    runs_in_vain: u32,
    /// Those of them that began when the silence was known.
    begun_in_vain: u32,
}

impl Outage {
    fn is_silent(&self, now: Seconds) -> bool {
        (SILENT_FROM..self.until).contains(&now)
    }

    fn is_known(&self, now: Seconds) -> bool {
        self.is_silent(now) && now >= SILENT_FROM + self.known_after
    }

    /// A turn that runs from `now` on: when its end is durable, or when it is given up.
    fn run(&self, now: Seconds, deadline: Seconds) -> Result<Seconds, Seconds> {
        let made = now + TURN;
        if !self.is_silent(made) {
            return Ok(made);
        }
        let given_up = deadline.min(made + LONGEST_GAP);
        match self.until <= given_up {
            true => Ok(self.until),
            false => Err(given_up),
        }
    }

    /// One turn as it goes out once: when it has ended, or when it has failed.
    fn go(&self, from: Seconds, counted: &mut Counted) -> Result<Seconds, Seconds> {
        let deadline = from + DEADLINE;
        let mut now = from;
        for tries_left in [1, 0] {
            let share = match self.way {
                Way::Wait(share) if self.is_known(now) => share,
                _ => {
                    let ran = self.run(now, deadline);
                    counted.runs_in_vain += u32::from(ran.is_err());
                    counted.begun_in_vain += u32::from(ran.is_err() && self.is_known(now));
                    return ran;
                }
            };
            let left = Duration::from_secs_f64(deadline - now);
            let waits_until = now + outage_wait(left, share).as_secs_f64();
            if self.until <= waits_until {
                return self.run(self.until, deadline);
            }
            now = waits_until;
            if tries_left > 0 {
                now += RETRY_AFTER
                    .as_secs_f64()
                    .min((deadline - now) * LONGEST_RETURN);
            }
        }
        Err(now)
    }

    /// A whole program: its time, `None` if it fails.
    fn program(&self, from: Seconds, pauses: f64, counted: &mut Counted) -> Option<Seconds> {
        let mut now = from;
        for turn in 0..TURNS {
            let mut ended = None;
            for go in 0..GOES {
                match self.go(now, counted) {
                    Ok(end) => {
                        ended = Some(end);
                        break;
                    }
                    // From 0.1 to 0.4 s, each a little different.
                    Err(failed) => {
                        now = failed + 0.1 + 0.3 * (pauses + f64::from(go) * 0.37).fract()
                    }
                }
            }
            now = ended? + if turn + 1 < TURNS { TOOLS } else { 0.0 };
        }
        Some(now - from)
    }

    fn replay(&self) -> Counted {
        let mut counted = Counted::default();
        let alone = f64::from(TURNS) * TURN + f64::from(TURNS - 1) * TOOLS;
        let aim = alone * AIM + AIM_ADDED;
        let first = SILENT_FROM - alone;
        let last = self.until;
        let mut number = 0;
        loop {
            let from = first + f64::from(number) / f64::from(PROGRAMS);
            if from >= last {
                return counted;
            }
            number += 1;
            match self.program(from, f64::from(number) * 0.618, &mut counted) {
                None => counted.failed += 1,
                Some(took) if took <= aim => counted.in_time += 1,
                Some(took) if took <= 2.0 * aim => counted.late += 1,
                Some(_) => counted.later += 1,
            }
        }
    }
}

fn replay(lasts: Seconds, known_after: Seconds, way: Way) -> Counted {
    let outage = Outage {
        until: SILENT_FROM + lasts,
        known_after,
        way,
    };
    let counted = outage.replay();
    println!("{lasts} s, known after {known_after} s, {way:?}: {counted:?}");
    counted
}

/// How long a turn that first goes out at the begin of a silence can be tried.
fn cover(way: Way) -> Seconds {
    let survives = |lasts: Seconds| {
        let outage = Outage {
            until: SILENT_FROM + lasts,
            known_after: 0.0,
            way,
        };
        let mut counted = Counted::default();
        outage.program(SILENT_FROM, 0.0, &mut counted).is_some()
    };
    let tenths = (1..100).map(|tenths| f64::from(tenths) / 10.0);
    tenths
        .take_while(|lasts| survives(*lasts))
        .last()
        .unwrap_or(0.0)
}

/// The longest outages that deployments name.
const OUTAGES: [Seconds; 2] = [4.1, 7.0];

fn chosen() -> Way {
    Way::Wait(Policy::default().outage_wait_share)
}

#[test]
fn a_turns_tries_cover_the_longest_outage() {
    for way in [
        Way::Begin,
        Way::Wait(0.0),
        Way::Wait(0.4),
        Way::Wait(0.6),
        Way::Wait(0.75),
        Way::Wait(0.9),
    ] {
        println!("{way:?}: {:.1} s", cover(way));
    }
    assert!(cover(chosen()) >= 7.0);
    assert!(
        cover(Way::Wait(0.0)) < 4.1,
        "refused at once, it is tried in vain"
    );
}

#[test]
fn no_program_fails_and_no_turn_begins_in_vain() {
    for lasts in OUTAGES {
        let begun = replay(lasts, 0.0, Way::Begin);
        let waits = replay(lasts, 0.1, chosen());
        let refused = replay(lasts, 0.1, Way::Wait(0.0));
        for share in [0.4, 0.75, 0.9] {
            replay(lasts, 0.1, Way::Wait(share));
        }
        assert_eq!(waits.failed, 0, "{lasts} s");
        assert!(refused.failed > 0, "{lasts} s");
        let served = |counted: Counted| counted.in_time + counted.late;
        assert!(
            served(waits) + A_TURNS_PROGRAMS >= served(begun),
            "{lasts} s"
        );
        assert!(
            begun.begun_in_vain > 0 && waits.begun_in_vain == 0,
            "{lasts} s"
        );
    }
}

#[test]
fn knowing_sooner_spares_runs_in_vain() {
    for lasts in OUTAGES {
        let soon = replay(lasts, 0.1, chosen());
        let late = replay(lasts, 0.5, chosen());
        assert!(soon.runs_in_vain < late.runs_in_vain);
    }
}
