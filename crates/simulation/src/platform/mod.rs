//! In-memory models of the platform and of back ends.

pub mod engine;
pub mod log;
pub mod tool;

pub use engine::{Engine, EngineStep, Subscriber};
pub use log::{Log, LogFailure};
pub use tool::{Tool, ToolAnswer};
