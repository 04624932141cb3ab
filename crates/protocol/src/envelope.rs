//! Encoding of values behind a version byte, and length-prefixed framing for connections.

use bytes::{Buf, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of the encoding, written as the first byte of each value.
pub const VERSION: u8 = 1;

/// Maximum length of a received frame's body, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Size of the length prefix of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// Error returned when bytes can't be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The input is empty.
    #[error("empty message")]
    Empty,
    /// The version byte is not [`VERSION`].
    #[error("unsupported encoding version {0}")]
    UnknownVersion(u8),
    /// The bytes are not a value of the expected type, or are followed by trailing bytes.
    #[error("malformed message")]
    Malformed,
    /// The length prefix of a frame exceeds [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes exceeds the maximum length")]
    TooLarge(usize),
}

/// Encodes a value, prefixed by the version byte.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let buffer = vec![VERSION];
    postcard::to_extend(value, buffer).expect("plain data always encodes")
}

/// Decodes a value written by [`encode`].
///
/// # Errors
/// Returns an error if `bytes` is empty, has another version, or is not exactly one value of type `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let (version, body) = bytes.split_first().ok_or(DecodeError::Empty)?;
    if *version != VERSION {
        return Err(DecodeError::UnknownVersion(*version));
    }
    match postcard::take_from_bytes(body) {
        Ok((value, [])) => Ok(value),
        Ok(_) | Err(_) => Err(DecodeError::Malformed),
    }
}

/// Encodes a value as a frame: the body's length as a little-endian `u32`, then the body as
/// written by [`encode`].
pub fn frame<T: Serialize>(value: &T) -> Bytes {
    let body = encode(value);
    let length = u32::try_from(body.len()).expect("frame length fits four bytes");
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(&body);
    frame.freeze()
}

/// Removes the first complete frame from `buffer` and decodes it. Returns `None` while the frame is
/// incomplete.
///
/// # Errors
/// Returns [`DecodeError::TooLarge`] as soon as the length prefix exceeds [`MAX_FRAME_BYTES`], and the
/// errors of [`decode`] for a malformed body.
pub fn split_frame<T: DeserializeOwned>(buffer: &mut BytesMut) -> Result<Option<T>, DecodeError> {
    let Some(header) = buffer.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*header) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(DecodeError::TooLarge(length));
    }
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    let body = buffer.split_to(length);
    decode(&body).map(Some)
}
