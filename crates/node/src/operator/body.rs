//! Request and response bodies.

use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::error::PayloadError;
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::{Bytes, BytesMut};
use elderworks_control::api::{ApiError, ErrorCode};
use futures_util::{Stream, StreamExt};
use serde::Serialize;

/// Timeout of receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a request body of at most `limit` bytes.
///
/// # Errors
///
/// Returns an error if the body is too large, incomplete or not received within [`BODY_TIMEOUT`].
pub(super) async fn read_body(
    payload: impl Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    limit: usize,
) -> Result<Bytes, ApiError> {
    match tokio::time::timeout(BODY_TIMEOUT, collect(payload, limit)).await {
        Ok(body) => body,
        Err(_) => Err(ApiError::new(
            ErrorCode::Malformed,
            "timed out while receiving the request body",
        )),
    }
}

async fn collect(
    mut payload: impl Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    limit: usize,
) -> Result<Bytes, ApiError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| {
            ApiError::new(
                ErrorCode::Malformed,
                format!("cannot read the request body: {error}"),
            )
        })?;
        if body.len() + chunk.len() > limit {
            let message = format!("the request body exceeds {limit} bytes");
            return Err(ApiError::new(ErrorCode::BodyTooLarge, message));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Creates a response with a value as JSON body.
pub(super) fn json_response(status: StatusCode, value: &impl Serialize) -> Response<BoxBody> {
    let bytes = serde_json::to_vec(value).expect("API types are plain data with text keys");
    let mut response = Response::with_body(status, bytes.boxed());
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
