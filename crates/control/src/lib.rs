//! Resource store replayed from the control stream: validation, revisions, watch, snapshots.
//!
//! [`Control`] is a deterministic state machine without I/O or clock. Racing operators are settled
//! by the order of the log, alike on every node; a revision is the log offset of the change.

pub mod api;
pub mod body;
pub mod bootstrap;
pub mod changes;
pub mod configuration;
pub mod control;
pub mod effect;
pub mod error;
pub mod event;
mod index;
pub mod lookup;
pub mod manifest;
mod proposals;
mod resources;
pub mod snapshot;
mod validation;
pub mod watch;
mod writers;

pub use body::ControlBody;
pub use bootstrap::{Bootstrap, BootstrapStep};
pub use configuration::Settings;
pub use control::Control;
pub use effect::{Change, Effect};
pub use error::ControlError;
pub use event::{Event, RequestId};
pub use lookup::{ModelTerms, ToolTerms};
pub use validation::{nearest, validate_syntax};
pub use watch::Watches;
