//! Snapshots: the state as records, and a reader that starts from them.

use std::collections::BTreeMap;

use elderworks_protocol::journal::JournalBody;
use elderworks_protocol::record::{Record, Writer};
use elderworks_protocol::{decode, encode};
use elderworks_types::{Epoch, Offset, Sequence};

use super::JournalState;

/// Epoch of a stream's first claim.
const FIRST_EPOCH: Epoch = Epoch(1);

/// Bytes of state in one record.
const MAX_PART_BYTES: usize = 256 * 1024;

impl JournalState {
    /// The state as versioned bytes.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }
}

/// Cuts a state into the records of one snapshot.
pub(crate) fn snapshot_records(state: &JournalState) -> Vec<JournalBody> {
    let bytes = state.encode();
    let pieces: Vec<&[u8]> = bytes.chunks(MAX_PART_BYTES).collect();
    let parts = pieces.len() as u32;
    (0..parts)
        .zip(pieces)
        .map(|(part, piece)| JournalBody::Snapshot {
            part,
            parts,
            bytes: piece.to_vec(),
        })
        .collect()
}

/// How a reader comes by its first state.
#[derive(Debug)]
pub(crate) enum Loader {
    /// Nothing was read yet.
    Empty,
    /// The first record was a snapshot's first part; the other parts are being gathered.
    PartialSnapshot(PartialSnapshot),
    /// The state is whole.
    Done,
    /// The snapshot broke off or cannot be read: start from an earlier one.
    Failed,
}

/// A snapshot of which some parts are still missing.
#[derive(Debug)]
pub(crate) struct PartialSnapshot {
    writer: Writer,
    epoch: Epoch,
    parts: u32,
    last_sequence: Sequence,
    collected: BTreeMap<u32, Vec<u8>>,
    /// Other records met between the parts, to be applied after them.
    interleaved: Vec<(Offset, Record<JournalBody>)>,
}

/// What a record did to a reader that is still loading.
pub(crate) enum LoadStep {
    /// The state is whole already: apply the record.
    Apply,
    /// The record was taken in; there is nothing to apply yet.
    Wait,
    /// The state is whole now; these records follow it.
    Loaded(Box<JournalState>, Vec<(Offset, Record<JournalBody>)>),
}

impl Loader {
    /// Shows a record to the loader.
    pub fn take(&mut self, offset: Offset, record: &Record<JournalBody>) -> LoadStep {
        match self {
            Loader::Done => LoadStep::Apply,
            Loader::Failed => LoadStep::Wait,
            Loader::Empty => self.start_loading(record),
            Loader::PartialSnapshot(_) => self.collect_part(offset, record),
        }
    }

    /// Before a stream's first claim nothing counts, so a first state is either that claim's or a
    /// snapshot's; what a batch holds in front of either is passed over.
    fn start_loading(&mut self, record: &Record<JournalBody>) -> LoadStep {
        match &record.body {
            JournalBody::Claim { .. } if record.epoch == FIRST_EPOCH => {
                *self = Loader::Done;
                LoadStep::Apply
            }
            JournalBody::Snapshot {
                part: 0,
                parts,
                bytes,
            } => {
                *self = Loader::PartialSnapshot(PartialSnapshot {
                    writer: record.writer.clone(),
                    epoch: record.epoch,
                    parts: *parts,
                    last_sequence: record.sequence,
                    collected: BTreeMap::from([(0, bytes.clone())]),
                    interleaved: Vec::new(),
                });
                self.finish()
            }
            _ => LoadStep::Wait,
        }
    }

    fn collect_part(&mut self, offset: Offset, record: &Record<JournalBody>) -> LoadStep {
        let Loader::PartialSnapshot(partial) = self else {
            return LoadStep::Wait;
        };
        let is_same_snapshot = record.writer == partial.writer && record.epoch == partial.epoch;
        match &record.body {
            JournalBody::Snapshot { part, bytes, .. } if is_same_snapshot => {
                partial.collected.entry(*part).or_insert(bytes.clone());
                partial.last_sequence = partial.last_sequence.max(record.sequence);
            }
            JournalBody::Claim { .. } if record.epoch == partial.epoch.next() => {
                *self = Loader::Failed;
                return LoadStep::Wait;
            }
            _ => partial.interleaved.push((offset, record.clone())),
        }
        self.finish()
    }

    fn finish(&mut self) -> LoadStep {
        let Loader::PartialSnapshot(partial) = self else {
            return LoadStep::Wait;
        };
        if partial.collected.len() < partial.parts as usize {
            return LoadStep::Wait;
        }
        let bytes: Vec<u8> = partial.collected.values().flatten().copied().collect();
        let interleaved = std::mem::take(&mut partial.interleaved);
        let last_sequence = partial.last_sequence;
        match decode::<JournalState>(&bytes) {
            Ok(mut state) => {
                state.ownership.last_sequence = last_sequence;
                *self = Loader::Done;
                LoadStep::Loaded(Box::new(state), interleaved)
            }
            Err(_) => {
                *self = Loader::Failed;
                LoadStep::Wait
            }
        }
    }
}
