//! Replicated store of the platform's resources, with validation, revisions, watches and snapshots.
//!
//! Every node replays the control stream of the log into [`Control`], a deterministic state machine
//! that performs no I/O and reads no clock. Concurrent changes are ordered by the log, so that all
//! nodes reach the same state. The revision of a change is its log offset.

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
