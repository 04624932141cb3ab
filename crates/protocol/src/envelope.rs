//! Versioned encoding and framing.

use bytes::{Buf, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of every encoding in this crate; the first byte of each encoded value.
pub const VERSION: u8 = 1;

/// Largest frame accepted on a connection, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

const LENGTH_BYTES: usize = 4;

/// Bytes that are not a value of the expected type.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// Nothing was given.
    #[error("empty message")]
    Empty,
    /// Written by a version that this one does not read.
    #[error("unknown encoding version {0}")]
    UnknownVersion(u8),
    /// The bytes do not form a value of the expected type, or others follow it.
    #[error("malformed message")]
    Malformed,
    /// A frame announces more bytes than [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes is over the limit")]
    TooLarge(usize),
}

/// Encodes a value behind its version byte.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let buffer = vec![VERSION];
    postcard::to_extend(value, buffer).expect("plain data always encodes")
}

/// Decodes a value written by [`encode`].
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

/// Encodes a value as a frame: its length as four little-endian bytes, then the value.
pub fn frame<T: Serialize>(value: &T) -> Bytes {
    let body = encode(value);
    let length = u32::try_from(body.len()).expect("frame length fits four bytes");
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(&body);
    frame.freeze()
}

/// Takes the first whole frame off `buffer`; `None` while it is incomplete.
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
