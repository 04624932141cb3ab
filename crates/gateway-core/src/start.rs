//! Startup of a node: the milestones that it must reach before it serves callers.

use std::time::Duration;

use elderworks_types::Timestamp;

/// Maximum time that a request waits for its node to finish starting. A caller that is refused
/// would retry no sooner, possibly on a node that started at the same time.
pub const MAX_START_WAIT: Duration = Duration::from_millis(400);

/// Fraction of a request's remaining time that it may spend on waiting for the start.
const WAIT_FRACTION: f64 = 0.3;

/// Prerequisites for serving requests. They are independent of each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Milestone {
    /// A configuration has been applied.
    Configuration,
    /// The list of workers has been read.
    Workers,
    /// The node's own entry has been written, and the entries of other nodes have been read after
    /// that.
    Joined,
}

impl Milestone {
    /// All milestones.
    pub const ALL: [Self; 3] = [Self::Configuration, Self::Workers, Self::Joined];

    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Workers => "workers",
            Self::Joined => "joined",
        }
    }

    fn index(self) -> usize {
        self as usize
    }
}

/// The time at which each milestone was reached, relative to the start of the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartProgress {
    reached: [Option<Timestamp>; Milestone::ALL.len()],
}

impl StartProgress {
    /// Records that a milestone has been reached. Returns whether this completes the start.
    pub fn reach(&mut self, milestone: Milestone, now: Timestamp) -> bool {
        let was_complete = self.is_complete();
        self.reached[milestone.index()].get_or_insert(now);
        !was_complete && self.is_complete()
    }

    /// Returns whether all milestones have been reached.
    pub fn is_complete(&self) -> bool {
        self.reached.iter().all(Option::is_some)
    }

    /// Returns whether a milestone has been reached.
    pub fn has_reached(&self, milestone: Milestone) -> bool {
        self.at(milestone).is_some()
    }

    /// Returns when a milestone was reached.
    pub fn at(&self, milestone: Milestone) -> Option<Timestamp> {
        self.reached[milestone.index()]
    }

    /// Returns the milestones that have not been reached.
    pub fn missing(&self) -> impl Iterator<Item = Milestone> {
        let reached = *self;
        Milestone::ALL
            .into_iter()
            .filter(move |milestone| !reached.has_reached(*milestone))
    }
}

/// How long after joining a node presumes listed nodes to be alive in any case; covers several
/// rounds of gossip.
const MIN_PRESUMED_ALIVE: Duration = Duration::from_millis(1_500);

/// How long after joining a node presumes listed nodes to be alive if gossip has not mentioned some
/// of them. When many slow machines start simultaneously, gossip reports some of them late, and
/// dropping them early would move partitions back and forth.
const MAX_PRESUMED_ALIVE: Duration = Duration::from_secs(3);

/// Returns whether listed nodes that gossip has not mentioned are presumed alive, given the time
/// since the node joined and whether there are any such nodes.
pub fn presumes_alive(since_join: Duration, has_unmentioned: bool) -> bool {
    let duration = match has_unmentioned {
        true => MAX_PRESUMED_ALIVE,
        false => MIN_PRESUMED_ALIVE,
    };
    since_join < duration
}

/// Returns how long a request waits for its node to finish starting, given the time it has left, if
/// known.
pub fn start_wait(left: Option<Duration>) -> Duration {
    let limit = left.map(|left| left.mul_f64(WAIT_FRACTION));
    limit.map_or(MAX_START_WAIT, |limit| limit.min(MAX_START_WAIT))
}
