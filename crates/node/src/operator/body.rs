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

/// A request whose body has not arrived whole within this time is given up.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a whole body of at most `limit` bytes.
pub(super) async fn read_body(
    payload: impl Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    limit: usize,
) -> Result<Bytes, ApiError> {
    match tokio::time::timeout(BODY_TIMEOUT, collect(payload, limit)).await {
        Ok(body) => body,
        Err(_) => Err(ApiError::new(
            ErrorCode::Malformed,
            "the body did not arrive in time",
        )),
    }
}

async fn collect(
    mut payload: impl Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    limit: usize,
) -> Result<Bytes, ApiError> {
    let mut body = BytesMut::new();
    while let Some(piece) = payload.next().await {
        let piece = piece.map_err(|error| {
            ApiError::new(ErrorCode::Malformed, format!("the body broke off: {error}"))
        })?;
        if body.len() + piece.len() > limit {
            let message = format!("the body is over {limit} bytes");
            return Err(ApiError::new(ErrorCode::BodyTooLarge, message));
        }
        body.extend_from_slice(&piece);
    }
    Ok(body.freeze())
}

/// A response that carries a value as JSON.
pub(super) fn json_response(status: StatusCode, value: &impl Serialize) -> Response<BoxBody> {
    let bytes = serde_json::to_vec(value).expect("API types are plain data with text keys");
    let mut response = Response::with_body(status, bytes.boxed());
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
