//! Decoders of answers. All of them survive arbitrary bytes.

use std::time::Duration;

use elderworks_platform_api::{ErrorBody, ErrorCode};
use elderworks_types::Usage;
use serde::de::DeserializeOwned;

use crate::{BackendError, LostReason};

/// Most characters of an answer's text that an error quotes.
const MAX_QUOTED_CHARS: usize = 200;

/// Longest `Retry-After` that is believed.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3_600);

/// Decodes the body of a successful answer.
pub fn json_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, BackendError> {
    serde_json::from_slice(body).map_err(|error| BackendError::lost(LostReason::Malformed, error))
}

/// Decodes a `Retry-After` header given in seconds; a date is not understood.
pub fn retry_after(value: &[u8]) -> Option<Duration> {
    let text = std::str::from_utf8(value).ok()?;
    let seconds: u64 = text.trim().parse().ok()?;
    Some(Duration::from_secs(seconds).min(MAX_RETRY_AFTER))
}

/// Decodes an answer with a status that is not a success. Only an answer that says so in as many
/// words counts as not run.
pub fn error_body(status: u16, retry_after: Option<Duration>, body: &[u8]) -> BackendError {
    let Ok(decoded) = serde_json::from_slice::<ErrorBody>(body) else {
        return BackendError::Errored {
            code: ErrorCode::Other,
            message: format!("status {status}: {}", quoted(body)),
            usage: Usage::default(),
        };
    };
    let code = decoded.error.code;
    let message = decoded.error.message;
    if decoded.run == Some(false) {
        return BackendError::Rejected {
            code,
            message,
            retry_after,
        };
    }
    BackendError::Errored {
        code,
        message,
        usage: Usage::default(),
    }
}

fn quoted(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    text.chars().take(MAX_QUOTED_CHARS).collect()
}
