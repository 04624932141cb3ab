//! Model of a batching inference engine with a prefix cache, on a virtual clock.
//!
//! [`Engine`] is a deterministic state machine: it is given the time, does no I/O and draws its few
//! random choices (lost cache events) from a seeded generator. The same model answers behind the
//! HTTP stand-in, in the fault simulation and in the policy comparison. Every parameter and the
//! source of its default is listed in `docs/ENGINE-MODEL.md`.

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
