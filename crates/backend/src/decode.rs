//! Decoders of responses. None of them panics on malformed input.

use std::time::Duration;

use elderworks_platform_api::{ErrorBody, ErrorCode};
use elderworks_types::Usage;
use serde::de::DeserializeOwned;

use crate::{BackendError, LostReason};

/// Maximum number of characters of a response body that an error message quotes.
const MAX_QUOTED_CHARS: usize = 200;

/// Upper limit of `Retry-After`; larger values are reduced to it.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3_600);

/// Decodes the JSON body of a successful response.
///
/// # Errors
///
/// Returns [`BackendError::Lost`] if the body is malformed, because the request may have run.
pub fn json_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, BackendError> {
    serde_json::from_slice(body).map_err(|error| BackendError::lost(LostReason::Malformed, error))
}

/// Decodes a `Retry-After` header in seconds. Returns `None` for a date or a malformed value.
pub fn retry_after(value: &[u8]) -> Option<Duration> {
    let text = std::str::from_utf8(value).ok()?;
    let seconds: u64 = text.trim().parse().ok()?;
    Some(Duration::from_secs(seconds).min(MAX_RETRY_AFTER))
}

/// Decodes a response with an error status. The request counts as not run only if the body states
/// that explicitly.
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
