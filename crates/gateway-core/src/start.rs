//! The start of a node: what it must know before callers are sent to it, and how long it took.

use std::time::Duration;

use elderworks_types::Timestamp;

/// Longest wait of a request for the rest of its node's start. A caller that is refused at once
/// comes back no sooner, to a node that has started at the same time.
pub const STARTING_PATIENCE: Duration = Duration::from_millis(400);

/// Part of a request's time that it may wait for the start: the rest is for its work.
const PATIENT_SHARE: f64 = 0.3;

/// What a node needs before it can serve; none of it depends on another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Milestone {
    /// A configuration is in force.
    Configuration,
    /// The list of workers was read.
    Workers,
    /// The own entry is written, and the others' were read after it.
    Joined,
}

impl Milestone {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Configuration, Self::Workers, Self::Joined];

    /// Its name in logs and metrics.
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

/// When each milestone was reached, on the node's clock, which begins at its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartProgress {
    reached: [Option<Timestamp>; Milestone::ALL.len()],
}

impl StartProgress {
    /// Notes that a milestone is reached; tells whether it was the last one that was missing.
    pub fn reach(&mut self, milestone: Milestone, now: Timestamp) -> bool {
        let was_complete = self.is_complete();
        self.reached[milestone.index()].get_or_insert(now);
        !was_complete && self.is_complete()
    }

    /// Whether nothing is missing.
    pub fn is_complete(&self) -> bool {
        self.reached.iter().all(Option::is_some)
    }

    /// Whether a milestone is reached.
    pub fn has_reached(&self, milestone: Milestone) -> bool {
        self.at(milestone).is_some()
    }

    /// When a milestone was reached.
    pub fn at(&self, milestone: Milestone) -> Option<Timestamp> {
        self.reached[milestone.index()]
    }

    /// What is missing.
    pub fn missing(&self) -> impl Iterator<Item = Milestone> {
        let reached = *self;
        Milestone::ALL
            .into_iter()
            .filter(move |milestone| !reached.has_reached(*milestone))
    }
}

/// How long a node that has joined presumes listed nodes to be alive, in any case: a few rounds of
/// gossip.
const SHORTEST_PRESUMPTION: Duration = Duration::from_millis(1_500);

/// Longest time of that: where many small machines start together, some are heard of late, and to
/// drop them meanwhile would move partitions to others and back.
const LONGEST_PRESUMPTION: Duration = Duration::from_secs(3);

/// Whether listed nodes that gossip has not told of are presumed alive, given the time since the join
/// and whether there are any.
pub fn presumes_alive(since_join: Duration, has_unheard: bool) -> bool {
    let longest = match has_unheard {
        true => LONGEST_PRESUMPTION,
        false => SHORTEST_PRESUMPTION,
    };
    since_join < longest
}

/// How long a request waits for the rest of its node's start, given the time it has left if that is
/// known.
pub fn start_wait(left: Option<Duration>) -> Duration {
    let share = left.map(|left| left.mul_f64(PATIENT_SHARE));
    share.map_or(STARTING_PATIENCE, |share| share.min(STARTING_PATIENCE))
}
