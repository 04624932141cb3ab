//! Whether a node acts for a partition in place of the candidates before it.
//!
//! Acting begins with reading the whole partition, and the log's bandwidth is shared by all reads. A
//! node that acts too soon makes the foremost candidate slower, so that others pass it over as well:
//! after a start of all nodes, each would read every partition.

use std::time::Duration;

/// How long after its start a node takes a candidate that it cannot reach to be starting too:
/// processes that start together listen by then, those of small machines included, and callers of a
/// single one that starts have time left.
pub const OTHERS_START: Duration = Duration::from_millis(300);

/// How long after its start a node takes a candidate that says "unavailable" to be reading the
/// partition: some times what that takes on a small machine.
pub const OTHERS_READ: Duration = Duration::from_millis(1_500);

/// Why a candidate has not carried a request out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SkipReason {
    /// It says that it cannot now.
    Unavailable,
    /// It cannot be reached, or shows no sign of life.
    Absent,
}

/// What a node knows of itself when a candidate before it has not carried a request out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartupGrace {
    /// Time since its start.
    pub age: Duration,
}

impl StartupGrace {
    /// Whether to ask the next candidate, or to act in its place. If not, the request is made again
    /// after a pause, as long as its caller has time.
    pub fn may_skip(&self, reason: SkipReason) -> bool {
        match reason {
            // It reads the partition, as everybody would have to.
            SkipReason::Unavailable => self.age >= OTHERS_READ,
            SkipReason::Absent => self.age >= OTHERS_START,
        }
    }

    /// Whether to act without any candidate before this node: it may know no other yet.
    pub fn may_serve_alone(&self, has_joined: bool) -> bool {
        has_joined || self.age >= OTHERS_START
    }
}
