//! Ordered reading and grouped appending on one stream of the platform's log, without I/O.
//!
//! The log is assumed to do little: an append gets an offset, or no answer although it took effect;
//! a read returns records from an offset on. [`LogStream`] turns this into:
//!
//! - **Order**: every record is delivered once per time it stands on the stream, in offset order.
//!   Repeats that retries leave behind are delivered too; the state machines that replay the stream
//!   drop them by writer and sequence, alike on every reader.
//! - **Retry**: at most one append is in flight. After no answer, the very same bytes are appended
//!   again until they are read back, so a lost answer never reorders or loses a record.
//! - **Grouping**: records that become ready while an append is in flight share the next one, so
//!   the number of appends does not grow with the number of calls.
//! - **Confirmation**: an append that was given exactly the next offset to be read is the next
//!   record on the stream, so it is delivered without another read.

mod appender;
mod reader;
mod stream;

pub use stream::{Effect, Event, LogStream, NoAnswer, ReadMode, ReadRecords, StreamSettings};
