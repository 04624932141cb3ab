//! Failure detection by gossip, and the assignment of partitions to nodes.
//!
//! [`Membership`] is a deterministic state machine without I/O or clock. It decides *when* to act
//! (who seems alive); it never decides *who may*: that is the log's, through claims and epochs.

pub mod assignment;
pub mod detector;

pub use assignment::owner_of;
pub use detector::{Effect, Event, Member, Membership, MembershipSettings};
