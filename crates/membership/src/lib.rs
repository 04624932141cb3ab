//! Failure detection by gossip, and the assignment of partitions to nodes.
//!
//! [`Membership`] is a deterministic state machine that performs no I/O and reads no clock. Its view
//! of which nodes are alive determines when a node tries to take over a partition. The right to own
//! one is granted by the log alone, through claims and epochs, so a wrong view costs time but never
//! correctness.
//!
//! A node tracks every member of its own cell and one digest for each other cell.

pub mod assignment;
pub mod cells;
mod control_progress;
pub mod detector;
mod dissemination;
pub mod event;
mod health;
mod probe;
pub mod settings;
mod table;

pub use assignment::{Duty, cell_of, duty_holders, owner_of};
pub use cells::KnownCell;
pub use detector::{ControlSource, Membership, PartitionHome};
pub use event::{Effect, Event, Member};
pub use settings::MembershipSettings;
