//! How long a node may act on the keys of its configuration.
//!
//! A key that the operator takes away must be refused everywhere within a bound, also by nodes
//! that cannot read the log. So a node acts on a key only while it can show that its configuration
//! was the newest one a short time ago: a lease without a holder. The bound runs from the moment
//! when the read that showed it was *sent*, so neither slow answers nor a frozen process lengthen
//! it.

use std::cmp::Ordering;
use std::time::Duration;

use elderworks_types::Timestamp;

/// Share of the operator's bound that is left for clocks that run apart and for the way to the
/// worker.
const MARGIN_SHARE: f64 = 0.1;

/// How long a proof counts, given the operator's bound on the use of a key that was taken away.
pub fn lease_of(revoke_within: Duration) -> Duration {
    revoke_within.mul_f64(1.0 - MARGIN_SHARE)
}

/// Share of the time within which a configuration must be in force for which an unknown key may be
/// refused for good on a proof: a key may have been added since. The rest is for clocks that run
/// apart.
const DENIAL_SHARE: f64 = 5.0 / 6.0;

/// How long a proof counts for refusing an unknown key for good, given the time within which
/// a configuration must be in force.
pub fn denial_lease_of(apply_within: Duration) -> Duration {
    apply_within.mul_f64(DENIAL_SHARE)
}

/// Share of a lease after which a node asks others for a younger proof.
const ASKING_SHARE: f64 = 2.0 / 9.0;

/// Share of the time within which a configuration must be in force after which a node asks others
/// for a younger proof where no keys hang on it: twice the longest wait of one read for news, which
/// is the age that a proof comes to at rest, and a little more. A node that the log turns away so
/// hears in time what the others have read.
const ASKING_SHARE_AT_REST: f64 = 0.7;

/// The same for a node that does not read the log but hears of it. A reader's proof is under a second old
/// when it is told, so that a listener's always counts for refusing an unknown route for good.
const ASKING_SHARE_OF_LISTENERS: f64 = 0.4;

/// Age of its proof at which a node asks others for a younger one, given the lease on keys if there
/// are any, the time within which a configuration must be in force, and whether the node reads the
/// configuration itself.
pub fn proof_request_age(lease: Option<Duration>, apply_within: Duration, reads: bool) -> Duration {
    let share = match reads {
        true => ASKING_SHARE_AT_REST,
        false => ASKING_SHARE_OF_LISTENERS,
    };
    let at_rest = apply_within.mul_f64(share);
    lease.map_or(at_rest, |lease| at_rest.min(lease.mul_f64(ASKING_SHARE)))
}

/// Pause between two rounds of questions to other nodes.
const ASKING_PAUSE: Duration = Duration::from_millis(200);

/// Pause between two proofs anywhere in the fleet: one node has a proof of about this age.
const PROVING_PACE: Duration = Duration::from_millis(150);

/// Shortest and longest pause between two proofs by one node.
const PROVING_PAUSES: (Duration, Duration) = (Duration::from_millis(800), Duration::from_secs(20));

/// Mean pause between two proofs by one of `nodes` nodes that ask each other for theirs.
pub fn proof_interval(nodes: u32) -> Duration {
    let (shortest, longest) = PROVING_PAUSES;
    PROVING_PACE.saturating_mul(nodes).clamp(shortest, longest)
}

/// Decides when a node that cannot prove its configuration by reads of its own asks other nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProofRequestTimer {
    asked: Option<Timestamp>,
}

impl ProofRequestTimer {
    /// Whether to ask now, since the proof is of the given age or older; notes that it is done.
    pub fn is_due(&mut self, proof: &ConfigProof, now: Timestamp, age: Duration) -> bool {
        let needs_proof = !proof.holds(now, age);
        let is_paused = |asked: Timestamp| now.since(asked) < ASKING_PAUSE;
        if !needs_proof || self.asked.is_some_and(is_paused) {
            return false;
        }
        self.asked = Some(now);
        true
    }
}

/// What another node's proof comes to here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerProof {
    /// It is of the configuration in force here, and counts.
    Counts,
    /// The other node has a newer configuration: this one is to be replaced.
    Newer,
    /// The other node has an older one.
    Older,
}

/// Another node's proof of a newer configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct News {
    version: u64,
    /// When that was the newest, in microseconds on this node's clock.
    newest_at: i64,
}

/// When the configuration in force was last known to be the newest one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigProof {
    version: u64,
    /// Microseconds on the node's clock; negative if that was before its start.
    newest_at: Option<i64>,
    /// What other nodes have proved of a newer version that is not in force here yet.
    news: Option<News>,
    /// When a read of this node's own last showed anything, on the node's clock.
    read_at: Option<Timestamp>,
    /// Set while a newer configuration is known that cannot be read.
    is_obscured: bool,
}

impl ConfigProof {
    /// A configuration is in force from now on; of its age is known what other nodes have told with
    /// the news of it.
    pub fn replace(&mut self, version: u64) {
        if version == self.version {
            return;
        }
        let is_news_of = |other: &News| other.version == version;
        *self = Self {
            version,
            newest_at: self.news.filter(is_news_of).map(|news| news.newest_at),
            news: self.news.filter(|news| news.version > version),
            read_at: self.read_at,
            is_obscured: false,
        };
    }

    /// There is a newer configuration, and it cannot be read: reads prove nothing until another
    /// one is in force.
    pub fn note_unreadable(&mut self) {
        self.is_obscured = true;
    }

    /// A read that was sent `at` showed that the configuration in force was the newest one then.
    pub fn note_read(&mut self, at: Timestamp) {
        self.read_at = self.read_at.max(Some(at));
        if !self.is_obscured {
            self.note_at(signed_micros(at));
        }
    }

    /// Another node, asked at `asked`, has told of a configuration and of the `age` of its proof
    /// when it answered. It answered after it was asked, so an age that is counted from the
    /// question never makes the proof younger than it is, however long the answer took.
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
                // Later versions come first, then later proofs of the same.
                self.news = self.news.max(Some(News { version, newest_at }));
                PeerProof::Newer
            }
            Ordering::Equal => {
                self.note_at(newest_at);
                PeerProof::Counts
            }
        }
    }

    /// A node that reads for others has said that its last reads, so long ago, showed this
    /// configuration. How long its heartbeat took is not known, so that it proves nothing for keys; it
    /// shows that this node is not cut off.
    pub fn record_heartbeat(&mut self, now: Timestamp, age: Duration) {
        let at = Timestamp(
            now.0
                .saturating_sub(u64::try_from(age.as_micros()).unwrap_or(u64::MAX)),
        );
        self.read_at = self.read_at.max(Some(at));
    }

    fn note_at(&mut self, at: i64) {
        self.newest_at = self.newest_at.max(Some(at));
    }

    /// Version of the configuration in force; 0 if none is.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Time since the configuration in force was known to be the newest; `None` if it never was.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        let age = signed_micros(now).saturating_sub(self.newest_at?);
        Some(Duration::from_micros(u64::try_from(age).unwrap_or(0)))
    }

    /// Time since this node itself has last read the configuration's stream to its end.
    pub fn last_read_age(&self, now: Timestamp) -> Option<Duration> {
        self.read_at.map(|at| now.since(at))
    }

    /// Whether the configuration in force may be acted on.
    pub fn holds(&self, now: Timestamp, lease: Duration) -> bool {
        self.age(now).is_some_and(|age| age < lease)
    }
}

fn signed_micros(time: Timestamp) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}
