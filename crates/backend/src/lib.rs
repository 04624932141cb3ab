//! HTTP clients for engines, tools and the platform, each behind one narrow trait.
//!
//! The traits are what drivers depend on; the `Http*` types implement them over `awc`. Every answer
//! from outside is decoded here, and no answer, however malformed, panics. Failures are sorted by
//! what the caller must know of them, see [`BackendError`].

pub mod decode;
pub mod engine;
pub mod error;
pub mod http;
pub mod log;
pub mod machines;
pub mod tool;
pub mod weights;

pub use engine::{
    AnswerItem, AnswerStream, EngineClient, Finish, GenerateRequest, HttpEngineClient, transfer,
};
pub use error::{BackendError, LostReason};
pub use http::{Endpoint, HttpClient};
pub use log::{HttpLogClient, LogClient};
pub use machines::{HttpMachinesClient, MachinesClient};
pub use tool::{HttpToolClient, ToolClient, ToolInvocation};
pub use weights::{HttpWeightsClient, WeightsClient};
