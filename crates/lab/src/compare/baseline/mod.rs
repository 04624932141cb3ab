//! Ordinary policies: each sends a call on at once, in the order in which calls come.
//!
//! They get what any router has: the engines' load reports, corrected by the router's own
//! dispatches since, and their cache events. Engines serve their calls first come, first served and
//! keep prefixes in least recently used order.

mod affinity;
mod hashing;
mod router;
mod simple;

pub use affinity::PrefixAffinity;
pub use hashing::ConsistentHashing;
pub use router::{EngineView, Router, Strategy};
pub use simple::{LeastLoaded, RandomChoice, RoundRobin};
