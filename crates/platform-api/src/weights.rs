//! The weight store: `GET /v1/weights/{model}`.
//!
//! Requests are rate limited; refused ones get status 429 with a `Retry-After` header.

use elderworks_types::ModelName;
use serde::{Deserialize, Serialize};

/// Description of a model's weights, returned in place of the weights themselves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsResponse {
    /// The model.
    pub model: ModelName,
    /// The latest version.
    pub version: String,
    /// Size in bytes.
    pub bytes: u64,
}
