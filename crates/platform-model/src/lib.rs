//! Models of the platform's log, tools, machine list and weight store, without I/O.
//!
//! Each model is a state machine: callers pass in time and random numbers, and tests set faults
//! through fields. The stand-ins serve the models over HTTP; the simulation runs them on a virtual
//! clock.

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
