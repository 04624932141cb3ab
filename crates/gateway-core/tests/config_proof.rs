//! How long a node may act on its configuration: a table, and a model of nodes in virtual time.

use std::time::Duration;

use elderworks_gateway_core::config_proof::{
    ConfigProof, ProofAsking, Told, asking_age, denial_lease_of, lease_of, proving_pause,
};
use elderworks_gateway_core::directory::Stream;
use elderworks_gateway_core::stream_reads::{NewsDeadlines, StreamReads};
use elderworks_types::Timestamp;
use proptest::prelude::*;

fn at(ms: u64) -> Timestamp {
    Timestamp(ms * 1_000)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn leases_leave_a_margin() {
    assert_eq!(lease_of(ms(5_000)), ms(4_500));
    assert_eq!(denial_lease_of(ms(3_000)), ms(2_500));
}

#[test]
fn the_newest_proof_counts() {
    let mut proof = ConfigProof::default();
    proof.replace(3);
    assert_eq!(proof.age(at(10_000)), None);
    proof.note_read(at(8_000));
    proof.note_read(at(6_000));
    assert_eq!(proof.age(at(10_000)), Some(ms(2_000)));
    assert!(proof.holds(at(10_000), ms(2_001)));
    assert!(!proof.holds(at(10_000), ms(2_000)));
}

#[test]
fn a_new_configuration_needs_a_proof_of_its_own() {
    let mut proof = ConfigProof::default();
    proof.replace(3);
    proof.note_read(at(8_000));
    proof.replace(3);
    assert_eq!(proof.age(at(9_000)), Some(ms(1_000)));
    proof.replace(4);
    assert_eq!(proof.age(at(9_000)), None);
}

#[test]
fn proofs_of_other_nodes() {
    let mut proof = ConfigProof::default();
    proof.replace(3);
    proof.note_read(at(1_000));
    assert_eq!(proof.note_told(2, at(9_000), ms(0)), Told::Older);
    assert_eq!(proof.note_told(4, at(9_000), ms(0)), Told::Newer);
    assert_eq!(proof.age(at(9_000)), Some(ms(8_000)));
    assert_eq!(proof.note_told(3, at(9_000), ms(500)), Told::Counts);
    assert_eq!(proof.age(at(9_000)), Some(ms(500)));
}

#[test]
fn a_proof_that_came_with_the_news_counts_once_the_news_are_in_force() {
    struct Case {
        name: &'static str,
        told: &'static [(u64, u64)],
        in_force: u64,
        age: Option<u64>,
    }
    let case = |name, told, in_force, age| Case {
        name,
        told,
        in_force,
        age,
    };
    let cases = [
        case(
            "it was told of just this version",
            &[(4, 500)],
            4,
            Some(700),
        ),
        case("a later one is in force", &[(4, 500)], 5, None),
        case("an earlier one is in force", &[(5, 500)], 4, None),
        case(
            "the youngest counts",
            &[(4, 500), (4, 100), (4, 300)],
            4,
            Some(300),
        ),
        case(
            "the latest version counts",
            &[(5, 500), (4, 100)],
            5,
            Some(700),
        ),
    ];
    for case in cases {
        let mut proof = ConfigProof::default();
        proof.replace(3);
        proof.note_read(at(1_000));
        for (version, age) in case.told {
            assert_eq!(proof.note_told(*version, at(9_000), ms(*age)), Told::Newer);
        }
        assert_eq!(proof.age(at(9_200)), Some(ms(8_200)), "{}", case.name);
        proof.replace(case.in_force);
        assert_eq!(proof.age(at(9_200)), case.age.map(ms), "{}", case.name);
    }
}

#[test]
fn a_proof_may_be_older_than_the_process() {
    let mut proof = ConfigProof::default();
    proof.replace(3);
    proof.note_told(3, at(1_000), ms(4_000));
    assert_eq!(proof.age(at(1_200)), Some(ms(4_200)));
}

#[test]
fn nothing_is_proved_while_a_newer_configuration_cannot_be_read() {
    let mut proof = ConfigProof::default();
    proof.replace(3);
    proof.note_read(at(1_000));
    proof.obscure();
    proof.note_read(at(9_000));
    assert_eq!(proof.age(at(9_000)), Some(ms(8_000)));
    proof.replace(4);
    proof.note_read(at(9_000));
    assert_eq!(proof.age(at(9_000)), Some(ms(0)));
}

/// A reader proves its configuration each 0.8 s on average; whoever asks it is told within a fifth of a
/// second, two lost questions included twice that.
#[test]
fn the_proofs_of_listeners_count_for_refusing_unknown_routes() {
    for apply in [3_000, 5_000, 14_000] {
        let asked_at = asking_age(None, ms(apply), false);
        let answered = asked_at + ms(400);
        assert!(answered < denial_lease_of(ms(apply)), "{apply}");
        assert!(asked_at > proving_pause(1), "a question gains something");
        assert!(asked_at <= asking_age(None, ms(apply), true));
    }
}

#[test]
fn other_nodes_are_asked_once_the_own_proof_grows_old() {
    let lease = asking_age(Some(ms(4_500)), ms(3_000), true);
    let mut proof = ConfigProof::default();
    proof.replace(3);
    proof.note_read(at(10_000));
    let mut asking = ProofAsking::default();
    assert!(!asking.is_due(&proof, at(10_900), lease));
    assert!(asking.is_due(&proof, at(11_000), lease));
    assert!(
        !asking.is_due(&proof, at(11_100), lease),
        "one round at a time"
    );
    assert!(asking.is_due(&proof, at(11_200), lease));
    proof.note_told(3, at(11_200), ms(0));
    assert!(!asking.is_due(&proof, at(12_000), lease));
}

/// A node that the log turns away hears of changes from others in time, and one that reads asks
/// nobody: at rest its proof is up to two waits for news old.
#[test]
fn without_keys_nodes_ask_only_when_their_own_reads_are_late() {
    for apply in [2_000, 3_000, 5_000] {
        let age = asking_age(None, ms(apply), true);
        let reads = StreamReads::new(
            Stream::Configuration,
            &NewsDeadlines {
                apply: ms(apply),
                drain: ms(apply),
            },
        );
        assert!(age > reads.next_read().wait * 2, "{apply}");
        let mut proof = ConfigProof::default();
        assert!(ProofAsking::default().is_due(&proof, at(90_000), age));
        proof.replace(3);
        proof.note_read(at(10_000));
        let late = 10_000 + apply * 7 / 10;
        assert!(!ProofAsking::default().is_due(&proof, at(late - 1), age));
        assert!(ProofAsking::default().is_due(&proof, at(late), age));
    }
}

#[test]
fn many_nodes_prove_the_configuration_in_turns() {
    assert_eq!(proving_pause(1), ms(800));
    assert_eq!(proving_pause(60), ms(9_000));
    assert_eq!(proving_pause(3_200), ms(20_000));
}

/// One thing that happens to one of two nodes, in virtual time.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes.
    Wait(u64),
    /// The operator takes the next key away.
    Publish,
    /// A node sends a read of the log, which is carried out `until` and answered `back` ms later.
    Read { node: usize, until: u64, back: u64 },
    /// A node asks the other one, which answers `until` ms later; heard `back` ms after that.
    Ask { node: usize, until: u64, back: u64 },
    /// A node decides whether to act on the oldest key that it still knows.
    Use { node: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let delay = || prop_oneof![3 => 0..20u64, 1 => 0..7_000u64];
    let step = prop_oneof![
        3 => delay().prop_map(Step::Wait),
        1 => Just(Step::Publish),
        3 => (0..2usize, delay(), delay()).prop_map(|(node, until, back)| Step::Read { node, until, back }),
        3 => (0..2usize, delay(), delay()).prop_map(|(node, until, back)| Step::Ask { node, until, back }),
        3 => (0..2usize).prop_map(|node| Step::Use { node }),
    ];
    proptest::collection::vec(step, 1..120)
}

/// A mistake to be found by the model.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mistake {
    None,
    /// Counts a read from its answer.
    FromAnswer,
    /// Counts another node's proof from the moment at which it is heard.
    FromHearing,
    /// Takes another node's proof for its own configuration, whatever version it is of.
    AnyVersion,
    /// Renews the proof without a read.
    NoExpiry,
}

