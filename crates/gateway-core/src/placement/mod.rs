//! Placement of turns at model engines: which engines hold a prompt's first part.
//!
//! Many programs share a few first parts of their prompts, and an engine's memory holds only some
//! of them beside the requests that it runs. Every node decides alone, from what it has seen and
//! what others tell; the same inputs give the same answer everywhere.

pub mod demand;
pub mod homes;
