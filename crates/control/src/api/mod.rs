//! Messages of the operators' API, shared by the server in each node and its clients.

mod collection;
mod error;
mod list;
mod run;
mod watch;

pub use collection::{Collection, UnknownCollection};
pub use error::{ApiError, ErrorCode};
pub use list::ListDocument;
pub use run::{AttemptReport, CallReport, RunReport};
pub use watch::{WatchAction, WatchLine};

/// Path prefix of all collections.
pub const API_PREFIX: &str = "/apis/v1";
