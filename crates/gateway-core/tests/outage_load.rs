//! Simulates programs whose turns must be stored during an outage of the log. Callers follow these
//! rules: a turn has a deadline of 2.5 s, is retried once within it after a refusal, and is sent
//! again at most twice after a failure.

use std::time::Duration;

use elderworks_gateway_core::outage_wait::{RETRY_AFTER, outage_wait};
use elderworks_gateway_core::policy::Policy;

/// Duration or point in time in seconds.
type Seconds = f64;

/// Duration of a turn at an engine, and of the tools between two turns.
const TURN: Seconds = 0.06;
const TOOLS: Seconds = 0.07;

/// Deadline of a turn, and the gap without output after which a stream is given up.
const DEADLINE: Seconds = 2.5;
const MAX_GAP: Seconds = 2.4;

/// Maximum wait of a caller before a retry, as a fraction of its remaining time.
const RETRY_WAIT_FRACTION: f64 = 1.0 / 3.0;

/// Maximum number of times that a turn is sent.
const MAX_SENDS: u32 = 3;

/// Programs that start per second, and turns per program.
const PROGRAMS: u32 = 72;
const TURNS: u32 = 6;

/// A program's target time: its undisturbed duration times this factor, plus a constant.
const TARGET_FACTOR: f64 = 1.6;
const TARGET_ADDED: Seconds = 0.2;

/// Number of programs that start during one turn. Turns that wait finish later than turns that run
/// by the duration of one turn, which may affect this many programs.
const PROGRAMS_PER_TURN: u32 = (TURN * PROGRAMS as f64) as u32 + 2;

const SILENT_FROM: Seconds = 10.0;

/// How turns are handled while the log is silent.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Handling {
    /// The turn runs, and its completion waits.
    Start,
    /// The turn waits for this fraction of its time and is then refused.
    Wait(f64),
}

#[derive(Clone, Copy, Debug)]
struct Outage {
    until: Seconds,
    detected_after: Seconds,
    handling: Handling,
}

/// Number of programs by result, and of wasted runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Counts {
    in_time: u32,
    /// Finished within twice the target time.
    late: u32,
    later: u32,
    failed: u32,
    /// Runs whose result could not be stored before the turn was given up.
    wasted_runs: u32,
    /// Wasted runs that started after the outage had been detected.
    wasted_after_detection: u32,
}

impl Outage {
    fn is_silent(&self, now: Seconds) -> bool {
        (SILENT_FROM..self.until).contains(&now)
    }

    fn is_detected(&self, now: Seconds) -> bool {
        self.is_silent(now) && now >= SILENT_FROM + self.detected_after
    }

    /// Runs a turn from `now` on. Returns when its completion is durable, or as an error when it is
    /// given up.
    fn run(&self, now: Seconds, deadline: Seconds) -> Result<Seconds, Seconds> {
        let finished = now + TURN;
        if !self.is_silent(finished) {
            return Ok(finished);
        }
        let given_up = deadline.min(finished + MAX_GAP);
        match self.until <= given_up {
            true => Ok(self.until),
            false => Err(given_up),
        }
    }

