//! The append-only log service: `POST` and `GET /v1/streams/{name}/records`.
//!
//! An append's body is the record's bytes, unencoded. There is no conditional append and no
//! trimming. An append that was not answered may still have taken effect.

use elderworks_types::Offset;
use serde::{Deserialize, Serialize};

/// Most bytes of one record.
pub const MAX_RECORD_BYTES: usize = crate::MAX_BODY_BYTES;

/// Longest time for which a read may wait for records, in milliseconds.
pub const MAX_WAIT_MS: u64 = 30_000;

/// Most bytes of records in one answer, unless the first record alone is larger.
pub const MAX_READ_BYTES: usize = 4 << 20;

/// Answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Where the record is; offsets start at 0 and are dense in each stream.
    pub offset: Offset,
}

/// Query of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadQuery {
    /// First offset wanted.
    #[serde(default)]
    pub from: Offset,
    /// Most bytes of records wanted; at least one record is given where there is one.
    #[serde(default = "default_max_bytes")]
    pub max_bytes: usize,
    /// How long to wait for a record where there is none yet, in milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
}

fn default_max_bytes() -> usize {
    crate::MAX_BODY_BYTES
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its place in the stream.
    pub offset: Offset,
    /// Its bytes; base64 in JSON.
    #[serde(with = "base64_bytes")]
    pub data: Vec<u8>,
}

/// Answer to a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadResponse {
    /// Records in order of offset, without gaps.
    pub records: Vec<LogRecord>,
    /// The offset that the stream's next record will have.
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
