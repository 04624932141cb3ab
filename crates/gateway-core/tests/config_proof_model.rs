//! Simulates two nodes with drifting clocks in virtual time, and checks that no node accepts a
//! revoked key for too long.

use std::time::Duration;

use elderworks_gateway_core::config_proof::{ConfigProof, PeerProof, lease_of};
use elderworks_types::Timestamp;
use proptest::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// One step of the simulation. All times are in milliseconds.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes.
    Wait(u64),
    /// The operator revokes the next key.
    Publish,
    /// A node sends a read, which the log processes after `until` and whose response takes `back`.
    Read { node: usize, until: u64, back: u64 },
    /// A node requests a proof, which the other node sends after `until` and whose delivery takes
    /// `back`.
    Ask { node: usize, until: u64, back: u64 },
    /// A node decides whether to accept the oldest key that it knows.
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

/// Deliberate error that the model must detect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mistake {
    None,
    /// Counts the age of a read from its response instead of its start.
    FromResponse,
    /// Counts the age of another node's proof from its receipt.
    FromReceipt,
    /// Accepts another node's proof for any version.
    AnyVersion,
    /// Ignores the expiry of proofs.
    NoExpiry,
}

struct Node {
    proof: ConfigProof,
    /// Clock drift relative to true time, in thousandths.
    drift: i64,
    /// True time of the clock's zero, in milliseconds.
    started: u64,
}

impl Node {
    fn clock(&self, now: u64) -> Timestamp {
        let passed = i64::try_from((now - self.started) * 1_000).expect("small");
        let reading = passed + passed * self.drift / 1_000;
        Timestamp(u64::try_from(reading).expect("not negative"))
    }
}

enum Delivery {
    /// The response to a read, with the latest version.
    ReadReceived {
        node: usize,
        sent: Timestamp,
        version: u64,
    },
    /// The other node receives a proof request.
    ProofRequested {
        node: usize,
        sent: Timestamp,
        back: u64,
    },
    /// The response to a proof request.
    ProofReceived {
        node: usize,
        sent: Timestamp,
        version: u64,
        age: Duration,
    },
    /// The log processes a read.
    ReadProcessed {
        node: usize,
        sent: Timestamp,
        back: u64,
    },
}

const REVOKE_WITHIN_MS: u64 = 5_000;

/// Simulates the steps.
///
/// # Errors
///
/// Returns a description if a node accepts a key that was revoked too long ago.
fn simulate(steps: &[Step], mistake: Mistake) -> Result<(), String> {
    let mut now = 0u64;
    // Time at which each version was replaced by the next one, in milliseconds.
    let mut replaced: Vec<u64> = Vec::new();
    let mut nodes: Vec<Node> = [(4, 0), (-4, 0)]
        .map(|(drift, started)| Node {
            proof: ConfigProof::default(),
            drift,
            started,
        })
        .into();
    let mut deliveries: Vec<(u64, Delivery)> = Vec::new();
    let end = Step::Wait(20_000);
    for step in steps.iter().chain([&end]) {
        let until = match step {
            Step::Wait(wait) => now + wait,
            _ => now,
        };
        loop {
            let due = (0..deliveries.len()).min_by_key(|&index| deliveries[index].0);
            let Some(index) = due.filter(|&index| deliveries[index].0 <= until) else {
                break;
            };
            let (time, delivery) = deliveries.remove(index);
            now = now.max(time);
            let latest = replaced.len() as u64 + 1;
            match delivery {
                Delivery::ReadProcessed { node, sent, back } => {
                    let received = Delivery::ReadReceived {
                        node,
                        sent,
                        version: latest,
                    };
                    deliveries.push((now + back, received));
                }
                Delivery::ReadReceived {
                    node,
                    sent,
                    version,
                } => {
                    let seen = match mistake {
                        Mistake::FromResponse => nodes[node].clock(now),
                        _ => sent,
                    };
                    let proof = &mut nodes[node].proof;
                    if version >= proof.version() {
                        proof.replace(version);
                        proof.note_read(seen);
                    }
                }
                Delivery::ProofRequested { node, sent, back } => {
                    let other = &nodes[1 - node];
                    if let Some(age) = other.proof.age(other.clock(now)) {
                        let version = other.proof.version();
                        let response = Delivery::ProofReceived {
                            node,
                            sent,
                            version,
                            age,
                        };
                        deliveries.push((now + back, response));
                    }
                }
                Delivery::ProofReceived {
                    node,
                    sent,
                    version,
                    age,
                } => {
                    let received_at = nodes[node].clock(now);
                    let proof = &mut nodes[node].proof;
                    let version = match mistake {
                        Mistake::AnyVersion => proof.version(),
                        _ => version,
                    };
                    let asked = match mistake {
                        Mistake::FromReceipt => received_at,
                        _ => sent,
                    };
                    if proof.record_peer_proof(version, asked, age) == PeerProof::Newer {
                        // The other node also sends its configuration.
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
                let processed = Delivery::ReadProcessed {
                    node: *node,
                    sent,
                    back: *back,
                };
                deliveries.push((now + until, processed));
            }
            Step::Ask { node, until, back } => {
                let sent = nodes[*node].clock(now);
                let asked = Delivery::ProofRequested {
                    node: *node,
                    sent,
                    back: *back,
                };
                deliveries.push((now + until, asked));
            }
            Step::Use { node } => {
                let node = &nodes[*node];
                let lease = match mistake {
                    Mistake::NoExpiry => ms(1_000_000),
                    _ => lease_of(ms(REVOKE_WITHIN_MS)),
                };
                if !node.proof.holds(node.clock(now), lease) {
                    continue;
                }
                let version = usize::try_from(node.proof.version()).expect("small");
                let replaced_at = replaced.get(version - 1);
                if replaced_at.is_some_and(|at| now > at + REVOKE_WITHIN_MS) {
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
    fn no_node_accepts_a_revoked_key_for_too_long(steps in steps()) {
        let result = simulate(&steps, Mistake::None);
        prop_assert!(result.is_ok(), "{result:?}");
    }
}

#[test]
fn the_model_detects_each_mistake() {
    let scenarios: [(Mistake, Vec<Step>); 4] = [
        (
            Mistake::FromResponse,
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
            Mistake::FromReceipt,
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
        assert!(
            simulate(&steps, mistake).is_err(),
            "{mistake:?} is not detected"
        );
        assert_eq!(simulate(&steps, Mistake::None), Ok(()), "{mistake:?}");
    }
}
