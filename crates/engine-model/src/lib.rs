//! Model of a batching inference engine with a prefix cache, on a virtual clock.
//!
//! [`Engine`] is a deterministic state machine: callers pass in the time, it does no I/O, and its
//! random choices (lost cache events) come from a seeded generator. The HTTP stand-in, the fault
//! simulation and the policy comparison use the same model. `docs/ENGINE-MODEL.md` lists all
//! parameters with the sources of their defaults.

pub mod answer;
mod batch;
pub mod cache;
pub mod command;
mod engine;
pub mod feed;
pub mod parameters;
pub mod request;
mod stream;

pub use cache::{CacheStatistics, Holding};
pub use command::{CommandError, EngineRole, FencedAction, FencedCommand, WeightStore};
pub use engine::Engine;
pub use feed::{CacheChange, CacheEvent, LoadReport};
pub use parameters::{EngineParameters, FeedParameters};
pub use request::{
    Completion, ExportedBlocks, NumberedChunk, Output, Rejected, Request, RequestId, Resumed, Work,
};
