//! The weight store: `GET /v1/weights/{model}`. It is rate limited; a refused request is answered
//! by 429 with `Retry-After`.

use elderworks_types::ModelName;
use serde::{Deserialize, Serialize};

/// Description of a model's weights; stands for the weights themselves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsResponse {
    /// The model.
    pub model: ModelName,
    /// The newest version.
    pub version: String,
    /// Size in bytes.
    pub bytes: u64,
}
