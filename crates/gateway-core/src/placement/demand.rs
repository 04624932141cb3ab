//! How much each first part of the prompts is asked for, and how many homes it has for that.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::{NodeId, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

use super::homes::{PartLoad, home_shares};

/// Time in which a past demand comes to count half. Long enough that a node's own sample of a few
/// turns a second tells parts apart, short enough that homes follow a change within a minute.
const HALF_LIFE: Duration = Duration::from_secs(15);

/// Homes are counted anew at this interval.
const REFRESH: Duration = Duration::from_millis(500);

/// What another node has told counts for this long; nodes repeat it more often.
const TOLD_LIFETIME: Duration = Duration::from_secs(5);

/// Most parts that a node tells of, those asked for most.
const MOST_TOLD: usize = 32;

/// Parts of one service that are told apart; those asked for least are forgotten first. More than
/// any engine's memory holds.
const MOST_PARTS: usize = 256;

/// A part asked for less than this, in turns that count in full, is forgotten.
const COLD: f64 = 0.1;

/// Share of an engine's memory beside running requests that kept parts may fill; the rest is for
/// what single programs have read.
const PARTS_SHARE: f64 = 0.6;

/// Share of their slots that engines fill while room is short, as far as memory is concerned.
const FILLED_SHARE: f64 = 0.75;

/// Turns that parts not met yet count for beside the known ones, so that a node that has met few
/// does not take all engines for their homes.
const UNMET_TURNS: f64 = 8.0;

/// Part of the mean by which one turn moves it.
const MEAN_STEP: f64 = 0.02;

/// Stands for a first part of prompts: equal keys mean equal text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixKey(pub u32);

impl PrefixKey {
    /// The key of the part of that name.
    pub fn of(name: &str) -> Self {
        let hash = xxh3_64(name.as_bytes());
        Self(u32::try_from(hash >> 32).expect("the upper half of 64 bits"))
    }
}

/// What placement needs to know of one turn for an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineTurn {
    /// The first part of its prompt.
    pub prefix: PrefixKey,
    /// Length of that part in tokens.
    pub prefix_tokens: u64,
    /// Tokens of the prompt behind its first part.
    pub suffix_tokens: u64,
    /// Tokens that the turn generates at most.
    pub max_output_tokens: u64,
    /// Tokens that one engine's memory holds.
    pub memory_tokens: u64,
    /// Requests that one engine runs at once.
    pub slots: u32,
}

impl EngineTurn {
    /// Tokens that it holds at most while it runs.
    pub fn held_tokens(&self) -> u64 {
        self.prefix_tokens + self.suffix_tokens + self.max_output_tokens
    }
}

/// Demand for one part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixUsage {
    /// Its length in tokens.
    pub tokens: u64,
    /// Turns that asked for it, past ones counted less.
    pub turns: f64,
}

/// What another node has told of its demand.
#[derive(Clone, Debug)]
struct Told {
    at: Timestamp,
    uses: Vec<(PrefixKey, PrefixUsage)>,
}

/// Demand for the parts of one service, and the share of engines that is home to each.
#[derive(Clone, Debug, Default)]
pub struct PartDemand {
    own: BTreeMap<PrefixKey, PrefixUsage>,
    told: BTreeMap<NodeId, Told>,
    shares: BTreeMap<PrefixKey, f64>,
    /// Mean of the tokens that turns hold.
    held_mean: f64,
    refreshed: Option<Timestamp>,
}

impl PartDemand {
    /// Counts a turn; `engines` are those that take work.
    pub fn note_turn(&mut self, turn: &EngineTurn, engines: usize, now: Timestamp) {
        let held = turn.held_tokens() as f64;
        if self.held_mean == 0.0 {
            self.held_mean = held;
        }
        self.held_mean += (held - self.held_mean) * MEAN_STEP;
        let is_due = |at: Timestamp| now.since(at) >= REFRESH;
        let is_due = self.refreshed.is_none_or(is_due) || !self.shares.contains_key(&turn.prefix);
        if is_due {
            self.decay(now);
        }
        let part = self.own.entry(turn.prefix).or_insert(PrefixUsage {
            tokens: turn.prefix_tokens,
            turns: 0.0,
        });
        part.tokens = turn.prefix_tokens;
        part.turns += 1.0;
        if is_due {
            self.refresh(turn, engines);
        }
    }

