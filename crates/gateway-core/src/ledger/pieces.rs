//! Records that are too large for the log, divided into pieces that it takes.
//!
//! A kept turn of many bytes becomes a chain of turns: the last bears its name, the others names of
//! their own, so that the conversation reads the same.

use bytes::Bytes;
use elderworks_protocol::ledger::{KeptTurn, LedgerRecord};

/// Most bytes of content in one record. Platforms take records of 256 KB at least; the rest is for
/// names and encoding.
pub const MAX_CONTENT_BYTES: usize = 192 * 1024;

/// Most bytes in one append; a platform takes 2 MB at least. A single request may bring more.
pub const MAX_APPEND_BYTES: usize = 1024 * 1024;

/// Bytes that a record takes beside its content, roughly.
const RECORD_OVERHEAD: usize = 128;

/// Bytes that a record takes, roughly.
pub fn approximate_bytes(record: &LedgerRecord) -> usize {
    let content = match record {
        LedgerRecord::Kept { content, .. } => content.input.len() + content.output.len(),
        LedgerRecord::Account { open, .. } => open.len() * RECORD_OVERHEAD,
        LedgerRecord::Overdraft { witnesses, .. } => witnesses.len() * RECORD_OVERHEAD,
        LedgerRecord::Reserved { .. }
        | LedgerRecord::Settled { .. }
        | LedgerRecord::OverdraftClosed { .. }
        | LedgerRecord::OverdraftTerms { .. }
        | LedgerRecord::OverdraftSuperseded { .. } => 0,
    };
    content + RECORD_OVERHEAD
}

/// The records that keep a turn, in the order in which they are to be appended.
pub fn kept_records(turn: &str, content: KeptTurn) -> Vec<LedgerRecord> {
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
        let content = KeptTurn {
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
