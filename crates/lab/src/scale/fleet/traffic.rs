//! Messages and bytes by cause.

use elderworks_protocol::encode;
use elderworks_protocol::gossip::{Datagram, DatagramKind};
use serde::Serialize;

/// Bytes of IPv4 and UDP headers in front of each datagram.
const UDP_HEADER_BYTES: usize = 28;

/// Bytes of IPv4 and TCP headers for one message, and for the segment that acknowledges it.
pub const TCP_HEADER_BYTES: usize = 80;

/// Why bytes are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Probes within the cell and their answers.
    Probe,
    /// Probes on behalf of others.
    IndirectProbe,
    /// News of members, piggybacked.
    MemberNews,
    /// Joins and their answers, full exchanges.
    Exchange,
    /// Probes of other cells and their answers.
    CellProbe,
    /// Digests of cells, piggybacked or exchanged.
    Digest,
    /// Control records fetched from peers.
    Control,
    /// Control records read from the log.
    ControlLog,
}

/// All causes, in the order of reports.
pub const CAUSES: [Cause; 8] = [
    Cause::Probe,
    Cause::IndirectProbe,
    Cause::MemberNews,
    Cause::Exchange,
    Cause::CellProbe,
    Cause::Digest,
    Cause::Control,
    Cause::ControlLog,
];

/// Counters of one node, both directions together.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Traffic {
    /// Messages by cause.
    pub messages: [u64; CAUSES.len()],
    /// Bytes by cause, headers included.
    pub bytes: [u64; CAUSES.len()],
}

impl Traffic {
    /// Counts one message.
    pub fn count(&mut self, cause: Cause, bytes: usize) {
        self.messages[cause as usize] += 1;
        self.bytes[cause as usize] += bytes as u64;
    }

    /// Counts one datagram: its news under the causes of news, the rest under its own.
    pub fn count_parts(&mut self, parts: &DatagramParts) {
        self.count(parts.cause, parts.own_bytes);
        self.bytes[Cause::MemberNews as usize] += parts.news_bytes as u64;
        self.bytes[Cause::Digest as usize] += parts.digest_bytes as u64;
    }

    /// Bytes of all causes.
    pub fn total_bytes(&self) -> u64 {
        self.bytes.iter().sum()
    }

    /// Adds another node's counters.
    pub fn add(&mut self, other: &Traffic) {
        for cause in 0..CAUSES.len() {
            self.messages[cause] += other.messages[cause];
            self.bytes[cause] += other.bytes[cause];
        }
    }
}

/// Size of a datagram by cause.
#[derive(Clone, Copy, Debug)]
pub struct DatagramParts {
    cause: Cause,
    own_bytes: usize,
    news_bytes: usize,
    digest_bytes: usize,
}

impl DatagramParts {
    /// Takes a datagram of `encoded_bytes` apart; `within_cell` tells whether it stays in one cell.
    pub fn of(datagram: &Datagram, encoded_bytes: usize, within_cell: bool) -> Self {
        let cause = cause_of(&datagram.kind, within_cell);
        let updates = list_bytes(&datagram.updates);
        let digest_bytes = list_bytes(&datagram.digests);
        let is_exchange = cause == Cause::Exchange;
        let news_bytes = if is_exchange { 0 } else { updates };
        Self {
            cause,
            own_bytes: UDP_HEADER_BYTES + encoded_bytes - news_bytes - digest_bytes,
            news_bytes,
            digest_bytes,
        }
    }
}

fn list_bytes<T: Serialize>(list: &Vec<T>) -> usize {
    if list.is_empty() {
        0
    } else {
        encode(list).len()
    }
}

fn cause_of(kind: &DatagramKind, within_cell: bool) -> Cause {
    match kind {
        DatagramKind::Join | DatagramKind::Members => Cause::Exchange,
        _ if !within_cell => Cause::CellProbe,
        DatagramKind::Ping { .. } | DatagramKind::Acknowledge { .. } => Cause::Probe,
        DatagramKind::PingRequest { .. } => Cause::IndirectProbe,
    }
}

#[cfg(test)]
mod tests;
