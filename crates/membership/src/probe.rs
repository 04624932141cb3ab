//! Bookkeeping of outstanding probes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use elderworks_types::Timestamp;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

/// Maximum number of outstanding probes on behalf of other nodes.
const MAX_FORWARDED: usize = 256;

/// A probe of this node that was not answered in time.
#[derive(Debug, PartialEq, Eq)]
pub enum Overdue<T> {
    /// The direct probe was not answered. Other members should probe the target.
    Direct {
        /// Target of the probe.
        target: T,
        /// Nonce of the probe, which the indirect probe reuses.
        nonce: u64,
    },
    /// The indirect probe was not answered either.
    Indirect {
        /// Target of the probe.
        target: T,
    },
}

/// Outstanding probes of this node and those on behalf of other nodes. Targets are of type `T`.
#[derive(Debug)]
pub struct Prober<T> {
    /// Targets left in the current round, in reverse order.
    order: Vec<T>,
    last_nonce: u64,
    own: BTreeMap<u64, OwnProbe<T>>,
    forwarded: BTreeMap<u64, ForwardedProbe<T>>,
}

#[derive(Debug)]
struct OwnProbe<T> {
    target: T,
    sent: Timestamp,
    /// Whether other members were asked to probe the target.
    indirect: bool,
}

#[derive(Debug)]
struct ForwardedProbe<T> {
    target: T,
    sent: Timestamp,
    /// Node that requested the probe.
    origin: SocketAddr,
    /// Nonce of the requesting node's own probe.
    origin_nonce: u64,
}

impl<T: Clone + PartialEq> Prober<T> {
    /// Creates a prober without outstanding probes.
    pub fn new() -> Self {
        Self {
            order: Vec::new(),
            last_nonce: 0,
            own: BTreeMap::new(),
            forwarded: BTreeMap::new(),
        }
    }

    /// Returns the next target. Each round visits all `candidates` in a new random order and skips
    /// those for which `is_candidate` no longer holds.
    pub fn next_target(
        &mut self,
        random: &mut ChaCha8Rng,
        candidates: impl Fn() -> Vec<T>,
        is_candidate: impl Fn(&T) -> bool,
    ) -> Option<T> {
        if let Some(target) = self.pop_candidate(&is_candidate) {
            return Some(target);
        }
        self.order = candidates();
        self.order.shuffle(random);
        self.pop_candidate(&is_candidate)
    }

    fn pop_candidate(&mut self, is_candidate: &impl Fn(&T) -> bool) -> Option<T> {
        while let Some(target) = self.order.pop() {
            if is_candidate(&target) {
                return Some(target);
            }
        }
        None
    }

    /// Records a probe of this node and returns its nonce.
    pub fn start(&mut self, now: Timestamp, target: T) -> u64 {
        let nonce = self.next_nonce();
        let probe = OwnProbe {
            target,
            sent: now,
            indirect: false,
        };
        self.own.insert(nonce, probe);
        nonce
    }

    /// Records a probe on behalf of another node and returns its nonce, or `None` if
    /// [`MAX_FORWARDED`] probes are outstanding.
    pub fn start_forwarded(
        &mut self,
        now: Timestamp,
        target: T,
        origin: SocketAddr,
        origin_nonce: u64,
    ) -> Option<u64> {
        if self.forwarded.len() >= MAX_FORWARDED {
            return None;
        }
        let nonce = self.next_nonce();
        let probe = ForwardedProbe {
            target,
            sent: now,
            origin,
            origin_nonce,
        };
        self.forwarded.insert(nonce, probe);
        Some(nonce)
    }

    fn next_nonce(&mut self) -> u64 {
        self.last_nonce += 1;
        self.last_nonce
    }

    /// Completes this node's probe with the given nonce if `from` may answer it: the target itself, or
    /// any node once an indirect probe was requested. Returns whether a probe was completed.
    pub fn acknowledge(&mut self, nonce: u64, from: &T) -> bool {
        let answered = self
            .own
            .get(&nonce)
            .is_some_and(|probe| probe.indirect || probe.target == *from);
        if answered {
            self.own.remove(&nonce);
        }
        answered
    }

    /// Completes a forwarded probe that its target answered. Returns the address and the nonce of the
    /// node that requested it.
    pub fn acknowledge_forwarded(&mut self, nonce: u64, from: &T) -> Option<(SocketAddr, u64)> {
        let probe = self.forwarded.get(&nonce)?;
        if probe.target != *from {
            return None;
        }
        let probe = self.forwarded.remove(&nonce)?;
        Some((probe.origin, probe.origin_nonce))
    }

    /// Returns the probes not answered within `timeout`. A direct probe continues as an indirect one.
    pub fn take_overdue(&mut self, now: Timestamp, timeout: Duration) -> Vec<Overdue<T>> {
        self.forwarded
            .retain(|_, probe| now.since(probe.sent) < timeout * 4);
        let mut overdue = Vec::new();
        let mut finished = Vec::new();
        for (&nonce, probe) in &mut self.own {
            if now.since(probe.sent) < timeout {
                continue;
            }
            let target = probe.target.clone();
            if probe.indirect {
                finished.push(nonce);
                overdue.push(Overdue::Indirect { target });
            } else {
                probe.indirect = true;
                probe.sent = now;
                overdue.push(Overdue::Direct { target, nonce });
            }
        }
        for nonce in finished {
            self.own.remove(&nonce);
        }
        overdue
    }

    /// Discards all outstanding probes. Later answers to them are ignored.
    pub fn clear(&mut self) {
        self.own.clear();
        self.forwarded.clear();
    }
}
