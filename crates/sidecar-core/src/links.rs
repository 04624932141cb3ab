//! Connections to nodes.

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

/// What can be done with a node right now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkStatus {
    /// Messages can be sent.
    Ready,
    /// A connection is being made.
    Connecting,
    /// A connection should be begun.
    MayConnect,
    /// The last connection failed a short time ago.
    Down,
}

impl Links {
    /// The state of one connection.
    pub fn status(&self, now: Timestamp, address: SocketAddr) -> LinkStatus {
        match self.links.get(&address).map(|link| link.state) {
            None => LinkStatus::MayConnect,
            Some(LinkState::Ready) => LinkStatus::Ready,
            Some(LinkState::Connecting) => LinkStatus::Connecting,
            Some(LinkState::Down { retry_at }) if retry_at <= now => LinkStatus::MayConnect,
            Some(LinkState::Down { .. }) => LinkStatus::Down,
        }
    }

    /// Notes that a connection is being made.
    pub fn connecting(&mut self, address: SocketAddr) {
        let link = self.links.entry(address).or_insert(Link {
            state: LinkState::Connecting,
            failures: 0,
        });
        link.state = LinkState::Connecting;
    }

    /// Notes that a connection is ready.
    pub fn connected(&mut self, address: SocketAddr) {
        let link = Link {
            state: LinkState::Ready,
            failures: 0,
        };
        self.links.insert(address, link);
    }

    /// Notes that a connection failed or broke.
    pub fn disconnected(&mut self, now: Timestamp, address: SocketAddr, random: &mut impl Rng) {
        let failures = self.links.get(&address).map_or(0, |link| link.failures) + 1;
        let retry_at = now + backoff::delay(failures, random);
        let state = LinkState::Down { retry_at };
        self.links.insert(address, Link { state, failures });
    }

    /// Forgets nodes that are down and not among `keep`, so that replaced machines do not pile up.
    pub fn forget_down_except(&mut self, keep: &[SocketAddr]) {
        self.links.retain(|address, link| {
            !matches!(link.state, LinkState::Down { .. }) || keep.contains(address)
        });
    }

    /// Number of ready connections.
    pub fn ready_count(&self) -> usize {
        self.ready().count()
    }

    /// A ready connection, a different one each time, if possible not `avoided`.
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