    /// Takes another node's demand in place of what it told before.
    pub fn take_told(&mut self, now: Timestamp, node: NodeId, uses: Vec<(PrefixKey, PrefixUsage)>) {
        self.told.insert(node, Told { at: now, uses });
    }

    /// What other nodes are told: this node's own demand.
    pub fn own_demand(&self) -> Vec<(PrefixKey, PrefixUsage)> {
        let mut uses: Vec<(PrefixKey, PrefixUsage)> =
            self.own.iter().map(|(key, used)| (*key, *used)).collect();
        uses.sort_by(|(_, one), (_, other)| other.turns.total_cmp(&one.turns));
        uses.truncate(MOST_TOLD);
        uses
    }

    /// Parts that turns ask for here or elsewhere, those asked for most.
    pub fn most_wanted(&self, most: usize) -> Vec<PrefixKey> {
        if self.shares.len() <= most {
            return self.shares.keys().copied().collect();
        }
        let mut wanted: Vec<(PrefixKey, PrefixUsage)> = self.all_demand().into_iter().collect();
        wanted.sort_by(|(_, one), (_, other)| other.turns.total_cmp(&one.turns));
        wanted.truncate(most);
        wanted.into_iter().map(|(part, _)| part).collect()
    }

    /// Share of the engines that is home to a part; all of them if nothing is known of it.
    pub fn share(&self, part: PrefixKey) -> f64 {
        self.shares.get(&part).copied().unwrap_or(1.0)
    }

    /// Parts that are told apart.
    pub fn len(&self) -> usize {
        self.shares.len()
    }

    /// Whether no part is known.
    pub fn is_empty(&self) -> bool {
        self.shares.is_empty()
    }

    fn decay(&mut self, now: Timestamp) {
        let since = self.refreshed.map_or(Duration::ZERO, |at| now.since(at));
        self.refreshed = Some(now);
        let left = 0.5_f64.powf(since.as_secs_f64() / HALF_LIFE.as_secs_f64());
        for part in self.own.values_mut() {
            part.turns *= left;
        }
        self.own.retain(|_, part| part.turns >= COLD);
        self.told
            .retain(|_, told| now.since(told.at) < TOLD_LIFETIME);
        while self.own.len() > MOST_PARTS {
            let parts = self.own.iter();
            let coldest = parts.min_by(|(_, one), (_, other)| one.turns.total_cmp(&other.turns));
            let Some((&key, _)) = coldest else { break };
            self.own.remove(&key);
        }
    }

    /// Demand of all nodes that have told, and of this one.
    fn all_demand(&self) -> BTreeMap<PrefixKey, PrefixUsage> {
        let mut all = self.own.clone();
        for (key, used) in self.told.values().flat_map(|told| &told.uses) {
            let sum = all.entry(*key).or_insert(PrefixUsage {
                tokens: used.tokens,
                turns: 0.0,
            });
            sum.turns += used.turns;
        }
        all
    }

    fn refresh(&mut self, turn: &EngineTurn, engines: usize) {
        let running = self.held_mean * f64::from(turn.slots) * FILLED_SHARE;
        let room = (turn.memory_tokens as f64 - running).max(0.0) * PARTS_SHARE;
        let demand = self.all_demand();
        let mut loads: Vec<PartLoad> = demand
            .values()
            .map(|used| PartLoad {
                tokens: used.tokens as f64,
                weight: used.turns,
            })
            .collect();
        loads.push(PartLoad {
            tokens: turn.prefix_tokens as f64,
            weight: UNMET_TURNS,
        });
        let shares = home_shares(&loads, room, engines);
        self.shares = demand.into_keys().zip(shares).collect();
    }
}
