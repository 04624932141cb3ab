//! Messages between elderworks processes and records on the platform's log.
//!
//! Everything is encoded by `postcard` inside a versioned [`envelope`]. Decoders accept arbitrary
//! bytes and answer malformed ones with a typed error.

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
