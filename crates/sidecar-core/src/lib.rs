//! The sidecar as a deterministic state machine: open calls, resume, whole answers.
//!
//! The driver in `elderworks-sidecar` turns callers' HTTP requests and connections to nodes into
//! [`Event`]s and carries out [`Effect`]s; the simulator does the same on a virtual clock.

pub mod backoff;
pub mod copies;
pub mod core;
pub mod delivery;
pub mod directory;
pub mod due_queue;
pub mod effect;
pub mod event;
pub mod finished;
pub mod links;
mod messages;
mod open_requests;
pub mod request;
mod sending;

pub use crate::core::{SidecarCore, SidecarSettings, TICK_INTERVAL};
pub use effect::{CallerReply, Effect};
pub use event::{Event, RequestId};
