//! Freshness of a node's configuration, which limits how long the node may accept its API keys.
//!
//! A revoked key must be refused by all nodes within a bound, including nodes that cannot read the
//! log. A node therefore accepts a key only while it has a recent proof that its configuration was
//! the newest one, similar to a lease. The age of a proof counts from the time when the underlying
//! read was *sent*, so that neither slow responses nor a paused process extend it.

use std::cmp::Ordering;
use std::time::Duration;

use elderworks_types::Timestamp;

/// Fraction of the operator's bound that is reserved for clock drift and for the time to reach a
/// worker.
const MARGIN_FRACTION: f64 = 0.1;

/// Returns how long a proof is valid for accepting keys, given the operator's bound on the use of a
/// revoked key.
pub fn lease_of(revoke_within: Duration) -> Duration {
    revoke_within.mul_f64(1.0 - MARGIN_FRACTION)
}

/// Fraction of the time for applying a configuration during which a proof is valid for permanently
/// refusing an unknown key, which may have been added since. The rest allows for clock drift.
const DENIAL_FRACTION: f64 = 5.0 / 6.0;

/// Returns how long a proof is valid for permanently refusing an unknown key, given the time within
/// which a configuration must be active.
pub fn denial_lease_of(apply_within: Duration) -> Duration {
    apply_within.mul_f64(DENIAL_FRACTION)
}

/// Fraction of the lease on keys after which a node requests a newer proof from other nodes.
const REQUEST_FRACTION_WITH_KEYS: f64 = 2.0 / 9.0;

/// Fraction of the time for applying a configuration after which a reader without keys requests a
/// newer proof. Slightly more than two long-polling waits, the age that a proof reaches on an idle
/// stream, so that only nodes whose own reads fail request proofs.
const REQUEST_FRACTION_OF_READERS: f64 = 0.7;

/// The same for a node that does not read the log itself. Readers' proofs are less than a second
/// old, so a listener's proof is always valid for permanently refusing an unknown route.
const REQUEST_FRACTION_OF_LISTENERS: f64 = 0.4;

/// Returns the age of a proof at which a node requests a newer one, given the lease on keys if
/// there are any, the time within which a configuration must be active, and whether the node reads
/// the configuration itself.
pub fn proof_request_age(lease: Option<Duration>, apply_within: Duration, reads: bool) -> Duration {
    let fraction = match reads {
        true => REQUEST_FRACTION_OF_READERS,
        false => REQUEST_FRACTION_OF_LISTENERS,
    };
    let max_age = apply_within.mul_f64(fraction);
    lease.map_or(max_age, |lease| {
        max_age.min(lease.mul_f64(REQUEST_FRACTION_WITH_KEYS))
    })
}

/// Minimum interval between two rounds of proof requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// Mean interval between two proofs in the whole fleet, and thus the age of the newest one.
const FLEET_PROOF_INTERVAL: Duration = Duration::from_millis(150);

/// Minimum and maximum interval between two proofs by one node.
const NODE_PROOF_INTERVALS: (Duration, Duration) =
    (Duration::from_millis(800), Duration::from_secs(20));

/// Returns the mean interval between two proofs by one of `nodes` nodes that share their proofs.
pub fn proof_interval(nodes: u32) -> Duration {
    let (min, max) = NODE_PROOF_INTERVALS;
    FLEET_PROOF_INTERVAL.saturating_mul(nodes).clamp(min, max)
}

/// Decides when a node that cannot prove its configuration by its own reads requests proofs from
/// others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProofRequestTimer {
    /// Time of the last round of requests.
    last_request: Option<Timestamp>,
}

impl ProofRequestTimer {
    /// Returns whether to send a round of requests, because the proof has reached `age`. If so,
    /// records the round as sent.
    pub fn is_due(&mut self, proof: &ConfigProof, now: Timestamp, age: Duration) -> bool {
        let needs_proof = !proof.holds(now, age);
        let was_recent = |asked: Timestamp| now.since(asked) < REQUEST_INTERVAL;
        if !needs_proof || self.last_request.is_some_and(was_recent) {
            return false;
        }
        self.last_request = Some(now);
        true
    }
}

/// Result of comparing another node's proof with the local configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerProof {
    /// The proof is for the local configuration and was recorded.
    Counts,
    /// The other node has a newer configuration, which must be fetched.
    Newer,
    /// The other node has an older configuration.
    Older,
}

