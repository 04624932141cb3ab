//! The sidecar's logic as a deterministic state machine without I/O.
//!
//! It locates the node that owns each run, forwards callers' requests to it, retries them when
//! nodes fail, and delivers every answer as one gapless text. The driver in `elderworks-sidecar`
//! turns HTTP requests and node messages into [`Event`]s and executes the resulting [`Effect`]s;
//! the simulator does the same on a virtual clock.

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
