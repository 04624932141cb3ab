//! Joining, and full exchanges in bounded datagrams.

use std::net::SocketAddr;

use elderworks_protocol::gossip::{CellDigest, Datagram, DatagramKind, MemberUpdate};
use elderworks_types::Timestamp;
use rand::seq::IndexedRandom;

use super::{Membership, room_left};
use crate::dissemination::encoded_bytes;
use crate::settings::MAX_JOIN_DATAGRAMS;

impl Membership {
    /// Seeds other than this node itself.
    pub(super) fn other_seeds(&self) -> impl Iterator<Item = SocketAddr> {
        self.settings
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != self.settings.gossip_address)
    }

    /// Tells a node that this one exists and asks for what it knows.
    pub(super) fn send_join(&mut self, to: SocketAddr) {
        let mut join = self.empty_datagram(DatagramKind::Join);
        join.updates = vec![self.own_update().clone()];
        self.send(to, join);
    }

    /// Sends all that is known to a member that joins, in several datagrams.
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

    fn pages(&self, updates: Vec<MemberUpdate>, digests: Vec<CellDigest>) -> Vec<Datagram> {
        let mut updates = updates.into_iter().peekable();
        let mut digests = digests.into_iter().peekable();
        let mut pages = Vec::new();
        while pages.len() < MAX_JOIN_DATAGRAMS {
            let mut page = self.empty_datagram(DatagramKind::Members);
            let mut room = room_left(&page);
            page.updates = take_fitting(&mut updates, &mut room);
            page.digests = take_fitting(&mut digests, &mut room);
            let exhausted = page.updates.is_empty() && page.digests.is_empty();
            if exhausted {
                break;
            }
            pages.push(page);
        }
        pages
    }

    /// Sends one datagram of members and digests, starting at a random place, to a random member: what
    /// piggybacking missed is repaired in the long run.
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

/// Takes items while they fit the room, which shrinks; an item that can never fit is passed over.
pub(super) fn take_fitting<T: serde::Serialize>(
    items: &mut std::iter::Peekable<impl Iterator<Item = T>>,
    room: &mut usize,
) -> Vec<T> {
    let whole_room = *room;
    let mut taken = Vec::new();
    while let Some(item) = items.peek() {
        let bytes = encoded_bytes(item);
        if bytes > *room && bytes <= whole_room {
            break;
        }
        let Some(item) = items.next() else { break };
        if bytes <= *room {
            *room -= bytes;
            taken.push(item);
        }
    }
    taken
}
