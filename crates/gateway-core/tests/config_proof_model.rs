//! How long a node may act on its configuration: a model of nodes in virtual time.

use std::time::Duration;

use elderworks_gateway_core::config_proof::{ConfigProof, PeerProof, lease_of};
use elderworks_types::Timestamp;
use proptest::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
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
                    if proof.record_peer_proof(version, asked, age) == PeerProof::Newer {
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
