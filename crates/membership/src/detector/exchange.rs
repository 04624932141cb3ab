//! Join requests and full state exchanges, split into datagrams of bounded size.

use std::net::SocketAddr;

use elderworks_protocol::gossip::{CellDigest, Datagram, DatagramKind, MemberUpdate};
use elderworks_types::Timestamp;
use rand::seq::IndexedRandom;

use super::{Membership, remaining_bytes};
use crate::dissemination::encoded_bytes;
use crate::settings::MAX_JOIN_DATAGRAMS;

impl Membership {
    /// Iterates over the seed addresses except this node's own.
    pub(super) fn other_seeds(&self) -> impl Iterator<Item = SocketAddr> {
        self.settings
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != self.settings.gossip_address)
    }

    /// Announces this node to the node at `to` and requests its view of the cell.
    pub(super) fn send_join(&mut self, to: SocketAddr) {
        let mut join = self.empty_datagram(DatagramKind::Join);
        join.updates = vec![self.own_update().clone()];
        self.send(to, join);
    }

    /// Sends all known members and cells to a joining member, unless the rate limit is reached.
    pub(super) fn answer_join(&mut self, now: Timestamp, to: SocketAddr) {
        if !self.schedule.may_answer_join(now) {
            return;
        }
        let updates: Vec<MemberUpdate> = self
            .table
            .iter()
            .map(|member| member.update.clone())
            .collect();
        let digests: Vec<CellDigest> = self
            .cells
            .iter()
            .map(|known| known.digest.clone())
            .collect();
        for datagram in self.pages(updates, digests) {
            self.send(to, datagram);
        }
    }

    /// Splits members and digests into at most [`MAX_JOIN_DATAGRAMS`] datagrams.
    fn pages(&self, updates: Vec<MemberUpdate>, digests: Vec<CellDigest>) -> Vec<Datagram> {
        let mut updates = updates.into_iter().peekable();
        let mut digests = digests.into_iter().peekable();
        let mut pages = Vec::new();
        while pages.len() < MAX_JOIN_DATAGRAMS {
            let mut page = self.empty_datagram(DatagramKind::Members);
            let mut remaining = remaining_bytes(&page);
            page.updates = take_fitting(&mut updates, &mut remaining);
            page.digests = take_fitting(&mut digests, &mut remaining);
            let exhausted = page.updates.is_empty() && page.digests.is_empty();
            if exhausted {
                break;
            }
            pages.push(page);
        }
        pages
    }

    /// Sends one datagram of members and digests, starting at a random position, to a random member.
    /// Over time, this repairs differences left by updates that were lost in transit.
    pub(super) fn exchange(&mut self) {
        let peers: Vec<SocketAddr> = self
            .other_reachable()
            .map(|member| member.update.gossip_address)
            .collect();
        let Some(&peer) = peers.choose(&mut self.random) else {
            return;
        };
        let updates: Vec<MemberUpdate> = self
            .table
            .iter()
            .map(|member| member.update.clone())
            .collect();
        let updates = self.rotated(updates);
        let digests = self.all_digests_rotated();
        if let Some(page) = self.pages(updates, digests).into_iter().next() {
            self.send(peer, page);
        }
    }

    /// Returns all cell digests, starting at a random position.
    pub(super) fn all_digests_rotated(&mut self) -> Vec<CellDigest> {
        let digests = self
            .cells
            .iter()
            .map(|known| known.digest.clone())
            .collect();
        self.rotated(digests)
    }

    fn rotated<T>(&mut self, mut items: Vec<T>) -> Vec<T> {
        use rand::Rng;
        if !items.is_empty() {
            let start = self.random.random_range(0..items.len());
            items.rotate_left(start);
        }
        items
    }
}

/// Takes items until the next one exceeds the `remaining` bytes, which are reduced accordingly.
/// Items larger than the initial value of `remaining` are skipped.
pub(super) fn take_fitting<T: serde::Serialize>(
    items: &mut std::iter::Peekable<impl Iterator<Item = T>>,
    remaining: &mut usize,
) -> Vec<T> {
    let capacity = *remaining;
    let mut taken = Vec::new();
    while let Some(item) = items.peek() {
        let bytes = encoded_bytes(item);
        if bytes > *remaining && bytes <= capacity {
            break;
        }
        let Some(item) = items.next() else { break };
        if bytes <= *remaining {
            *remaining -= bytes;
            taken.push(item);
        }
    }
    taken
}
