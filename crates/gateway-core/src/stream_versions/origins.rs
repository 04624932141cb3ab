//! The software versions that began streams: those of this node's own streams, and those that other
//! nodes have reported.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use elderworks_types::{NodeId, Timestamp};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{SoftwareVersion, StreamKey};

/// Maximum number of streams that are remembered; the oldest are forgotten first. A caller that
/// resumes a forgotten stream is refused if several versions were in use.
const MAX_STREAMS: usize = 32_768;

/// Number of nodes to which a stream's origin is reported. Most of a fleet may lose power at the
/// same time.
pub const COPIES: usize = 3;

/// Number of nodes that are asked for a stream's origin. More than [`COPIES`], since the node that
/// began the stream may have known fewer nodes.
pub const ASKED_NODES: usize = 6;

#[derive(Clone, Copy, Debug)]
struct Origin {
    version: SoftwareVersion,
    noted: Timestamp,
    /// Whether other nodes hold a copy, or have it from this node's report.
    is_reported: bool,
}

/// Streams and the versions that began them.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    streams: HashMap<StreamKey, Origin>,
    /// Streams in the order in which they were noted.
    order: VecDeque<(Timestamp, StreamKey)>,
    /// Own streams that have to be reported.
    unreported: Vec<StreamKey>,
}

impl StreamOrigins {
    /// Records that a worker of `version` sent the first event of a stream. The first record of a
    /// stream stands. Returns whether the stream has to be reported, which
    /// [`Self::take_unreported`] then returns.
    pub fn note_begun(
        &mut self,
        now: Timestamp,
        stream: StreamKey,
        version: SoftwareVersion,
        needs_report: bool,
    ) -> bool {
        let is_first = self.insert(now, stream, version, false);
        let is_due = is_first && needs_report;
        if is_due {
            self.unreported.push(stream);
        }
        is_due
    }

    /// Records what another node reported or answered.
    pub fn note_told(&mut self, now: Timestamp, stream: StreamKey, version: SoftwareVersion) {
        self.insert(now, stream, version, true);
    }

    /// Marks all own streams as due for a report, since a second version has appeared while they may
    /// still be resumed. Returns whether there are any.
    pub fn report_all(&mut self) -> bool {
        let is_unreported = |stream: &StreamKey| {
            let origin = self.streams.get(stream);
            origin.is_some_and(|origin| !origin.is_reported)
        };
        let streams = self.order.iter().map(|(_, stream)| *stream);
        self.unreported = streams.filter(is_unreported).collect();
        !self.unreported.is_empty()
    }

    /// Returns the streams to report with their versions; they count as reported from then on.
    pub fn take_unreported(&mut self) -> Vec<(StreamKey, SoftwareVersion)> {
        let due = std::mem::take(&mut self.unreported);
        let reported = due.into_iter().filter_map(|stream| {
            let origin = self.streams.get_mut(&stream)?;
            origin.is_reported = true;
            Some((stream, origin.version))
        });
        reported.collect()
    }

    /// Returns the version that began a stream, and how long it has been known here.
    pub fn get(&self, now: Timestamp, stream: StreamKey) -> Option<(SoftwareVersion, Duration)> {
        let origin = self.streams.get(&stream)?;
        Some((origin.version, now.since(origin.noted)))
    }

    /// Forgets streams that were noted longer than `lifetime` ago.
    pub fn drop_old(&mut self, now: Timestamp, lifetime: Duration) {
        while let Some((noted, stream)) = self.order.front().copied() {
            if now.since(noted) <= lifetime {
                break;
            }
            self.order.pop_front();
            self.streams.remove(&stream);
        }
    }

    /// Returns the number of remembered streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn insert(
        &mut self,
        now: Timestamp,
        stream: StreamKey,
        version: SoftwareVersion,
        is_reported: bool,
    ) -> bool {
        if self.streams.contains_key(&stream) {
            return false;
        }
        let origin = Origin {
            version,
            noted: now,
            is_reported,
        };
        self.streams.insert(stream, origin);
        self.order.push_back((now, stream));
        while self.order.len() > MAX_STREAMS {
            if let Some((_, oldest)) = self.order.pop_front() {
                self.streams.remove(&oldest);
            }
        }
        true
    }
}

/// Returns the nodes that should hold copies of a stream's origin, in order of preference (rendezvous
/// hashing), at most `max` of them.
pub fn holders<'a>(
    stream: StreamKey,
    nodes: impl Iterator<Item = &'a NodeId>,
    max: usize,
) -> Vec<&'a NodeId> {
    let rank = |node: &NodeId| xxh3_64_with_seed(node.as_str().as_bytes(), stream.0);
    let mut ranked: Vec<(u64, &NodeId)> = nodes.map(|node| (rank(node), node)).collect();
    ranked.sort_unstable_by(|one, other| other.cmp(one));
    ranked.into_iter().take(max).map(|(_, node)| node).collect()
}
