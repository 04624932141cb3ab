//! Delays between zones, cuts, and the fate of datagrams.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Instant, Random};

/// One end of a message's way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    /// A node.
    Node(usize),
    /// A sidecar.
    Sidecar(usize),
    /// The platform's log.
    Log,
    /// An engine.
    Engine(usize),
    /// A tool.
    Tool(usize),
}

/// A way from one endpoint to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Direction {
    /// Where messages leave.
    pub from: Endpoint,
    /// Where they arrive.
    pub to: Endpoint,
}

/// Delays and error rates of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct NetworkProfile {
    /// One way between zones.
    pub between_zones: Duration,
    /// One way within a zone.
    pub within_zone: Duration,
    /// One way between a sidecar and a node.
    pub to_clients: Duration,
    /// Datagrams lost, in percent.
    pub loss_percent: u32,
    /// Datagrams delivered twice, in percent.
    pub duplicate_percent: u32,
    /// Datagrams held back past later ones, in percent.
    pub reorder_percent: u32,
}

const MAX_REORDER_DELAY: Duration = Duration::from_millis(200);

/// The network.
#[derive(Debug)]
pub struct Network {
    profile: NetworkProfile,
    random: Random,
    cuts: BTreeMap<Direction, Instant>,
    extra_loss_until: Instant,
    extra_loss_percent: u32,
}

impl Network {
    /// A whole network.
    pub fn new(profile: NetworkProfile, random: Random) -> Self {
        Self {
            profile,
            random,
            cuts: BTreeMap::new(),
            extra_loss_until: Instant(0),
            extra_loss_percent: 0,
        }
    }

    /// Lets nothing pass in one direction until `until`.
    pub fn cut(&mut self, direction: Direction, until: Instant) {
        let present = self.cuts.entry(direction).or_insert(until);
        *present = (*present).max(until);
    }

    /// When a cut in this direction heals; `None` while it is whole.
    pub fn cut_until(&self, direction: Direction, now: Instant) -> Option<Instant> {
        self.cuts
            .get(&direction)
            .copied()
            .filter(|until| *until > now)
    }

    /// Raises the loss of datagrams until `until`.
    pub fn lose_datagrams(&mut self, percent: u32, until: Instant) {
        self.extra_loss_percent = percent;
        self.extra_loss_until = until;
    }

    /// One way's delay between two zones, with jitter.
    pub fn delay(&mut self, same_zone: bool, direction: Direction) -> Duration {
        let base = match (direction.from, direction.to) {
            (Endpoint::Sidecar(_), _) | (_, Endpoint::Sidecar(_)) => self.profile.to_clients,
            _ if same_zone => self.profile.within_zone,
            _ => self.profile.between_zones,
        };
        base + self.random.duration(Duration::ZERO, base / 2)
    }

    /// Delays of the copies of one datagram that arrive: none, one or two.
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
