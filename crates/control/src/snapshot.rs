//! The state as bytes, and the records that carry it in parts.

use elderworks_protocol::record::Writer;
use elderworks_protocol::{DecodeError, decode, encode};
use elderworks_types::Offset;
use elderworks_types::resource::Resource;
use serde::{Deserialize, Serialize};

use crate::control::{Control, Position};
use crate::resources::Resources;
use crate::writers::Writers;
use crate::{ControlBody, Effect};

/// Bytes of state in one record.
pub const SNAPSHOT_PART_BYTES: usize = 128 * 1024;

/// Everything that replay of the stream has built.
#[derive(Serialize, Deserialize)]
struct State {
    /// The last record applied; `None` before the first.
    applied: Option<Position>,
    writers: Writers,
    resources: Vec<Resource>,
}

/// When this node last saw, or began, a snapshot.
#[derive(Debug, Default)]
pub(crate) struct SnapshotProgress {
    /// What the latest whole snapshot covers.
    latest: Offset,
    /// What the snapshot being written by this node covers.
    in_flight: Option<Offset>,
}

impl SnapshotProgress {
    /// Just after loading a snapshot that covers everything up to `covers`.
    pub(crate) fn loaded(covers: Offset) -> Self {
        Self {
            latest: covers,
            in_flight: None,
        }
    }

    /// Whether `interval` records have passed since the latest snapshot and none is being written.
    pub(crate) fn is_due(&self, next: Offset, interval: u32) -> bool {
        let passed = next.0.saturating_sub(self.latest.0);
        self.in_flight.is_none() && passed >= u64::from(interval)
    }

    /// This node begins to write a snapshot.
    pub(crate) fn begin(&mut self, covers: Offset) {
        self.in_flight = Some(covers);
    }

    /// The last part of some node's snapshot was read.
    pub(crate) fn completed(&mut self, covers: Offset) {
        self.latest = self.latest.max(covers);
        if self.in_flight.is_some_and(|own| own <= covers) {
            self.in_flight = None;
        }
    }
}

impl Control {
    /// The state in the form that [`Control::from_state`] reads.
    pub fn encode_state(&self) -> Vec<u8> {
        let resources = self.resources().all().cloned().collect();
        encode(&State {
            applied: self.applied(),
            writers: self.writers().clone(),
            resources,
        })
    }

    /// A reader that goes on from an encoded state. It has to be fed from [`Control::revision`] on:
    /// that record may have been applied in part, and what was is ignored.
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

    /// The records of a snapshot of the present state.
    pub(crate) fn snapshot_records(&self) -> Vec<Effect> {
        let covers = self.revision();
        let state = self.encode_state();
        let pieces = state.chunks(SNAPSHOT_PART_BYTES);
        let parts = u32::try_from(pieces.len()).expect("a state has far fewer parts than 2^32");
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
