//! Models of the platform's log, tools, machine list and weight store, without I/O.
//!
//! Each model is a plain state machine: time and random numbers are passed in, and faults are
//! fields that a test sets. The stand-ins serve these models over HTTP; a simulation can drive them
//! on a virtual clock.

pub mod log;
pub mod machines;
pub mod tool;
pub mod weights;

pub use log::{AppendOutcome, LogFaults, LogModel, ReadOutcome};
pub use machines::MachinesModel;
pub use tool::{
    Execution, ExecutionId, ExecutionOutcome, Invocation, ToolFaults, ToolModel, ToolSettings,
};
pub use weights::{WeightsModel, WeightsOutcome, WeightsSettings};
