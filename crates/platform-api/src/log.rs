//! The append-only log service: `POST` and `GET /v1/streams/{name}/records`.
//!
//! The body of an append is the record's raw bytes. The log supports neither conditional appends nor
//! trimming. An append without a response may still have taken effect.

use elderworks_types::Offset;
use serde::{Deserialize, Serialize};

/// Maximum size of a record, in bytes.
pub const MAX_RECORD_BYTES: usize = crate::MAX_BODY_BYTES;

/// Maximum time for which a read may wait for records, in milliseconds.
pub const MAX_WAIT_MS: u64 = 30_000;

/// Maximum size of the records in one response, in bytes, unless the first record alone is larger.
pub const MAX_READ_BYTES: usize = 4 << 20;

/// Response to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Offset of the record. The offsets of a stream start at 0 and have no gaps.
    pub offset: Offset,
}

/// Query parameters of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadQuery {
    /// First requested offset.
    #[serde(default)]
    pub from: Offset,
    /// Maximum size of the returned records, in bytes. If a record exists, at least one is returned.
    #[serde(default = "default_max_bytes")]
    pub max_bytes: usize,
    /// Time to wait if there is no record yet, in milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
}

fn default_max_bytes() -> usize {
    crate::MAX_BODY_BYTES
}

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// Content of the record, encoded as base64 in JSON.
    #[serde(with = "base64_bytes")]
    pub data: Vec<u8>,
}

/// Response to a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadResponse {
    /// Records in offset order, without gaps.
    pub records: Vec<LogRecord>,
    /// Offset of the stream's next record.
    pub end: Offset,
}

mod base64_bytes {
    use base64::Engine;
    use base64::engine::general_purpose::STANDARD;
    use serde::{Deserialize, Deserializer, Serializer, de};

    pub fn serialize<S: Serializer>(data: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(data))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map_err(de::Error::custom)
    }
}
