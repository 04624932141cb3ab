//! HTTP stand-ins for the platform services and back ends, for tests and experiments.
//!
//! Each module serves one interface of `elderworks-platform-api` on a listener supplied by the
//! caller, so that tests and `elderworks demo` can use a free port. In addition, each server has
//! `GET /healthz`, and `GET` and `PUT /v1/faults` to read and replace the injected faults.

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
