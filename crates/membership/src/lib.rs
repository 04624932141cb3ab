//! Failure detection by gossip, and the assignment of partitions to nodes.
//!
//! [`Membership`] is a deterministic state machine without I/O or clock. It decides *when* to act
//! (who seems alive); it never decides *who may*: that is the log's, through claims and epochs.
//!
//! A node knows the members of its own cell in detail and a digest of every other cell.

pub mod assignment;
pub mod cells;
mod control_watch;
pub mod detector;
mod dissemination;
pub mod event;
mod health;
mod probe;
pub mod settings;
mod table;

pub use assignment::{Duty, bearers_of, cell_of, owner_of};
pub use cells::KnownCell;
pub use detector::{ControlSource, Membership, PartitionHome};
pub use event::{Effect, Event, Member};
pub use settings::MembershipSettings;
