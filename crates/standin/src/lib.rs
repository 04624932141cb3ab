//! Stand-ins for the platform and back ends over HTTP, for tests and experiments.
//!
//! Each module serves one interface of `elderworks-platform-api` on a listener of the caller's
//! choice, so that a test or `elderworks demo` can embed it on port 0. Beside the published
//! interface each has `GET /healthz` and `GET` and `PUT /v1/faults`, which reads and replaces the
//! faults in force.

mod clock;
pub mod engine;
mod http;
pub mod log;
pub mod machines;
mod server;
mod shared;
pub mod tool;
pub mod weights;

pub use server::{ServerHandle, listen};
