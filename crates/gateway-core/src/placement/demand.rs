//! Demand for each prompt prefix, and the fraction of engines that are its homes.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::{NodeId, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

use super::homes::{PrefixLoad, home_fractions};

/// Half-life of the demand counters.
const HALF_LIFE: Duration = Duration::from_secs(15);

/// Interval at which the homes are recomputed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which another node's report expires; nodes send reports more often.
const PEER_REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// Maximum number of prefixes in a report, those with the highest demand.
const MAX_REPORTED: usize = 32;

/// Maximum number of prefixes of one service with a counter; those with the lowest demand are
/// dropped first.
const MAX_PREFIXES: usize = 256;

/// Decayed number of turns below which a prefix is dropped.
const MIN_TURNS: f64 = 0.1;

/// Fraction of an engine's memory beside running requests that shared prefixes may fill; the rest
/// is left to the cached prompts of single programs.
const PREFIX_MEMORY_FRACTION: f64 = 0.6;

/// Fraction of an engine's slots that are assumed to be occupied when its memory is divided.
const FILLED_SLOTS_FRACTION: f64 = 0.75;

/// Demand, in turns, that is reserved for prefixes not yet known, so that a node that knows only a
/// few prefixes doesn't assign all engines to them.
const UNKNOWN_PREFIX_TURNS: f64 = 8.0;

/// Weight of one turn in the moving average of held tokens.
const MEAN_WEIGHT: f64 = 0.02;

/// A hash that identifies a prompt prefix; prefixes with equal keys have equal text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixKey(pub u32);

impl PrefixKey {
    /// Returns the key of the prefix with that name.
    pub fn of(name: &str) -> Self {
        let hash = xxh3_64(name.as_bytes());
        Self(u32::try_from(hash >> 32).expect("the upper half of 64 bits"))
    }
}

/// The properties of a turn that placement depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineTurn {
    /// The prefix of its prompt.
    pub prefix: PrefixKey,
    /// Length of the prefix in tokens.
    pub prefix_tokens: u64,
    /// Length of the prompt after the prefix in tokens.
    pub suffix_tokens: u64,
    /// Maximum number of tokens that the turn generates.
    pub max_output_tokens: u64,
    /// Capacity of one engine's memory in tokens.
    pub memory_tokens: u64,
    /// Number of requests that one engine runs concurrently.
    pub slots: u32,
}

impl EngineTurn {
    /// Returns the maximum number of tokens that the turn occupies while it runs.
    pub fn held_tokens(&self) -> u64 {
        self.prefix_tokens + self.suffix_tokens + self.max_output_tokens
    }
}

/// Demand for one prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixUsage {
    /// Length of the prefix in tokens.
    pub tokens: u64,
    /// Decayed number of turns whose prompt begins with it.
    pub turns: f64,
}

/// Another node's report of its demand.
#[derive(Clone, Debug)]
struct PeerReport {
    at: Timestamp,
    usages: Vec<(PrefixKey, PrefixUsage)>,
}

/// Demand for the prefixes of one service, and the fraction of engines that are home to each.
#[derive(Clone, Debug, Default)]
pub struct PrefixDemand {
    own: BTreeMap<PrefixKey, PrefixUsage>,
    peer_reports: BTreeMap<NodeId, PeerReport>,
    home_fractions: BTreeMap<PrefixKey, f64>,
    /// Moving average of the tokens that turns occupy.
    mean_held_tokens: f64,
    refreshed_at: Option<Timestamp>,
}

impl PrefixDemand {
    /// Records a turn; `engines` is the number of engines that accept requests.
    pub fn note_turn(&mut self, turn: &EngineTurn, engines: usize, now: Timestamp) {
        let held = turn.held_tokens() as f64;
        if self.mean_held_tokens == 0.0 {
            self.mean_held_tokens = held;
        }
        self.mean_held_tokens += (held - self.mean_held_tokens) * MEAN_WEIGHT;
        let is_due = |at: Timestamp| now.since(at) >= REFRESH_INTERVAL;
        let is_due =
            self.refreshed_at.is_none_or(is_due) || !self.home_fractions.contains_key(&turn.prefix);
        if is_due {
            self.decay(now);
        }
        let usage = self.own.entry(turn.prefix).or_insert(PrefixUsage {
            tokens: turn.prefix_tokens,
            turns: 0.0,
        });
        usage.tokens = turn.prefix_tokens;
        usage.turns += 1.0;
        if is_due {
            self.refresh(turn, engines);
        }
    }

