//! Messages by which the nodes that read the log's streams (readers) relay their content to the other
//! nodes of their zone, so that few nodes have to read the log.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use elderworks_types::{NodeId, Offset};
use serde::{Deserialize, Serialize};

use crate::gateway::ZoneReport;

/// A reader's heartbeat: its position in each stream. A node that is behind requests what it is
/// missing with a [`FeedRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedHeartbeat {
    /// The reader.
    pub node: NodeId,
    /// Identifies the reader's process start; `workers_revision` is only comparable within one start.
    pub boot: u64,
    /// Whether the reader's reads of the log succeed.
    pub reads: bool,
    /// Age of the reader's state: time since it sent the last reads that reached the end of the
    /// streams, in microseconds.
    pub age_us: u64,
    /// Version of the reader's configuration.
    pub config_version: u64,
    /// End offset of the node entries that the reader has read.
    pub nodes_end: Offset,
    /// Total number of workers.
    pub worker_count: u32,
    /// Revision of the reader's set of workers used by its zone.
    pub workers_revision: u64,
    /// Evacuation state of zones.
    pub zones: Vec<ZoneReport>,
}

/// A request from a node that does not read the log to a reader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedRequest {
    /// Requests the current configuration.
    Configuration,
    /// Requests the node entries that changed at or after an offset.
    Nodes {
        /// The first offset unknown to the requesting node.
        since: Offset,
    },
    /// Requests the workers used by the zone.
    Workers {
        /// Revision of the reader's set that the requesting node has, if any; the response then
        /// contains only the changes since.
        since: Option<u64>,
    },
}

/// A reader's response to a [`FeedRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedResponse {
    /// The record of the current configuration.
    Configuration(RecordCopy),
    /// The node entries that have changed.
    Nodes {
        /// End offset of the entries known after applying these.
        end: Offset,
        /// The latest entry of each changed node; an empty value if the entry was removed.
        entries: Vec<RecordCopy>,
    },
    /// The changed workers.
    Workers(WorkersUpdate),
    /// The reader does not have the requested content, for example because it has not read the stream
    /// yet.
    Nothing,
}

/// A copy of a record of one of the log's streams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordCopy {
    /// The record's offset.
    pub offset: Offset,
    /// The record's key.
    pub key: Option<String>,
    /// The record's value.
    pub value: Bytes,
}

/// A full or incremental update of the workers used by a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkersUpdate {
    /// Revision reached after applying the update.
    pub revision: u64,
    /// Offset of the last record that the reader had processed.
    pub offset: Offset,
    /// Whether `used` is the complete set and replaces the previous one.
    pub is_whole: bool,
    /// Workers that were added or changed; all of them if `is_whole`.
    pub used: Vec<WorkerRecord>,
    /// Ids of the workers that are no longer used.
    pub dropped: Vec<String>,
}

/// A worker's entry in the worker directory, as written by the worker itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// The worker's id. A restarted worker may keep it; [`Self::born`] distinguishes the starts.
    pub id: String,
    /// The service to which the worker belongs.
    pub service: String,
    /// Address on which the worker accepts requests.
    pub address: SocketAddr,
    /// The worker's zone.
    pub zone: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the worker is draining and accepts no new requests.
    pub draining: bool,
    /// Remaining warm-up time at the moment the entry was written.
    pub cold_left: Duration,
    /// Distinguishes starts of the worker under the same id; larger for later starts. 0 if the worker
    /// does not report it.
    pub born: u64,
    /// Version of the worker's software; `None` if unknown. Nodes of the previous version can't decode
    /// further fields, so it isn't part of the encoding: readers send it in a message of its own.
    #[serde(skip)]
    pub software: Option<String>,
}

impl WorkerRecord {
    /// Returns whether two entries are equal, ignoring [`Self::cold_left`].
    pub fn eq_ignoring_cold_left(&self, other: &Self) -> bool {
        let mut other = other.clone();
        other.cold_left = self.cold_left;
        *self == other
    }
}
