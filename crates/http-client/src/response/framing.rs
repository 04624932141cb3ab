//! Where the body of a response ends (RFC 9112, section 6.3).

use actix_http::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_http::{Method, ResponseHead, StatusCode, Version};

use super::ResponseError;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// There is no body.
    Empty,
    /// By its length in bytes.
    Length(u64),
    /// By its last chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// Determines where the body of a response to a `method` request ends.
///
/// # Errors
///
/// Fails if the head is contradictory, or names a transfer coding that isn't implemented here.
pub(super) fn of_response(method: &Method, head: &ResponseHead) -> Result<Framing, ResponseError> {
    if head.status == StatusCode::SWITCHING_PROTOCOLS {
        return Err(ResponseError::Framing("no other protocol was asked for"));
    }
    let declared = declared(head)?;
    let may_have_body = !head.status.is_informational() && head.status != StatusCode::NO_CONTENT;
    if !may_have_body {
        return match declared {
            Framing::UntilClose | Framing::Length(0) => Ok(Framing::Empty),
            _ => Err(ResponseError::Framing("a body where none may be")),
        };
    }
    // Such a head describes the body of another response.
    let has_no_body = method == Method::HEAD || head.status == StatusCode::NOT_MODIFIED;
    Ok(if has_no_body {
        Framing::Empty
    } else {
        declared
    })
}

/// Returns what the headers say of the end of a body.
fn declared(head: &ResponseHead) -> Result<Framing, ResponseError> {
    let length = content_length(&head.headers)?;
    let is_chunked = is_chunked(&head.headers)?;
    if head.version != Version::HTTP_11 && head.headers.contains_key(TRANSFER_ENCODING) {
        let reason = "a transfer coding in a version without any";
        return Err(ResponseError::Framing(reason));
    }
    match (is_chunked, length) {
        (true, Some(_)) => Err(ResponseError::Framing("chunks and a length")),
        (true, None) => Ok(Framing::Chunked),
        (false, Some(length)) => Ok(Framing::Length(length)),
        (false, None) => Ok(Framing::UntilClose),
    }
}

fn content_length(headers: &HeaderMap) -> Result<Option<u64>, ResponseError> {
    const INVALID: ResponseError = ResponseError::Framing("invalid length");
    let Some(text) = single_value(headers, &CONTENT_LENGTH)? else {
        return Ok(None);
    };
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(INVALID);
    }
    text.parse().map(Some).map_err(|_| INVALID)
}

/// Returns whether the body is in chunks. The former coding `identity` leaves the body as it is.
fn is_chunked(headers: &HeaderMap) -> Result<bool, ResponseError> {
    match single_value(headers, &TRANSFER_ENCODING)? {
        None => Ok(false),
        Some(coding) if coding.eq_ignore_ascii_case("chunked") => Ok(true),
        Some(coding) if coding.eq_ignore_ascii_case("identity") => Ok(false),
        Some(_) => Err(ResponseError::Framing("unknown transfer coding")),
    }
}

/// Returns the value of a header that may occur once.
fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &actix_http::header::HeaderName,
) -> Result<Option<&'a str>, ResponseError> {
    let mut values = headers.get_all(name);
    let Some(value) = values.next() else {
        return Ok(None);
    };
    match (value.to_str(), values.next()) {
        (Ok(text), None) => Ok(Some(text.trim())),
        _ => Err(ResponseError::Framing("several values where one may be")),
    }
}

/// Returns whether the server keeps the connection open after the response.
pub(super) fn keeps_alive(head: &ResponseHead) -> bool {
    let asks_to_close = head
        .headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"));
    head.version == Version::HTTP_11 && !asks_to_close
}
