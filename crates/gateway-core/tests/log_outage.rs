//! Tests when the log counts as silent, and which conditions must not be mistaken for that.

use std::time::Duration;

use elderworks_gateway_core::log_outage::{LogOutageDetector, LogState, LogStatus, POLL_INTERVAL};
use elderworks_types::{NodeId, Timestamp};

/// Milliseconds since the start of the model.
type Millis = u64;

const USUAL: Millis = 4;

/// Interval of an owner's calls, in milliseconds.
const CALL_INTERVAL: Millis = 25;

fn at(millis: Millis) -> Timestamp {
    Timestamp(1 + millis * 1_000)
}

fn ms(millis: Millis) -> Duration {
    Duration::from_millis(millis)
}

/// Simulates the calls of one node.
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

    /// Simulates a span of time. `takes` returns the response time of a call by its start, or
    /// `None` if it is never answered; `runs` returns whether the process runs. Returns when the
    /// log first counted as late and as silent.
    fn simulate(
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
            // In the worst case, a process that was suspended polls before it reads its sockets.
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
            if now.is_multiple_of(CALL_INTERVAL) {
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

/// Returns the report of a node whose oldest unanswered call started `waits` milliseconds ago, and
/// the latest answered one `answered` milliseconds ago.
fn waiting(waits: Millis, answered: Millis, is_silent: bool) -> LogStatus {
    LogStatus {
        oldest_wait: Some(ms(waits)),
        answered: Some(ms(answered)),
        is_silent,
    }
}

#[test]
fn one_unanswered_call_reveals_an_outage() {
    let mut model = Model::new();
    let before = model.simulate(0..1_000, |_| Some(USUAL), always);
    assert_eq!(before, (None, None));
    let (late, silent) = model.simulate(1_000..2_000, |_| None, always);
    assert!(late.is_some_and(|late| late <= 1_050), "{late:?}");
    assert!(silent.is_some_and(|silent| silent <= 1_130), "{silent:?}");
    assert_eq!(model.watch.state().since(), Some(at(1_000)));
    // The first answer ends the outage, although the lost calls remain unanswered.
    model.simulate(2_000..2_010, |_| Some(USUAL), always);
    assert_eq!(model.watch.state(), LogState::Normal);
    let after = model.simulate(2_010..3_000, |_| Some(USUAL), always);
    assert_eq!(after, (None, None));
}

#[test]
fn two_other_waiting_nodes_confirm_an_outage() {
    let mut model = Model::new();
    model.simulate(0..1_000, |_| Some(USUAL), always);
    model.simulate(1_000..1_041, |_| None, always);
    assert!(matches!(model.watch.state(), LogState::Late { .. }));
    let own_report = model.watch.status(at(1_041));
    assert!(own_report.oldest_wait.is_some() && !own_report.is_silent);
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
fn a_log_that_answers_another_node_is_not_silent() {
    let mut model = Model::new();
    model.simulate(0..1_000, |_| Some(USUAL), always);
    let mut silent = None;
    for round in 0..50 {
        let from = 1_000 + round * 20;
        silent = silent.or(model.simulate(from..from + 20, |_| None, always).1);
        let status = LogStatus {
            oldest_wait: None,
            answered: Some(ms(5)),
            is_silent: false,
        };
        model
            .watch
            .on_peer_status(at(from + 20), NodeId::new("n2"), status);
    }
    assert_eq!(silent, None);
    // It also refutes reports of other nodes.
    let status = waiting(500, 510, true);
    assert!(
        model
            .watch
            .on_peer_status(at(2_000), NodeId::new("n3"), status)
    );
    assert!(
        model
            .watch
            .on_peer_status(at(2_000), NodeId::new("n4"), status)
    );
    assert!(!model.watch.state().is_silent());
}

#[test]
fn reports_of_two_nodes_suffice_without_own_calls_until_they_expire() {
    let mut watch = LogOutageDetector::default();
    watch.on_peer_status(at(100), NodeId::new("n2"), waiting(90, 95, true));
    watch.on_peer_status(at(101), NodeId::new("n2"), waiting(91, 96, true));
    assert!(!watch.state().is_silent(), "one report is not enough");
    watch.on_peer_status(at(102), NodeId::new("n3"), waiting(60, 95, false));
    assert!(
        !watch.state().is_silent(),
        "asking for confirmation is no report of an outage"
    );
    watch.on_peer_status(at(103), NodeId::new("n3"), waiting(61, 96, true));
    assert!(watch.state().is_silent());
    watch.poll(at(500));
    assert!(watch.state().is_silent());
    watch.poll(at(900));
    assert_eq!(watch.state(), LogState::Normal, "the reports have expired");
    watch.on_peer_status(at(1_000), NodeId::new("n2"), waiting(90, 95, true));
    watch.on_peer_status(at(1_000), NodeId::new("n3"), waiting(90, 95, true));
    let back = LogStatus {
        oldest_wait: None,
        answered: Some(Duration::ZERO),
        is_silent: false,
    };
    watch.on_peer_status(at(1_010), NodeId::new("n4"), back);
    assert_eq!(
        watch.state(),
        LogState::Normal,
        "another node has received an answer"
    );
}

#[test]
fn one_report_suffices_in_a_fleet_of_two_nodes() {
    let mut watch = LogOutageDetector::default();
    watch.set_peer_count(1);
    watch.on_peer_status(at(100), NodeId::new("n2"), waiting(90, 95, true));
    assert!(watch.state().is_silent());
}

#[test]
fn losses_jitter_and_suspension_are_not_outages() {
    struct Case {
        name: &'static str,
        takes: fn(Millis) -> Option<Millis>,
        runs: fn(Millis) -> bool,
    }
    let cases = [
        Case {
            name: "every third answer is lost",
            takes: |now| (!(now / CALL_INTERVAL).is_multiple_of(3)).then_some(USUAL),
            runs: always,
        },
        Case {
            name: "answers take two to eight milliseconds",
            takes: |now| Some(2 + now / CALL_INTERVAL % 7),
            runs: always,
        },
        Case {
            name: "the process is suspended for four seconds",
            takes: |_| Some(USUAL),
            runs: |now| !(2_000..6_000).contains(&now),
        },
        Case {
            name: "the process gets a fifth of the processor time",
            takes: |_| Some(USUAL),
            runs: |now| now % 100 < 20,
        },
    ];
    for case in cases {
        let mut model = Model::new();
        model.simulate(0..1_000, |_| Some(USUAL), always);
        let (_, silent) = model.simulate(1_000..9_000, case.takes, case.runs);
        assert_eq!(silent, None, "{}", case.name);
    }
}

#[test]
fn a_log_that_becomes_slow_counts_as_silent_at_most_once() {
    let mut model = Model::new();
    model.simulate(0..1_000, |_| Some(USUAL), always);
    model.simulate(1_000..1_300, |_| Some(240), always);
    let (_, silent) = model.simulate(1_300..5_000, |_| Some(240), always);
    assert_eq!(silent, None);
    // A real outage is still detected.
    let (_, silent) = model.simulate(5_000..8_000, |_| None, always);
    assert!(silent.is_some());
}

/// Turns that must be stored make no calls while the log is silent, so nothing else ends that.
#[test]
fn calls_that_the_log_rejected_do_not_keep_it_silent_for_good() {
    for fails_after in [4, 290, 1_500] {
        let mut watch = LogOutageDetector::default();
        watch.call_started(at(0), 1);
        watch.call_answered(at(USUAL), 1, ms(USUAL));
        watch.call_started(at(100), 2);
        let mut was_silent = false;
        for now in (100..5_000).step_by(10) {
            if now - 100 >= fails_after {
                watch.call_failed(at(100 + fails_after), 2);
            }
            watch.poll(at(now));
            was_silent |= watch.state().is_silent();
        }
        assert!(was_silent, "failed after {fails_after} ms");
        assert_eq!(watch.state(), LogState::Normal, "nobody calls it any more");
    }
}

/// As long as calls fail, the log stays silent, however long each of them takes.
#[test]
fn a_log_that_rejects_every_call_is_silent_until_one_is_answered() {
    let mut watch = LogOutageDetector::default();
    watch.call_started(at(0), 0);
    watch.call_answered(at(USUAL), 0, ms(USUAL));
    for now in (100..5_000).step_by(10) {
        if now % 100 == 0 {
            watch.call_started(at(now), now);
            watch.call_failed(at(now), now);
        }
        watch.poll(at(now));
        assert!(now < 300 || watch.state().is_silent(), "at {now} ms");
    }
    watch.call_started(at(5_000), 9_000);
    watch.call_answered(at(5_000 + USUAL), 9_000, ms(USUAL));
    assert_eq!(watch.state(), LogState::Normal);
}
