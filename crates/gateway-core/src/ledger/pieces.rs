//! Splits records that exceed the maximum record size of the log.
//!
//! A stored turn that is too large becomes a chain of turns. The last one has the name of the turn
//! and the others have derived names, so that the conversation reads the same.

use bytes::Bytes;
use elderworks_protocol::ledger::{LedgerRecord, StoredTurn};

/// Maximum content of one record, in bytes. Platforms accept records of at least 256 KB; the rest
/// is reserved for names and encoding.
pub const MAX_CONTENT_BYTES: usize = 192 * 1024;

/// Size limit of one append, in bytes; platforms accept at least 2 MB. A single request may exceed
/// it.
pub const MAX_APPEND_BYTES: usize = 1024 * 1024;

/// Approximate size of a record without its content, in bytes.
const RECORD_OVERHEAD: usize = 128;

/// Returns the approximate encoded size of a record, in bytes.
pub fn approximate_bytes(record: &LedgerRecord) -> usize {
    let content = match record {
        LedgerRecord::Kept { content, .. } => content.input.len() + content.output.len(),
        LedgerRecord::Account { open, .. } => open.len() * RECORD_OVERHEAD,
        LedgerRecord::Overdraft { witnesses, .. } => witnesses.len() * RECORD_OVERHEAD,
        LedgerRecord::Reserved { .. }
        | LedgerRecord::Settled { .. }
        | LedgerRecord::OverdraftClosed { .. }
        | LedgerRecord::OverdraftTerms { .. }
        | LedgerRecord::OverdraftSuperseded { .. }
        | LedgerRecord::OverdraftForUnstored { .. } => 0,
    };
    content + RECORD_OVERHEAD
}

/// Returns the records that store a turn, in the order in which they must be appended.
pub fn kept_records(turn: &str, content: StoredTurn) -> Vec<LedgerRecord> {
    let whole = content.input.len() + content.output.len();
    if whole <= MAX_CONTENT_BYTES {
        let turn = turn.to_owned();
        return vec![LedgerRecord::Kept { turn, content }];
    }
    let mut pieces = split(&content.input);
    pieces.extend(split(&content.output));
    let last = pieces.len() - 1;
    let mut previous = content.previous;
    let mut records = Vec::with_capacity(pieces.len());
    for (number, input) in pieces.into_iter().enumerate() {
        let name = if number == last {
            turn.to_owned()
        } else {
            format!("{turn}/piece-{number}")
        };
        let content = StoredTurn {
            previous: previous.replace(name.clone()),
            input,
            output: Bytes::new(),
        };
        records.push(LedgerRecord::Kept {
            turn: name,
            content,
        });
    }
    records
}

fn split(whole: &Bytes) -> Vec<Bytes> {
    let mut rest = whole.clone();
    let mut pieces = Vec::new();
    while !rest.is_empty() {
        let length = rest.len().min(MAX_CONTENT_BYTES);
        pieces.push(rest.split_to(length));
    }
    pieces
}
