//! Probes under way.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use elderworks_types::Timestamp;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

/// Most probes on behalf of others under way.
const MAX_FORWARDED: usize = 256;

/// A probe of this node's own whose time is up.
#[derive(Debug, PartialEq, Eq)]
pub enum Overdue<T> {
    /// The direct probe was not answered: others should try.
    Direct {
        /// Whom it asked.
        target: T,
        /// Under which number; the indirect probe keeps it.
        nonce: u64,
    },
    /// Neither was the indirect one.
    Indirect {
        /// Whom it asked.
        target: T,
    },
}

/// Probes of this node, and those it makes on behalf of others, of targets named by `T`.
#[derive(Debug)]
pub struct Prober<T> {
    order: Vec<T>,
    last_nonce: u64,
    own: BTreeMap<u64, OwnProbe<T>>,
    forwarded: BTreeMap<u64, ForwardedProbe<T>>,
}

#[derive(Debug)]
struct OwnProbe<T> {
    target: T,
    sent: Timestamp,
    indirect: bool,
}

#[derive(Debug)]
struct ForwardedProbe<T> {
    target: T,
    sent: Timestamp,
    origin: SocketAddr,
    origin_nonce: u64,
}

impl<T: Clone + PartialEq> Prober<T> {
    /// Nothing under way.
    pub fn new() -> Self {
        Self {
            order: Vec::new(),
            last_nonce: 0,
            own: BTreeMap::new(),
            forwarded: BTreeMap::new(),
        }
    }

    /// The next target: every candidate once in random order, then anew. One that `is_candidate` no
    /// longer accepts is passed over.
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

    /// Notes a probe of this node's own and gives its number.
    pub fn begin(&mut self, now: Timestamp, target: T) -> u64 {
        let nonce = self.next_nonce();
        let probe = OwnProbe {
            target,
            sent: now,
            indirect: false,
        };
        self.own.insert(nonce, probe);
        nonce
    }

    /// Notes a probe on behalf of another node and gives its number; `None` if too many are open.
    pub fn begin_forwarded(
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

    /// Closes this node's own probe with that number, if `from` may answer it: the target itself, or
    /// anyone once others were asked to probe. Returns whether one was open.
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

    /// Closes a forwarded probe that its target answered; returns whom to tell, and their number.
    pub fn acknowledge_forwarded(&mut self, nonce: u64, from: &T) -> Option<(SocketAddr, u64)> {
        let probe = self.forwarded.get(&nonce)?;
        if probe.target != *from {
            return None;
        }
        let probe = self.forwarded.remove(&nonce)?;
        Some((probe.origin, probe.origin_nonce))
    }

    /// Takes the probes unanswered for `timeout`. A direct one stays open as an indirect one.
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

    /// Forgets every open probe; answers to them count for nothing.
    pub fn abandon(&mut self) {
        self.own.clear();
        self.forwarded.clear();
    }
}
