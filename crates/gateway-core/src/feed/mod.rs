//! Fan-out of the log's streams in large fleets: a few nodes per zone read them and forward
//! updates.
//!
//! If every node read the workers' stream, the load on the log would grow with nodes times workers,
//! which is acceptable for about a hundred nodes but not for a thousand. [`roles`] decides which
//! nodes read, [`catalog`] selects the workers that a zone uses, and [`published`] computes the
//! updates for listeners that know an earlier state.

pub mod catalog;
pub mod published;
pub mod roles;
