//! Deterministic simulation of nodes, sidecars and back ends under faults, with checkers.
//!
//! The production state machines, `NodeCore` and `SidecarCore`, run on one virtual clock against
//! small models of the platform. All random choices derive from one seed, so the same seed produces
//! a byte-identical trace. The checkers in [`check`] verify invariants on what callers, back ends
//! and operators observed.

pub mod broken;
pub mod check;
pub mod fault;
mod kernel;
pub mod observation;
mod platform;
pub mod run;
pub mod scenario;
pub mod shrink;
pub mod table;
mod trace;
mod world;

pub use fault::{CallPoint, Fault, FaultKind, When};
pub use kernel::Instant;
pub use observation::Observations;
pub use run::{Plan, Report, run};
pub use scenario::{Preset, Scenario};
