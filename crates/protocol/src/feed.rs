//! What nodes that read the log's streams tell the other nodes of their zone.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use elderworks_types::{NodeId, Offset};
use serde::{Deserialize, Serialize};

use crate::gateway::ZoneReport;

/// A reader's heartbeat: how far it has read and how lately. Whoever is behind asks
/// for the rest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedHeartbeat {
    /// The reader.
    pub node: NodeId,
    /// Names its start: numbers of an earlier one mean nothing any more.
    pub boot: u64,
    /// Whether the log answers its reads.
    pub reads: bool,
    /// Time since its last reads were sent that showed all there was, in microseconds.
    pub age_us: u64,
    /// Version of its configuration.
    pub config_version: u64,
    /// Where the nodes' entries end that it knows.
    pub nodes_end: Offset,
    /// How many workers there are in all.
    pub worker_count: u32,
    /// Number of its state of the workers that its zone uses.
    pub workers_revision: u64,
    /// Zones that get no work, and those that do again.
    pub zones: Vec<ZoneReport>,
}

/// What a listener asks a reader for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedRequest {
    /// The configuration in force.
    Configuration,
    /// The nodes' entries from an offset on.
    Nodes {
        /// The first offset that is not known.
        since: Offset,
    },
    /// The workers that the zone uses.
    Workers {
        /// Number of the reader's state that is known, if one is.
        since: Option<u64>,
    },
}

/// A reader's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedResponse {
    /// The record of the configuration in force.
    Configuration(RecordCopy),
    /// Entries of nodes that have changed.
    Nodes {
        /// Where the entries end that are known with these.
        end: Offset,
        /// The newest entry of each node that has changed; empty if it was dropped.
        entries: Vec<RecordCopy>,
    },
    /// Workers that have changed.
    Workers(WorkersUpdate),
    /// The node asked has nothing to tell.
    Nothing,
}

/// A record of a stream of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordCopy {
    /// Its position.
    pub offset: Offset,
    /// Its key.
    pub key: Option<String>,
    /// Its content.
    pub value: Bytes,
}

/// Changes of the workers in use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkersUpdate {
    /// Number of the state that is known with these.
    pub revision: u64,
    /// Offset of the last record that the reader had taken.
    pub offset: Offset,
    /// Whether `used` are all workers in use, in place of what was known.
    pub is_whole: bool,
    /// Workers that are used or have changed.
    pub used: Vec<WorkerRecord>,
    /// Workers that are not used any more.
    pub dropped: Vec<String>,
}

/// A worker's own entry in the directory of workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Names the worker. One that starts again may keep it: see [`Self::born`].
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    pub draining: bool,
    /// How much longer it is cold, counted from when the entry was written.
    pub cold_left: Duration,
    /// Names the start of the worker together with the id; larger in later ones. 0 where workers do
    /// not tell.
    pub born: u64,
}

impl WorkerRecord {
    /// Whether two entries say the same of a worker, but for how long it stays cold.
    pub fn eq_ignoring_cold_left(&self, other: &Self) -> bool {
        let mut other = other.clone();
        other.cold_left = self.cold_left;
        *self == other
    }
}
