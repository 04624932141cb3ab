//! Ordered reading and grouped appending on one stream of the platform's log, without I/O.
//!
//! The log provides few guarantees: an append returns the record's offset, or fails although it may have
//! taken effect; a read returns the records from an offset on. [`LogStream`] is a state machine that
//! builds on this and provides:
//!
//! - **Order**: all records of the stream are delivered in offset order. Retries may store a record
//!   several times. Each copy is delivered; the state machines that replay the stream drop duplicates
//!   by writer and sequence, so that all readers agree.
//! - **Retry**: at most one append is in flight. If it fails, the same bytes are appended again until
//!   they are read back, so a lost reply neither reorders nor loses records.
//! - **Grouping**: records proposed while an append is in flight are combined into the next append, so
//!   the number of appends does not grow with the number of records.
//! - **Confirmation**: an append that returns the next offset to be read is delivered immediately,
//!   without another read.

mod appender;
mod reader;
mod stream;

pub use stream::{Effect, Event, LogStream, NoAnswer, ReadMode, ReadRecords, StreamSettings};
