//! Snapshots: encoding the state into records, and loading it from them.

use std::collections::BTreeMap;

use elderworks_protocol::journal::JournalBody;
use elderworks_protocol::record::{Record, Writer};
use elderworks_protocol::{decode, encode};
use elderworks_types::{Epoch, Offset, Sequence};

use super::JournalState;

/// Epoch of the first claim of a stream.
const FIRST_EPOCH: Epoch = Epoch(1);

/// Maximum number of bytes of state per snapshot record.
const MAX_PART_BYTES: usize = 256 * 1024;

impl JournalState {
    /// Encodes the state, with a version.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }
}

/// Splits a state into the records of one snapshot.
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

/// Progress of loading a reader's initial state.
#[derive(Debug)]
pub(crate) enum Loader {
    /// No claim or snapshot has been read yet.
    Empty,
    /// The first part of a snapshot was read; further parts are missing.
    PartialSnapshot(PartialSnapshot),
    /// The state is complete.
    Done,
    /// The snapshot is incomplete or can't be decoded; the reader has to start from an earlier one.
    Failed,
}

/// A snapshot with some parts still missing.
#[derive(Debug)]
pub(crate) struct PartialSnapshot {
    writer: Writer,
    epoch: Epoch,
    parts: u32,
    last_sequence: Sequence,
    collected: BTreeMap<u32, Vec<u8>>,
    /// Records read between the parts, to be applied after the snapshot.
    interleaved: Vec<(Offset, Record<JournalBody>)>,
}

/// What to do after a record was passed to [`Loader::take`].
pub(crate) enum LoadStep {
    /// Apply the record: the state was already complete.
    Apply,
    /// Apply nothing: the state is still incomplete.
    Wait,
    /// Replace the state by this one, then apply these records.
    Loaded(Box<JournalState>, Vec<(Offset, Record<JournalBody>)>),
}

impl Loader {
    /// Processes the next record of the stream.
    pub fn take(&mut self, offset: Offset, record: &Record<JournalBody>) -> LoadStep {
        match self {
            Loader::Done => LoadStep::Apply,
            Loader::Failed => LoadStep::Wait,
            Loader::Empty => self.start_loading(record),
            Loader::PartialSnapshot(_) => self.collect_part(offset, record),
        }
    }

    /// Starts from the stream's first claim or from the first part of a snapshot. Earlier records
    /// of the same batch are skipped.
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