struct Node {
    proof: ConfigProof,
    /// How much faster than true time its clock runs, in thousandths.
    drift: i64,
    /// True time of its clock's zero.
    started: u64,
}

impl Node {
    fn clock(&self, now: u64) -> Timestamp {
        let passed = i64::try_from((now - self.started) * 1_000).expect("small");
        let shown = passed + passed * self.drift / 1_000;
        Timestamp(u64::try_from(shown).expect("not negative"))
    }
}

enum Arrival {
    /// A read was carried out and showed this version.
    Shown {
        node: usize,
        sent: Timestamp,
        version: u64,
    },
    /// Another node is asked.
    Asked {
        node: usize,
        sent: Timestamp,
        back: u64,
    },
    /// It has answered.
    Told {
        node: usize,
        sent: Timestamp,
        version: u64,
        age: Duration,
    },
    /// A read is carried out.
    Carried {
        node: usize,
        sent: Timestamp,
        back: u64,
    },
}

const REVOKE_WITHIN: u64 = 5_000;

/// Plays the steps; an error if a node acts on a configuration that has been replaced for too long.
fn play(steps: &[Step], mistake: Mistake) -> Result<(), String> {
    let mut now = 0u64;
    // When each version was replaced by the next one.
    let mut replaced: Vec<u64> = Vec::new();
    let mut nodes: Vec<Node> = [(4, 0), (-4, 0)]
        .map(|(drift, started)| Node {
            proof: ConfigProof::default(),
            drift,
            started,
        })
        .into();
    let mut arrivals: Vec<(u64, Arrival)> = Vec::new();
    let end = Step::Wait(20_000);
    for step in steps.iter().chain([&end]) {
        let until = match step {
            Step::Wait(wait) => now + wait,
            _ => now,
        };
        loop {
            let due = (0..arrivals.len()).min_by_key(|&index| arrivals[index].0);
            let Some(index) = due.filter(|&index| arrivals[index].0 <= until) else {
                break;
            };
            let (time, arrival) = arrivals.remove(index);
            now = now.max(time);
            let latest = replaced.len() as u64 + 1;
            match arrival {
                Arrival::Carried { node, sent, back } => {
                    let shown = Arrival::Shown {
                        node,
                        sent,
                        version: latest,
                    };
                    arrivals.push((now + back, shown));
                }
                Arrival::Shown {
                    node,
                    sent,
                    version,
                } => {
                    let seen = match mistake {
                        Mistake::FromAnswer => nodes[node].clock(now),
                        _ => sent,
                    };
                    let proof = &mut nodes[node].proof;
                    if version >= proof.version() {
                        proof.replace(version);
                        proof.note_read(seen);
                    }
                }
                Arrival::Asked { node, sent, back } => {
                    let other = &nodes[1 - node];
                    if let Some(age) = other.proof.age(other.clock(now)) {
                        let version = other.proof.version();
                        let told = Arrival::Told {
                            node,
                            sent,
                            version,
                            age,
                        };
                        arrivals.push((now + back, told));
                    }
                }
                Arrival::Told {
                    node,
                    sent,
                    version,
                    age,
                } => {
                    let heard = nodes[node].clock(now);
                    let proof = &mut nodes[node].proof;
                    let version = match mistake {
                        Mistake::AnyVersion => proof.version(),
                        _ => version,
                    };
                    let asked = match mistake {
                        Mistake::FromHearing => heard,
                        _ => sent,
                    };
                    if proof.note_told(version, asked, age) == Told::Newer {
                        // The other node tells its configuration too.
                        proof.replace(version);
                    }
                }
            }
        }
        now = until;
        match step {
            Step::Wait(_) => {}
            Step::Publish => replaced.push(now),
            Step::Read { node, until, back } => {
                let sent = nodes[*node].clock(now);
                let carried = Arrival::Carried {
                    node: *node,
                    sent,
                    back: *back,
                };
                arrivals.push((now + until, carried));
            }
            Step::Ask { node, until, back } => {
                let sent = nodes[*node].clock(now);
                let asked = Arrival::Asked {
                    node: *node,
                    sent,
                    back: *back,
                };
                arrivals.push((now + until, asked));
            }
            Step::Use { node } => {
                let node = &nodes[*node];
                let lease = match mistake {
                    Mistake::NoExpiry => ms(1_000_000),
                    _ => lease_of(ms(REVOKE_WITHIN)),
                };
                if !node.proof.holds(node.clock(now), lease) {
                    continue;
                }
                let version = usize::try_from(node.proof.version()).expect("small");
                let replaced_at = replaced.get(version - 1);
                if replaced_at.is_some_and(|at| now > at + REVOKE_WITHIN) {
                    return Err(format!(
                        "version {version} used at {now}, replaced at {replaced_at:?}"
                    ));
                }
            }
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(29),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_node_acts_on_a_key_that_was_taken_away_for_too_long(steps in steps()) {
        let played = play(&steps, Mistake::None);
        prop_assert!(played.is_ok(), "{played:?}");
    }
}

#[test]
fn the_model_finds_each_mistake() {
    let scenarios: [(Mistake, Vec<Step>); 4] = [
        (
            Mistake::FromAnswer,
            vec![
                Step::Read {
                    node: 0,
                    until: 0,
                    back: 6_000,
                },
                Step::Wait(1),
                Step::Publish,
                Step::Wait(6_000),
                Step::Use { node: 0 },
            ],
        ),
        (
            Mistake::FromHearing,
            vec![
                Step::Read {
                    node: 1,
                    until: 0,
                    back: 0,
                },
                Step::Read {
                    node: 0,
                    until: 0,
                    back: 0,
                },
                Step::Wait(1),
                Step::Ask {
                    node: 0,
                    until: 0,
                    back: 6_000,
                },
                Step::Wait(1),
                Step::Publish,
                Step::Wait(6_000),
                Step::Use { node: 0 },
            ],
        ),
        (
            Mistake::AnyVersion,
            vec![
                Step::Read {
                    node: 0,
                    until: 0,
                    back: 0,
                },
                Step::Wait(1),
                Step::Publish,
                Step::Wait(5_500),
                Step::Read {
                    node: 1,
                    until: 0,
                    back: 0,
                },
                Step::Wait(1),
                Step::Ask {
                    node: 0,
                    until: 0,
                    back: 0,
                },
                Step::Wait(1),
                Step::Use { node: 0 },
            ],
        ),
        (
            Mistake::NoExpiry,
            vec![
                Step::Read {
                    node: 0,
                    until: 0,
                    back: 0,
                },
                Step::Wait(1),
                Step::Publish,
                Step::Wait(6_000),
                Step::Use { node: 0 },
            ],
        ),
    ];
    for (mistake, steps) in scenarios {
        assert!(play(&steps, mistake).is_err(), "{mistake:?} is not found");
        assert_eq!(play(&steps, Mistake::None), Ok(()), "{mistake:?}");
    }
}
