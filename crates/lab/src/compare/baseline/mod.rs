//! Baseline policies that dispatch each call immediately, in order of arrival.
//!
//! Their input is that of a typical router: the engines' load reports, adjusted by the router's own
//! later dispatches, and the engines' cache events. Engines serve calls in order of arrival and
//! evict the least recently used prefixes.

mod affinity;
mod hashing;
mod router;
mod simple;

pub use affinity::PrefixAffinity;
pub use hashing::ConsistentHashing;
pub use router::{EngineView, Router, Strategy};
pub use simple::{LeastLoaded, RandomChoice, RoundRobin};
