//! Simulated network: delays between zones, cut directions, and datagram faults.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Instant, Random};

/// Sender or receiver of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    /// Node by index.
    Node(usize),
    /// Sidecar by index.
    Sidecar(usize),
    /// The platform's log.
    Log,
    /// Engine by index.
    Engine(usize),
    /// Tool by index.
    Tool(usize),
}

/// Direction of messages between two endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Direction {
    /// Sending endpoint.
    pub from: Endpoint,
    /// Receiving endpoint.
    pub to: Endpoint,
}

/// Delays and error rates of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct NetworkProfile {
    /// One-way delay between zones.
    pub between_zones: Duration,
    /// One-way delay within a zone.
    pub within_zone: Duration,
    /// One-way delay between a sidecar and a node.
    pub to_clients: Duration,
    /// Percentage of datagrams that are lost.
    pub loss_percent: u32,
    /// Percentage of datagrams that are delivered twice.
    pub duplicate_percent: u32,
    /// Percentage of datagrams that are delayed further, so that later ones may overtake them.
    pub reorder_percent: u32,
}

/// Maximum additional delay of a reordered datagram.
const MAX_REORDER_DELAY: Duration = Duration::from_millis(200);

/// Simulated network with its current faults.
#[derive(Debug)]
pub struct Network {
    profile: NetworkProfile,
    random: Random,
    cuts: BTreeMap<Direction, Instant>,
    extra_loss_until: Instant,
    extra_loss_percent: u32,
}

impl Network {
    /// Creates a network without cuts.
    pub fn new(profile: NetworkProfile, random: Random) -> Self {
        Self {
            profile,
            random,
            cuts: BTreeMap::new(),
            extra_loss_until: Instant(0),
            extra_loss_percent: 0,
        }
    }

    /// Blocks all messages in one direction until `until`, or until the end of an earlier cut if that is
    /// later.
    pub fn cut(&mut self, direction: Direction, until: Instant) {
        let present = self.cuts.entry(direction).or_insert(until);
        *present = (*present).max(until);
    }

    /// Returns when the cut in this direction ends, or `None` if the direction is not cut.
    pub fn cut_until(&self, direction: Direction, now: Instant) -> Option<Instant> {
        self.cuts
            .get(&direction)
            .copied()
            .filter(|until| *until > now)
    }

    /// Increases the loss of datagrams by `percent` percentage points until `until`.
    pub fn lose_datagrams(&mut self, percent: u32, until: Instant) {
        self.extra_loss_percent = percent;
        self.extra_loss_until = until;
    }

    /// Returns a one-way delay with up to 50 % of jitter.
    pub fn delay(&mut self, same_zone: bool, direction: Direction) -> Duration {
        let base = match (direction.from, direction.to) {
            (Endpoint::Sidecar(_), _) | (_, Endpoint::Sidecar(_)) => self.profile.to_clients,
            _ if same_zone => self.profile.within_zone,
            _ => self.profile.between_zones,
        };
        base + self.random.duration(Duration::ZERO, base / 2)
    }

    /// Returns the delay of each copy of a datagram that arrives: no copy, one or two.
    pub fn datagram_delays(
        &mut self,
        same_zone: bool,
        direction: Direction,
        now: Instant,
    ) -> Vec<Duration> {
        if self.cut_until(direction, now).is_some() || self.loses_datagram(now) {
            return Vec::new();
        }
        let copies = 1 + usize::from(self.random.chance(self.profile.duplicate_percent));
        (0..copies)
            .map(|_| self.datagram_delay(same_zone, direction))
            .collect()
    }

    fn loses_datagram(&mut self, now: Instant) -> bool {
        let is_extra_loss_active = now < self.extra_loss_until;
        let extra = if is_extra_loss_active {
            self.extra_loss_percent
        } else {
            0
        };
        self.random.chance(self.profile.loss_percent + extra)
    }

    fn datagram_delay(&mut self, same_zone: bool, direction: Direction) -> Duration {
        let delay = self.delay(same_zone, direction);
        if self.random.chance(self.profile.reorder_percent) {
            return delay + self.random.duration(Duration::ZERO, MAX_REORDER_DELAY);
        }
        delay
    }
}
