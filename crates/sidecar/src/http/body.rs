//! Decoding of request bodies and headers.

use std::str::FromStr;

use actix_http::header::HeaderMap;
use actix_http::{Request, StatusCode};
use bytes::BytesMut;
use futures_util::StreamExt;
use serde::de::DeserializeOwned;

use super::error::ApiError;

/// Reads and decodes a JSON body of at most `limit` bytes.
///
/// # Errors
///
/// Returns an error if the body is too large, is not JSON or does not match `T`.
pub async fn json<T: DeserializeOwned>(request: &mut Request, limit: usize) -> Result<T, ApiError> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| malformed(error.to_string()))?;
        if body.len() + chunk.len() > limit {
            let message = format!("the body is larger than {limit} bytes");
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(ApiError::request(status, "body_too_large", message));
        }
        body.extend_from_slice(&chunk);
    }
    serde_json::from_slice(&body).map_err(|error| {
        if error.is_data() {
            ApiError::invalid(error.to_string())
        } else {
            malformed(error.to_string())
        }
    })
}

fn malformed(message: String) -> ApiError {
    ApiError::request(StatusCode::BAD_REQUEST, "malformed_json", message)
}

/// Parses a header's value, if the header is present.
///
/// # Errors
///
/// Returns an error if the value is not a valid `T`.
pub fn header<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, ApiError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    match parsed {
        Some(value) => Ok(Some(value)),
        None => Err(ApiError::invalid(format!("invalid value of header {name}"))),
    }
}
