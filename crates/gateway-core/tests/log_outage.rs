//! When the log counts as silent, and what must not be taken for that.

use std::time::Duration;

use elderworks_gateway_core::log_outage::{LogOutageDetector, LogState, LogStatus, POLL_INTERVAL};
use elderworks_types::{NodeId, Timestamp};

/// Milliseconds since the model's begin.
type Millis = u64;

const USUAL: Millis = 4;

/// Interval of an owner's calls.
const PACE: Millis = 25;

fn at(millis: Millis) -> Timestamp {
    Timestamp(1 + millis * 1_000)
}

fn ms(millis: Millis) -> Duration {
    Duration::from_millis(millis)
}

/// One node's calls, answered after a time that depends on when they began; `None` for never.
struct Model {
    watch: LogOutageDetector,
    open: Vec<(u64, Millis, Millis)>,
    next_call: u64,
}

impl Model {
    fn new() -> Self {
        Self {
            watch: LogOutageDetector::default(),
            open: Vec::new(),
            next_call: 0,
        }
    }

    /// Plays a span; returns when the log was first taken to be late and silent.
    fn play(
        &mut self,
        span: std::ops::Range<Millis>,
        takes: impl Fn(Millis) -> Option<Millis>,
        runs: impl Fn(Millis) -> bool,
    ) -> (Option<Millis>, Option<Millis>) {
        let (mut late, mut silent) = (None, None);
        for now in span {
            if !runs(now) {
                continue;
            }
            // A process that was held up looks before it reads its sockets, at worst.
            if now.is_multiple_of(POLL_INTERVAL.as_millis() as u64) || !runs(now.saturating_sub(1))
            {
                self.watch.poll(at(now));
            }
            let due: Vec<_> = self
                .open
                .extract_if(.., |(_, _, due)| *due <= now)
                .collect();
            for (call, began, _) in due {
                self.watch.call_answered(at(now), call, ms(now - began));
            }
            if now.is_multiple_of(PACE) {
                self.next_call += 1;
                self.watch.call_started(at(now), self.next_call);
                if let Some(takes) = takes(now) {
                    self.open.push((self.next_call, now, now + takes));
                }
            }
            match self.watch.state() {
                LogState::Normal => {}
                LogState::Late { .. } => {
                    late.get_or_insert(now);
                }
                LogState::Silent { .. } => {
                    silent.get_or_insert(now);
                }
            }
        }
        (late, silent)
    }
}

fn always(_: Millis) -> bool {
    true
}

/// A word of a node that has waited for a while, when the last answered call began so long ago.
fn waiting(waits: Millis, answered: Millis, is_silent: bool) -> LogStatus {
    LogStatus {
        oldest_wait: Some(ms(waits)),
        answered: Some(ms(answered)),
        is_silent,
    }
}

#[test]
fn silence_is_known_from_one_late_answer() {
    let mut model = Model::new();
    let calm = model.play(0..1_000, |_| Some(USUAL), always);
    assert_eq!(calm, (None, None));
    let (late, silent) = model.play(1_000..2_000, |_| None, always);
    assert!(late.is_some_and(|late| late <= 1_050), "{late:?}");
    assert!(silent.is_some_and(|silent| silent <= 1_130), "{silent:?}");
    assert_eq!(model.watch.state().since(), Some(at(1_000)));
    // The first answer ends it, though the lost calls never end.
    model.play(2_000..2_010, |_| Some(USUAL), always);
    assert_eq!(model.watch.state(), LogState::Normal);
    let after = model.play(2_010..3_000, |_| Some(USUAL), always);
    assert_eq!(after, (None, None));
}

#[test]
fn two_others_that_wait_as_well_confirm_it() {
    let mut model = Model::new();
    model.play(0..1_000, |_| Some(USUAL), always);
    model.play(1_000..1_041, |_| None, always);
    assert!(matches!(model.watch.state(), LogState::Late { .. }));
    let asked = model.watch.status(at(1_041));
    assert!(asked.oldest_wait.is_some() && !asked.is_silent);
    assert!(
        !model
            .watch
            .on_peer_status(at(1_041), NodeId::new("n2"), waiting(35, 45, false))
    );
    assert!(!model.watch.state().is_silent());
    assert!(
        !model
            .watch
            .on_peer_status(at(1_042), NodeId::new("n3"), waiting(35, 45, false))
    );
    assert!(model.watch.state().is_silent());
    assert!(model.watch.status(at(1_042)).is_silent);
}

