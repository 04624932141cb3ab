//! HTTP clients of engines, tools and the platform, each behind a small trait.
//!
//! Callers depend on the traits; the `Http*` types implement them over HTTP. This crate decodes all
//! responses, and a malformed response never panics. Errors are classified by whether the request
//! can have had an effect, see [`BackendError`].

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