    /// Replaces another node's report.
    pub fn apply_peer_demand(
        &mut self,
        now: Timestamp,
        node: NodeId,
        usages: Vec<(PrefixKey, PrefixUsage)>,
    ) {
        self.peer_reports
            .insert(node, PeerReport { at: now, usages });
    }

    /// Returns this node's own demand, for a report to the other nodes.
    pub fn own_demand(&self) -> Vec<(PrefixKey, PrefixUsage)> {
        let mut usages: Vec<(PrefixKey, PrefixUsage)> =
            self.own.iter().map(|(key, usage)| (*key, *usage)).collect();
        usages.sort_by(|(_, one), (_, other)| other.turns.total_cmp(&one.turns));
        usages.truncate(MAX_REPORTED);
        usages
    }

    /// Returns up to `max` prefixes with the highest demand at all nodes.
    pub fn most_requested(&self, max: usize) -> Vec<PrefixKey> {
        if self.home_fractions.len() <= max {
            return self.home_fractions.keys().copied().collect();
        }
        let mut by_demand: Vec<(PrefixKey, PrefixUsage)> = self.all_demand().into_iter().collect();
        by_demand.sort_by(|(_, one), (_, other)| other.turns.total_cmp(&one.turns));
        by_demand.truncate(max);
        by_demand.into_iter().map(|(prefix, _)| prefix).collect()
    }

    /// Returns the fraction of engines that are home to a prefix, 1 for an unknown one.
    pub fn home_fraction(&self, prefix: PrefixKey) -> f64 {
        self.home_fractions.get(&prefix).copied().unwrap_or(1.0)
    }

    /// Returns the number of known prefixes.
    pub fn len(&self) -> usize {
        self.home_fractions.len()
    }

    /// Returns whether no prefix is known.
    pub fn is_empty(&self) -> bool {
        self.home_fractions.is_empty()
    }

    fn decay(&mut self, now: Timestamp) {
        let since = self.refreshed_at.map_or(Duration::ZERO, |at| now.since(at));
        self.refreshed_at = Some(now);
        let factor = 0.5_f64.powf(since.as_secs_f64() / HALF_LIFE.as_secs_f64());
        for usage in self.own.values_mut() {
            usage.turns *= factor;
        }
        self.own.retain(|_, usage| usage.turns >= MIN_TURNS);
        self.peer_reports
            .retain(|_, report| now.since(report.at) < PEER_REPORT_LIFETIME);
        while self.own.len() > MAX_PREFIXES {
            let prefixes = self.own.iter();
            let least_used =
                prefixes.min_by(|(_, one), (_, other)| one.turns.total_cmp(&other.turns));
            let Some((&key, _)) = least_used else { break };
            self.own.remove(&key);
        }
    }

    /// Returns the demand of this node and, from their reports, of the others.
    fn all_demand(&self) -> BTreeMap<PrefixKey, PrefixUsage> {
        let mut all = self.own.clone();
        for (key, usage) in self.peer_reports.values().flat_map(|report| &report.usages) {
            let sum = all.entry(*key).or_insert(PrefixUsage {
                tokens: usage.tokens,
                turns: 0.0,
            });
            sum.turns += usage.turns;
        }
        all
    }

    fn refresh(&mut self, turn: &EngineTurn, engines: usize) {
        let running_tokens = self.mean_held_tokens * f64::from(turn.slots) * FILLED_SLOTS_FRACTION;
        let room_tokens =
            (turn.memory_tokens as f64 - running_tokens).max(0.0) * PREFIX_MEMORY_FRACTION;
        let demand = self.all_demand();
        let mut loads: Vec<PrefixLoad> = demand
            .values()
            .map(|usage| PrefixLoad {
                tokens: usage.tokens as f64,
                weight: usage.turns,
            })
            .collect();
        loads.push(PrefixLoad {
            tokens: turn.prefix_tokens as f64,
            weight: UNKNOWN_PREFIX_TURNS,
        });
        let home_fractions = home_fractions(&loads, room_tokens, engines);
        self.home_fractions = demand.into_keys().zip(home_fractions).collect();
    }
}
