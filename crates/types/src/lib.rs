//! Identifiers, units, outcomes and resources shared by every elderworks crate.
//!
//! This crate depends on no other crate of the workspace and performs no I/O. It contains plain data
//! types and conversions between them.

pub mod call;
pub mod ids;
pub mod outcome;
pub mod resource;
pub mod run;
pub mod text;
pub mod units;

pub use call::{CallKind, CallRequest, CallSpec, Message, ModelRequest, Role, ToolRequest, Usage};
pub use ids::{
    Attempt, CallId, CallNumber, CellId, EngineId, Epoch, Incarnation, ModelName, NodeId, Offset,
    PartitionId, ResourceName, RunId, Sequence, TenantId, ToolName, ZoneId,
};
pub use outcome::{Answer, Failure, FailureReason, Outcome, Refusal, RefusalReason, UnknownReason};
pub use run::{RunPhase, RunSpec};
pub use units::{Credits, Timestamp, Tokens};
