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
const PART_BYTES: usize = 256 * 1024;

impl JournalState {
    /// The state as versioned bytes.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }
}

/// Cuts a state into the records of one snapshot.
pub(crate) fn snapshot_records(state: &JournalState) -> Vec<JournalBody> {
    let bytes = state.encode();
    let pieces: Vec<&[u8]> = bytes.chunks(PART_BYTES).collect();
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
    Gathering(Gathering),
    /// The state is whole.
    Done,
    /// The snapshot broke off or cannot be read: start from an earlier one.
    Failed,
}

/// A snapshot of which some parts are still missing.
#[derive(Debug)]
pub(crate) struct Gathering {
    writer: Writer,
    epoch: Epoch,
    parts: u32,
    last_sequence: Sequence,
    found: BTreeMap<u32, Vec<u8>>,
    /// Other records met between the parts, to be applied after them.
    between: Vec<(Offset, Record<JournalBody>)>,
}

/// What a record did to a reader that is still loading.
pub(crate) enum Loading {
    /// The state is whole already: apply the record.
    Apply,
    /// The record was taken in; there is nothing to apply yet.
    Wait,
    /// The state is whole now; these records follow it.
    Loaded(Box<JournalState>, Vec<(Offset, Record<JournalBody>)>),
}

impl Loader {
    /// Shows a record to the loader.
    pub fn take(&mut self, offset: Offset, record: &Record<JournalBody>) -> Loading {
        match self {
            Loader::Done => Loading::Apply,
            Loader::Failed => Loading::Wait,
            Loader::Empty => self.begin(record),
            Loader::Gathering(_) => self.gather(offset, record),
        }
    }

    /// Before a stream's first claim nothing counts, so a first state is either that claim's or a
    /// snapshot's; what a batch holds in front of either is passed over.
    fn begin(&mut self, record: &Record<JournalBody>) -> Loading {
        match &record.body {
            JournalBody::Claim { .. } if record.epoch == FIRST_EPOCH => {
                *self = Loader::Done;
                Loading::Apply
            }
            JournalBody::Snapshot {
                part: 0,
                parts,
                bytes,
            } => {
                *self = Loader::Gathering(Gathering {
                    writer: record.writer.clone(),
                    epoch: record.epoch,
                    parts: *parts,
                    last_sequence: record.sequence,
                    found: BTreeMap::from([(0, bytes.clone())]),
                    between: Vec::new(),
                });
                self.finish()
            }
            _ => Loading::Wait,
        }
    }

    fn gather(&mut self, offset: Offset, record: &Record<JournalBody>) -> Loading {
        let Loader::Gathering(gathering) = self else {
            return Loading::Wait;
        };
        let same = record.writer == gathering.writer && record.epoch == gathering.epoch;
        match &record.body {
            JournalBody::Snapshot { part, bytes, .. } if same => {
                gathering.found.entry(*part).or_insert(bytes.clone());
                gathering.last_sequence = gathering.last_sequence.max(record.sequence);
            }
            JournalBody::Claim { .. } if record.epoch == gathering.epoch.next() => {
                *self = Loader::Failed;
                return Loading::Wait;
            }
            _ => gathering.between.push((offset, record.clone())),
        }
        self.finish()
    }

    fn finish(&mut self) -> Loading {
        let Loader::Gathering(gathering) = self else {
            return Loading::Wait;
        };
        if gathering.found.len() < gathering.parts as usize {
            return Loading::Wait;
        }
        let bytes: Vec<u8> = gathering.found.values().flatten().copied().collect();
        let between = std::mem::take(&mut gathering.between);
        let last_sequence = gathering.last_sequence;
        match decode::<JournalState>(&bytes) {
            Ok(mut state) => {
                state.ownership.last_sequence = last_sequence;
                *self = Loader::Done;
                Loading::Loaded(Box::new(state), between)
            }
            Err(_) => {
                *self = Loader::Failed;
                Loading::Wait
            }
        }
    }
}
