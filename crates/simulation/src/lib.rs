//! Deterministic simulation of many nodes, sidecars and stand-ins under faults, with checkers.
//!
//! The real decision objects, `NodeCore` and `SidecarCore`, run on one virtual clock against small
//! models of the platform. Every choice comes from one seed: the same seed gives the same trace to
//! the byte. What callers, back ends and operators saw is judged by the checkers of [`check`].

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
