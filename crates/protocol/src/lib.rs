//! Messages exchanged between elderworks processes and records stored on the platform's log.
//!
//! Values are encoded with `postcard` behind a version byte (see [`envelope`]). `postcard` encodes
//! enum variants and struct fields by position, so their order is part of the format. Decoding never
//! panics: malformed input returns a [`DecodeError`].

pub mod envelope;
pub mod feed;
pub mod gateway;
pub mod gossip;
pub mod journal;
pub mod ledger;
pub mod peer;
pub mod record;
pub mod sidecar;

pub use envelope::{DecodeError, MAX_FRAME_BYTES, decode, encode, frame, split_frame};
pub use record::{Record, RecordBatch, StreamName, Writer};