    /// Sends a turn once. Returns when it has finished, or as an error when it has failed.
    fn send(&self, from: Seconds, counts: &mut Counts) -> Result<Seconds, Seconds> {
        let deadline = from + DEADLINE;
        let mut now = from;
        for tries_left in [1, 0] {
            let share = match self.handling {
                Handling::Wait(share) if self.is_detected(now) => share,
                _ => {
                    let ran = self.run(now, deadline);
                    counts.wasted_runs += u32::from(ran.is_err());
                    counts.wasted_after_detection +=
                        u32::from(ran.is_err() && self.is_detected(now));
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
                    .min((deadline - now) * RETRY_WAIT_FRACTION);
            }
        }
        Err(now)
    }

    /// Runs a program and returns its duration; `None` if it fails.
    fn program(&self, from: Seconds, jitter: f64, counts: &mut Counts) -> Option<Seconds> {
        let mut now = from;
        for turn in 0..TURNS {
            let mut finished = None;
            for attempt in 0..MAX_SENDS {
                match self.send(now, counts) {
                    Ok(end) => {
                        finished = Some(end);
                        break;
                    }
                    // Delays from 0.1 to 0.4 s that differ between attempts.
                    Err(failed) => {
                        now = failed + 0.1 + 0.3 * (jitter + f64::from(attempt) * 0.37).fract()
                    }
                }
            }
            now = finished? + if turn + 1 < TURNS { TOOLS } else { 0.0 };
        }
        Some(now - from)
    }

    fn simulate(&self) -> Counts {
        let mut counts = Counts::default();
        let alone = f64::from(TURNS) * TURN + f64::from(TURNS - 1) * TOOLS;
        let target = alone * TARGET_FACTOR + TARGET_ADDED;
        let first = SILENT_FROM - alone;
        let last = self.until;
        let mut number = 0;
        loop {
            let from = first + f64::from(number) / f64::from(PROGRAMS);
            if from >= last {
                return counts;
            }
            number += 1;
            match self.program(from, f64::from(number) * 0.618, &mut counts) {
                None => counts.failed += 1,
                Some(took) if took <= target => counts.in_time += 1,
                Some(took) if took <= 2.0 * target => counts.late += 1,
                Some(_) => counts.later += 1,
            }
        }
    }
}

fn simulate(duration: Seconds, detected_after: Seconds, handling: Handling) -> Counts {
    let outage = Outage {
        until: SILENT_FROM + duration,
        detected_after,
        handling,
    };
    let counts = outage.simulate();
    println!("{duration} s, detected after {detected_after} s, {handling:?}: {counts:?}");
    counts
}

/// Returns the longest outage that a turn survives if it is first sent when the outage starts.
fn longest_survived_outage(handling: Handling) -> Seconds {
    let survives = |duration: Seconds| {
        let outage = Outage {
            until: SILENT_FROM + duration,
            detected_after: 0.0,
            handling,
        };
        let mut counts = Counts::default();
        outage.program(SILENT_FROM, 0.0, &mut counts).is_some()
    };
    let tenths = (1..100).map(|tenths| f64::from(tenths) / 10.0);
    tenths
        .take_while(|duration| survives(*duration))
        .last()
        .unwrap_or(0.0)
}

/// Durations of the longest outages that deployments report.
const OUTAGES: [Seconds; 2] = [4.1, 7.0];

fn default_handling() -> Handling {
    Handling::Wait(Policy::default().outage_wait_share)
}

#[test]
fn the_attempts_of_a_turn_cover_the_longest_outage() {
    for handling in [
        Handling::Start,
        Handling::Wait(0.0),
        Handling::Wait(0.4),
        Handling::Wait(0.6),
        Handling::Wait(0.75),
        Handling::Wait(0.9),
    ] {
        println!("{handling:?}: {:.1} s", longest_survived_outage(handling));
    }
    assert!(longest_survived_outage(default_handling()) >= 7.0);
    assert!(
        longest_survived_outage(Handling::Wait(0.0)) < 4.1,
        "an immediate refusal exhausts the attempts too early"
    );
}

#[test]
fn no_program_fails_and_no_run_is_wasted_after_detection() {
    for duration in OUTAGES {
        let started = simulate(duration, 0.0, Handling::Start);
        let waits = simulate(duration, 0.1, default_handling());
        let refused = simulate(duration, 0.1, Handling::Wait(0.0));
        for share in [0.4, 0.75, 0.9] {
            simulate(duration, 0.1, Handling::Wait(share));
        }
        assert_eq!(waits.failed, 0, "{duration} s");
        assert!(refused.failed > 0, "{duration} s");
        let served = |counts: Counts| counts.in_time + counts.late;
        assert!(
            served(waits) + PROGRAMS_PER_TURN >= served(started),
            "{duration} s"
        );
        assert!(
            started.wasted_after_detection > 0 && waits.wasted_after_detection == 0,
            "{duration} s"
        );
    }
}

#[test]
fn faster_detection_avoids_wasted_runs() {
    for duration in OUTAGES {
        let soon = simulate(duration, 0.1, default_handling());
        let late = simulate(duration, 0.5, default_handling());
        assert!(soon.wasted_runs < late.wasted_runs);
    }
}