#[test]
fn a_log_that_answers_others_is_not_silent() {
    let mut model = Model::new();
    model.play(0..1_000, |_| Some(USUAL), always);
    let mut silent = None;
    for round in 0..50 {
        let from = 1_000 + round * 20;
        silent = silent.or(model.play(from..from + 20, |_| None, always).1);
        let word = LogStatus {
            oldest_wait: None,
            answered: Some(ms(5)),
            is_silent: false,
        };
        model
            .watch
            .on_peer_status(at(from + 20), NodeId::new("n2"), word);
    }
    assert_eq!(silent, None);
    // And it denies others' silence itself.
    let word = waiting(500, 510, true);
    assert!(
        model
            .watch
            .on_peer_status(at(2_000), NodeId::new("n3"), word)
    );
    assert!(
        model
            .watch
            .on_peer_status(at(2_000), NodeId::new("n4"), word)
    );
    assert!(!model.watch.state().is_silent());
}

#[test]
fn a_node_without_calls_believes_two_others_for_a_while() {
    let mut watch = LogOutageDetector::default();
    watch.on_peer_status(at(100), NodeId::new("n2"), waiting(90, 95, true));
    watch.on_peer_status(at(101), NodeId::new("n2"), waiting(91, 96, true));
    assert!(!watch.state().is_silent(), "one alone");
    watch.on_peer_status(at(102), NodeId::new("n3"), waiting(60, 95, false));
    assert!(!watch.state().is_silent(), "a question is no news");
    watch.on_peer_status(at(103), NodeId::new("n3"), waiting(61, 96, true));
    assert!(watch.state().is_silent());
    watch.poll(at(500));
    assert!(watch.state().is_silent());
    watch.poll(at(900));
    assert_eq!(watch.state(), LogState::Normal, "nobody repeats it");
    watch.on_peer_status(at(1_000), NodeId::new("n2"), waiting(90, 95, true));
    watch.on_peer_status(at(1_000), NodeId::new("n3"), waiting(90, 95, true));
    let back = LogStatus {
        oldest_wait: None,
        answered: Some(Duration::ZERO),
        is_silent: false,
    };
    watch.on_peer_status(at(1_010), NodeId::new("n4"), back);
    assert_eq!(watch.state(), LogState::Normal, "it has answered");
}

#[test]
fn of_two_nodes_one_believes_the_other() {
    let mut watch = LogOutageDetector::default();
    watch.set_peer_count(1);
    watch.on_peer_status(at(100), NodeId::new("n2"), waiting(90, 95, true));
    assert!(watch.state().is_silent());
}

#[test]
fn what_is_not_silence() {
    struct Case {
        name: &'static str,
        takes: fn(Millis) -> Option<Millis>,
        runs: fn(Millis) -> bool,
    }
    let cases = [
        Case {
            name: "every third answer is lost",
            takes: |now| (!(now / PACE).is_multiple_of(3)).then_some(USUAL),
            runs: always,
        },
        Case {
            name: "answers take two to eight milliseconds",
            takes: |now| Some(2 + now / PACE % 7),
            runs: always,
        },
        Case {
            name: "the process is frozen for four seconds",
            takes: |_| Some(USUAL),
            runs: |now| !(2_000..6_000).contains(&now),
        },
        Case {
            name: "a small machine runs a fifth of the time",
            takes: |_| Some(USUAL),
            runs: |now| now % 100 < 20,
        },
    ];
    for case in cases {
        let mut model = Model::new();
        model.play(0..1_000, |_| Some(USUAL), always);
        let (_, silent) = model.play(1_000..9_000, case.takes, case.runs);
        assert_eq!(silent, None, "{}", case.name);
    }
}

#[test]
fn a_log_that_becomes_slow_is_taken_for_silent_once_at_most() {
    let mut model = Model::new();
    model.play(0..1_000, |_| Some(USUAL), always);
    model.play(1_000..1_300, |_| Some(240), always);
    let (_, silent) = model.play(1_300..5_000, |_| Some(240), always);
    assert_eq!(silent, None);
    // Its silence is still noticed.
    let (_, silent) = model.play(5_000..8_000, |_| None, always);
    assert!(silent.is_some());
}
