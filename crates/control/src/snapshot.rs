//! Encoding of the control state and its snapshots on the control stream.

use elderworks_protocol::record::Writer;
use elderworks_protocol::{DecodeError, decode, encode};
use elderworks_types::Offset;
use elderworks_types::resource::Resource;
use serde::{Deserialize, Serialize};

use crate::control::{Control, Position};
use crate::resources::Resources;
use crate::writers::Writers;
use crate::{ControlBody, Effect};

/// Maximum number of bytes of the encoded state per snapshot record.
pub const SNAPSHOT_PART_BYTES: usize = 128 * 1024;

/// Encoded form of the control state.
#[derive(Serialize, Deserialize)]
struct State {
    /// Position of the last applied record, or `None` before the first.
    applied: Option<Position>,
    writers: Writers,
    resources: Vec<Resource>,
}

/// Progress of the snapshots on the control stream.
#[derive(Debug, Default)]
pub(crate) struct SnapshotProgress {
    /// Offset covered by the latest complete snapshot.
    latest: Offset,
    /// Offset covered by the snapshot that this node is writing.
    in_flight: Option<Offset>,
}

impl SnapshotProgress {
    /// Returns the progress after a snapshot covering offset `covers` was loaded.
    pub(crate) fn loaded(covers: Offset) -> Self {
        Self {
            latest: covers,
            in_flight: None,
        }
    }

    /// Returns whether the latest snapshot is at least `interval` offsets behind `next` and this node
    /// is not writing one.
    pub(crate) fn is_due(&self, next: Offset, interval: u32) -> bool {
        let passed = next.0.saturating_sub(self.latest.0);
        self.in_flight.is_none() && passed >= u64::from(interval)
    }

    /// Records that this node starts to write a snapshot.
    pub(crate) fn start(&mut self, covers: Offset) {
        self.in_flight = Some(covers);
    }

    /// Records that the last part of a snapshot by any node was read.
    pub(crate) fn completed(&mut self, covers: Offset) {
        self.latest = self.latest.max(covers);
        if self.in_flight.is_some_and(|own| own <= covers) {
            self.in_flight = None;
        }
    }
}

impl Control {
    /// Encodes the state for [`Control::from_state`].
    pub fn encode_state(&self) -> Vec<u8> {
        let resources = self.resources().all().cloned().collect();
        encode(&State {
            applied: self.applied(),
            writers: self.writers().clone(),
            resources,
        })
    }

    /// Decodes a state. Replay must resume at [`Control::revision`], since the batch at that offset may
    /// have been applied only in part. Records that have already been applied are ignored.
    ///
    /// # Errors
    ///
    /// Returns an error if `bytes` is not an encoded state.
    pub fn from_state(writer: Writer, bytes: &[u8]) -> Result<Self, DecodeError> {
        let state: State = decode(bytes)?;
        let mut resources = Resources::default();
        for resource in state.resources {
            resources.insert(resource);
        }
        Ok(Self::restored(
            writer,
            state.applied,
            resources,
            state.writers,
        ))
    }

    /// Returns the records of a snapshot of the current state.
    pub(crate) fn snapshot_records(&self) -> Vec<Effect> {
        let covers = self.revision();
        let state = self.encode_state();
        let pieces = state.chunks(SNAPSHOT_PART_BYTES);
        let parts = u32::try_from(pieces.len()).expect("the number of parts fits into 32 bits");
        let records = pieces.zip(0..).map(|(piece, part)| {
            Effect::Append(ControlBody::Snapshot {
                covers,
                part,
                parts,
                bytes: piece.to_vec(),
            })
        });
        records.collect()
    }
}
