//! The head of a response.

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, ResponseHead, StatusCode, Version};
use bytes::{Buf, BytesMut};

use super::ResponseError;
use super::body::BodyDecoder;
use super::framing::{self, Framing};

/// Maximum size of a head in bytes.
const MAX_HEAD_BYTES: usize = 128 * 1024;

/// Maximum number of header lines.
const MAX_HEADERS: usize = 96;

/// Maximum number of informational heads before a response.
const MAX_INFORMATIONAL_HEADS: u32 = 8;

/// The greatest status of the protocol (RFC 9110, section 15).
const MAX_STATUS: u16 = 599;

/// The head of a response, and the decoder of the body that follows.
#[derive(Debug)]
pub struct DecodedHead {
    /// Status and headers.
    pub head: ResponseHead,
    /// Decodes what follows the head.
    pub body: BodyDecoder,
    /// Whether the connection can be used again after the body.
    pub keeps_alive: bool,
}

/// Decodes the head of a response to one request.
#[derive(Debug)]
pub struct HeadDecoder {
    /// Method of the request.
    method: Method,
    /// Number of informational heads so far.
    informational_heads: u32,
}

impl HeadDecoder {
    /// Creates a decoder of the response to a `method` request.
    pub fn new(method: &Method) -> Self {
        Self {
            method: method.clone(),
            informational_heads: 0,
        }
    }

    /// Decodes and removes the head at the start of `buf`, and informational heads before it. Returns
    /// `None` while the head is incomplete.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no head of a response, or if it leaves open where the body ends.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<DecodedHead>, ResponseError> {
        while let Some(head) = parse(buf)? {
            let framing = framing::of_response(&self.method, &head)?;
            if !head.status.is_informational() {
                let keeps_alive = framing != Framing::UntilClose && framing::keeps_alive(&head);
                return Ok(Some(DecodedHead {
                    body: BodyDecoder::new(framing),
                    keeps_alive,
                    head,
                }));
            }
            self.informational_heads += 1;
            if self.informational_heads > MAX_INFORMATIONAL_HEADS {
                return Err(ResponseError::Head("too many informational heads"));
            }
        }
        Ok(None)
    }
}

/// Parses and removes the head at the start of `buf`.
fn parse(buf: &mut BytesMut) -> Result<Option<ResponseHead>, ResponseError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut lines);
    let status = parsed.parse(buf).map_err(malformed)?;
    let httparse::Status::Complete(len) = status else {
        return match buf.len() < MAX_HEAD_BYTES {
            true => Ok(None),
            false => Err(ResponseError::Head("too large")),
        };
    };
    let head = head_of(&parsed)?;
    buf.advance(len);
    Ok(Some(head))
}

fn head_of(parsed: &httparse::Response<'_, '_>) -> Result<ResponseHead, ResponseError> {
    let code = parsed.code.unwrap_or_default();
    let status = StatusCode::from_u16(code)
        .ok()
        .filter(|status| status.as_u16() <= MAX_STATUS)
        .ok_or(ResponseError::Head("no status of the protocol"))?;
    let mut head = ResponseHead::new(status);
    head.version = match parsed.version {
        Some(1) => Version::HTTP_11,
        _ => Version::HTTP_10,
    };
    for line in parsed.headers.iter() {
        let name = HeaderName::from_bytes(line.name.as_bytes());
        let value = HeaderValue::from_bytes(line.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(ResponseError::Head("invalid header"));
        };
        head.headers.append(name, value);
    }
    Ok(head)
}

fn malformed(error: httparse::Error) -> ResponseError {
    ResponseError::Head(match error {
        httparse::Error::HeaderName => "invalid header name",
        httparse::Error::HeaderValue => "invalid header value",
        httparse::Error::NewLine => "invalid end of line",
        httparse::Error::Status => "invalid status line",
        httparse::Error::Token => "invalid byte",
        httparse::Error::TooManyHeaders => "too many headers",
        httparse::Error::Version => "unknown version",
    })
}
