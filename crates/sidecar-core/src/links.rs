//! State of the connections to nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use elderworks_types::Timestamp;
use rand::Rng;

use crate::backoff;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    Connecting,
    Ready,
    Down { retry_at: Timestamp },
}

#[derive(Clone, Copy, Debug)]
struct Link {
    state: LinkState,
    failures: u32,
}

/// The state of the connection to each known node.
#[derive(Debug, Default)]
pub struct Links {
    links: BTreeMap<SocketAddr, Link>,
    cursor: usize,
}

/// Whether a node can be reached now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkStatus {
    /// Connected; messages can be sent.
    Ready,
    /// A connection attempt is in progress.
    Connecting,
    /// Not connected; a connection may be attempted.
    MayConnect,
    /// Not connected; waiting for the backoff after a failure to pass.
    Down,
}

impl Links {
    /// Returns the status of the connection to `address`.
    pub fn status(&self, now: Timestamp, address: SocketAddr) -> LinkStatus {
        match self.links.get(&address).map(|link| link.state) {
            None => LinkStatus::MayConnect,
            Some(LinkState::Ready) => LinkStatus::Ready,
            Some(LinkState::Connecting) => LinkStatus::Connecting,
            Some(LinkState::Down { retry_at }) if retry_at <= now => LinkStatus::MayConnect,
            Some(LinkState::Down { .. }) => LinkStatus::Down,
        }
    }

    /// Records that a connection attempt has started.
    pub fn set_connecting(&mut self, address: SocketAddr) {
        let link = self.links.entry(address).or_insert(Link {
            state: LinkState::Connecting,
            failures: 0,
        });
        link.state = LinkState::Connecting;
    }

    /// Records that a connection is ready and resets its backoff.
    pub fn set_connected(&mut self, address: SocketAddr) {
        let link = Link {
            state: LinkState::Ready,
            failures: 0,
        };
        self.links.insert(address, link);
    }

    /// Records that a connection attempt failed or a connection was lost.
    pub fn set_disconnected(&mut self, now: Timestamp, address: SocketAddr, random: &mut impl Rng) {
        let failures = self.links.get(&address).map_or(0, |link| link.failures) + 1;
        let retry_at = now + backoff::delay(failures, random);
        let state = LinkState::Down { retry_at };
        self.links.insert(address, Link { state, failures });
    }

    /// Removes nodes that are down and not in `keep`, so that replaced nodes don't accumulate.
    pub fn forget_down_except(&mut self, keep: &[SocketAddr]) {
        self.links.retain(|address, link| {
            !matches!(link.state, LinkState::Down { .. }) || keep.contains(address)
        });
    }

    /// Returns the number of ready connections.
    pub fn ready_count(&self) -> usize {
        self.ready().count()
    }

    /// Returns a ready connection in round-robin order, other than `avoided` if possible.
    pub fn next_ready(&mut self, avoided: Option<SocketAddr>) -> Option<SocketAddr> {
        let ready: Vec<SocketAddr> = self.ready().collect();
        let others: Vec<SocketAddr> = ready
            .iter()
            .copied()
            .filter(|address| Some(*address) != avoided)
            .collect();
        let candidates = if others.is_empty() { ready } else { others };
        if candidates.is_empty() {
            return None;
        }
        self.cursor = self.cursor.wrapping_add(1);
        Some(candidates[self.cursor % candidates.len()])
    }

    fn ready(&self) -> impl Iterator<Item = SocketAddr> {
        self.links
            .iter()
            .filter(|(_, link)| link.state == LinkState::Ready)
            .map(|(address, _)| *address)
    }
}
