//! How a change of configuration reaches every hollow node: one reader of each cell takes it from the
//! log, the others from peers that are ahead.

use std::net::SocketAddr;
use std::time::Duration;

use elderworks_membership::{ControlSource, Event};
use elderworks_protocol::frame;
use elderworks_protocol::peer::{FromNode, PeerMessage, ToNode};
use elderworks_types::Offset;

use super::traffic::{Cause, TCP_HEADER_BYTES};
use super::{Arrival, HollowFleet};

/// Time between an append and its arrival at a reader that waits for it.
const LOG_DELAY: Duration = Duration::from_millis(20);

/// Encoded size of one change of configuration on the log, in bytes: a service resource with a dozen
/// fields, its writer and sequence.
pub const CONTROL_RECORD_BYTES: usize = 500;

/// Most control records handed over in one answer of a peer.
const MAX_CONTROL_RECORDS: u64 = 64;

impl HollowFleet {
    /// Appends one change of configuration to the log.
    pub fn append_control_record(&mut self) {
        self.appended.push(self.now);
        let until = self.appended.len() as u64;
        for node in 0..self.nodes.len() {
            let reads = self.nodes[node].as_ref().is_some_and(|hollow| {
                hollow.membership.control_source(self.now) == ControlSource::Log
            });
            if reads {
                self.schedule(self.now + LOG_DELAY, node, Arrival::LogRecords { until });
            }
        }
    }

    /// A fetch from a peer goes over TCP: loss only delays it, a cut stops it.
    pub(super) fn fetch(&mut self, by: usize, address: SocketAddr) {
        let Some(target) = self.layout.node_at(address) else {
            return;
        };
        let Some(hollow) = &mut self.nodes[by] else {
            return;
        };
        let from = hollow.applied;
        let message = ToNode::Peer(PeerMessage::ControlFetch { from: Offset(from) });
        let bytes = frame(&message).len() + TCP_HEADER_BYTES;
        hollow.traffic.count(Cause::Control, bytes);
        let at = self.arrival_time(by, target);
        self.schedule(at, target, Arrival::ControlFetch { by, from });
    }

    pub(super) fn answer_fetch(&mut self, node: usize, by: usize, from: u64) {
        let Some(hollow) = &mut self.nodes[node] else {
            return;
        };
        let until = hollow.applied.min(from + MAX_CONTROL_RECORDS);
        let bytes = records_bytes(from, until);
        hollow.traffic.count(Cause::Control, bytes);
        if let Some(asker) = &mut self.nodes[by] {
            asker.traffic.count(Cause::Control, bytes);
        }
        if until > from {
            let at = self.arrival_time(node, by);
            self.schedule(at, by, Arrival::ControlRecords { until });
        }
    }

    pub(super) fn apply(&mut self, node: usize, until: u64) {
        let Some(hollow) = &mut self.nodes[node] else {
            return;
        };
        if until <= hollow.applied {
            return;
        }
        for revision in hollow.applied..until {
            let applied = self.in_force.entry(revision).or_insert((0, self.now));
            *applied = (applied.0 + 1, self.now);
        }
        hollow.applied = until;
        let next = Offset(until);
        self.handle(node, Event::ControlApplied { next });
    }

    pub(super) fn read_from_log(&mut self, node: usize, until: u64) {
        let Some(hollow) = &mut self.nodes[node] else {
            return;
        };
        if until <= hollow.log_seen {
            return;
        }
        let records = until - hollow.log_seen.max(hollow.applied.min(until));
        let bytes = records as usize * CONTROL_RECORD_BYTES + TCP_HEADER_BYTES;
        hollow.log_seen = until;
        hollow.traffic.count(Cause::ControlLog, bytes);
        self.log_reads += 1;
        self.apply(node, until);
    }

    /// A node that has just become the reader, or was failed by its peers, catches up from the log.
    pub(super) fn read_log_if_behind(&mut self, node: usize) {
        let until = self.appended.len() as u64;
        let Some(hollow) = &self.nodes[node] else {
            return;
        };
        let settled = self
            .appended
            .last()
            .is_none_or(|last| self.now.since(*last) > LOG_DELAY);
        let behind = hollow.applied < until && hollow.log_seen < until && settled;
        if behind && hollow.membership.control_source(self.now) == ControlSource::Log {
            self.read_from_log(node, until);
        }
    }
}

fn records_bytes(from: u64, until: u64) -> usize {
    let records = (from..until)
        .map(|offset| (Offset(offset), vec![0; CONTROL_RECORD_BYTES]))
        .collect();
    let next = Offset(until);
    let message = FromNode::Peer(PeerMessage::ControlRecords { records, next });
    frame(&message).len() + TCP_HEADER_BYTES
}
