//! Placement of turns at model engines by the prefix of their prompt.
//!
//! Many programs share a few prompt prefixes, and an engine's memory holds only some of them beside
//! its running requests. Each prefix is therefore assigned to some engines, its homes. Every node
//! computes the homes from its own demand and the other nodes' reports; the same inputs give the
//! same homes on every node.

pub mod demand;
pub mod homes;