/// Another node's proof of a newer configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct NewerProof {
    version: u64,
    /// Time at which that version was the newest, in microseconds on this node's clock.
    newest_at: i64,
}

/// Time at which the active configuration was last known to be the newest one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigProof {
    /// Version of the active configuration, or 0 if there is none.
    version: u64,
    /// Microseconds on the node's clock, negative for times before the clock's zero.
    newest_at: Option<i64>,
    /// Latest proof by another node of a newer version that is not active here yet.
    newer_proof: Option<NewerProof>,
    /// Time at which the last successful read by this node or its reader was sent, on the node's
    /// clock.
    read_at: Option<Timestamp>,
    /// Whether a newer configuration exists that cannot be read.
    has_unreadable_successor: bool,
}

impl ConfigProof {
    /// Records that a configuration has become active. Its proof is the one that other nodes have
    /// sent for this version, if any.
    pub fn replace(&mut self, version: u64) {
        if version == self.version {
            return;
        }
        let is_for_version = |other: &NewerProof| other.version == version;
        *self = Self {
            version,
            newest_at: self
                .newer_proof
                .filter(is_for_version)
                .map(|proof| proof.newest_at),
            newer_proof: self.newer_proof.filter(|proof| proof.version > version),
            read_at: self.read_at,
            has_unreadable_successor: false,
        };
    }

    /// Records that a newer configuration exists that cannot be read. Reads then prove nothing
    /// until another configuration is active.
    pub fn note_unreadable(&mut self) {
        self.has_unreadable_successor = true;
    }

    /// Records that a read that was sent at `at` returned the active configuration as the newest
    /// one.
    pub fn note_read(&mut self, at: Timestamp) {
        self.read_at = self.read_at.max(Some(at));
        if !self.has_unreadable_successor {
            self.note_at(signed_micros(at));
        }
    }

    /// Records another node's response to a request sent at `asked`: a version and the `age` of its
    /// proof. The age is counted back from the time of the request, so that a slow response never
    /// makes the proof appear newer than it is.
    pub fn record_peer_proof(
        &mut self,
        version: u64,
        asked: Timestamp,
        age: Duration,
    ) -> PeerProof {
        let age = i64::try_from(age.as_micros()).unwrap_or(i64::MAX);
        let newest_at = signed_micros(asked).saturating_sub(age);
        match version.cmp(&self.version) {
            Ordering::Less => PeerProof::Older,
            Ordering::Greater => {
                // Prefers later versions, then later proofs of the same version.
                self.newer_proof = self
                    .newer_proof
                    .max(Some(NewerProof { version, newest_at }));
                PeerProof::Newer
            }
            Ordering::Equal => {
                self.note_at(newest_at);
                PeerProof::Counts
            }
        }
    }

    /// Records a reader's heartbeat with the age of its last reads. The heartbeat's transmission
    /// time is unknown, so it is no proof for accepting keys, but it shows that this node is not
    /// isolated.
    pub fn record_heartbeat(&mut self, now: Timestamp, age: Duration) {
        let at = Timestamp(
            now.0
                .saturating_sub(u64::try_from(age.as_micros()).unwrap_or(u64::MAX)),
        );
        self.read_at = self.read_at.max(Some(at));
    }

    /// Records a time at which the active configuration was the newest one.
    fn note_at(&mut self, at: i64) {
        self.newest_at = self.newest_at.max(Some(at));
    }

    /// Returns the version of the active configuration, or 0 if there is none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the time since the active configuration was last known to be the newest one, or
    /// `None` if it never was.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        let age = signed_micros(now).saturating_sub(self.newest_at?);
        Some(Duration::from_micros(u64::try_from(age).unwrap_or(0)))
    }

    /// Returns the time since this node or its reader last read the configuration's stream to its
    /// end.
    pub fn last_read_age(&self, now: Timestamp) -> Option<Duration> {
        self.read_at.map(|at| now.since(at))
    }

    /// Returns whether the proof of the active configuration is newer than `lease`.
    pub fn holds(&self, now: Timestamp, lease: Duration) -> bool {
        self.age(now).is_some_and(|age| age < lease)
    }
}

fn signed_micros(time: Timestamp) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}
