//! Prompt prefixes in the engines' memory: reading them from the engines, reporting them to other
//! nodes, and fetching them between engines.
//!
//! An engine accepts few concurrent calls for its events, so one node reads each engine
//! ([`readers`]). The reader follows the engine's events ([`log`]) at a limited rate ([`reading`])
//! and reports changes of the prefixes in demand to the other nodes ([`reporting`]). Each node stores
//! its own and the reported data as snapshots that expire ([`snapshots`]). They never decide whether or
//! where a request runs, only whether its engine fetches the prompt's prefix from another one
//! ([`fetching`]).

pub mod fetching;
pub mod log;
pub mod readers;
pub mod reading;
pub mod reporting;
pub mod snapshots;
