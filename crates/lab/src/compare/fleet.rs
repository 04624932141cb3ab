//! The engines of an experiment, where they stand, and what nodes hear from them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use elderworks_engine_model::{
    CacheChange as EngineChange, Completion, Engine, EngineParameters, FeedParameters, Output,
    Request, RequestId,
};
use elderworks_placement::event::{CacheChange, FinishedResult, LoadReport};
use elderworks_placement::{Event, Ticket};
use elderworks_types::text::BlockHash;
use elderworks_types::{EngineId, ModelName, RunId, Timestamp, ZoneId};

use crate::workload::Preset;

/// The one model of the comparison.
pub const MODEL: &str = "agent";

/// Most cache events read in one poll.
const EVENTS_PER_POLL: usize = 256;

/// One way between two processes of one zone.
const SAME_ZONE_DISTANCE: Duration = Duration::from_micros(100);

/// How late and how incompletely engines publish.
#[derive(Clone, Debug, Default)]
pub struct FleetSettings {
    /// Of every engine.
    pub feed: FeedParameters,
}

/// A message on its way to an engine.
#[derive(Debug, PartialEq)]
pub enum EngineAction {
    /// A request.
    Submit {
        /// From this node.
        node: usize,
        /// Which attempt.
        ticket: Ticket,
        /// The request.
        request: Request,
    },
    /// Keep a run's blocks.
    Retain {
        /// Whose.
        run: RunId,
        /// For how long.
        lease: Duration,
    },
    /// Free a run's blocks.
    Release {
        /// Whose.
        run: RunId,
    },
    /// Fetch a run's blocks from another engine.
    Import {
        /// Whose.
        run: RunId,
        /// The other engine.
        from: usize,
        /// Hashes of the run's blocks.
        chain: Arc<[BlockHash]>,
    },
}

impl Eq for EngineAction {}

/// A message on its way from an engine to a node.
#[derive(Debug, PartialEq, Eq)]
pub enum Heard {
    /// Generation began.
    FirstToken {
        /// Which attempt.
        ticket: Ticket,
    },
    /// The engine did not take the request.
    Rejected {
        /// Which attempt.
        ticket: Ticket,
    },
    /// The answer is whole.
    Completed {
        /// Which attempt.
        ticket: Ticket,
        /// What it took.
        completion: Completion,
    },
}

impl Heard {
    /// As placement is told of it.
    pub fn event(&self) -> Event {
        match self {
            Heard::FirstToken { ticket } => Event::FirstToken { ticket: *ticket },
            Heard::Rejected { ticket } => Event::Finished {
                ticket: *ticket,
                result: FinishedResult::Rejected,
            },
            Heard::Completed { ticket, completion } => Event::Finished {
                ticket: *ticket,
                result: FinishedResult::Completed {
                    cached: completion.usage.cached,
                    output: completion.usage.output,
                },
            },
        }
    }
}

struct Member {
    id: EngineId,
    zone: usize,
    engine: Engine,
    wake: Option<Timestamp>,
    /// Who asked for each open request.
    askers: HashMap<RequestId, (usize, Ticket)>,
}

/// All engines.
pub struct Fleet {
    members: Vec<Member>,
    node_zones: Vec<usize>,
    zone_distance: Duration,
    /// By node and engine: number of the last cache event read.
    read_events: Vec<Vec<u64>>,
}

impl Fleet {
    /// Idle engines, dealt out to the zones in turn.
    pub fn new(preset: &Preset, settings: &FleetSettings, seed: u64) -> Self {
        let parameters = EngineParameters {
            feed: settings.feed.clone(),
            ..EngineParameters::default()
        };
        let member = |index: usize| Member {
            id: EngineId::new(format!("engine-{index:03}")),
            zone: index % preset.zones,
            engine: Engine::new(
                parameters.clone(),
                [ModelName::new(MODEL)],
                seed.wrapping_mul(31) + index as u64,
            ),
            wake: None,
            askers: HashMap::new(),
        };
        Self {
            members: (0..preset.workers).map(member).collect(),
            node_zones: (0..preset.nodes).map(|node| node % preset.zones).collect(),
            zone_distance: preset.zone_distance,
            read_events: vec![vec![0; preset.workers]; preset.nodes],
        }
    }

    /// Zone of a node.
    pub fn node_zone(&self, node: usize) -> ZoneId {
        zone_name(self.node_zones[node])
    }

    /// Events that make the engines known to a node.
    pub fn introductions(&self) -> Vec<Event> {
        let introduce = |member: &Member| Event::EngineAdded {
            engine: member.id.clone(),
            zone: zone_name(member.zone),
            models: vec![ModelName::new(MODEL)],
        };
        self.members.iter().map(introduce).collect()
    }

    /// Position of an engine.
    pub fn index(&self, engine: &EngineId) -> usize {
        self.members
            .iter()
            .position(|member| member.id == *engine)
            .expect("policies name engines that they were told of")
    }

    /// One way between a node and an engine.
    pub fn distance(&self, node: usize, engine: usize) -> Duration {
        if self.node_zones[node] == self.members[engine].zone {
            SAME_ZONE_DISTANCE
        } else {
            self.zone_distance
        }
    }

    /// A message arrives at an engine.
    pub fn reach(
        &mut self,
        now: Timestamp,
        engine: usize,
        action: EngineAction,
    ) -> Vec<(usize, Heard)> {
        match action {
            EngineAction::Submit {
                node,
                ticket,
                request,
            } => {
                let member = &mut self.members[engine];
                let id = request.id.clone();
                if member.engine.submit(now, request).is_err() {
                    return vec![(node, Heard::Rejected { ticket })];
                }
                member.askers.insert(id, (node, ticket));
            }
            EngineAction::Retain { run, lease } => {
                self.members[engine].engine.retain(now, run, lease);
            }
            EngineAction::Release { run } => {
                self.members[engine].engine.release(now, run);
            }
            EngineAction::Import { run, from, chain } => {
                let exported = self.members[from].engine.export(run, &chain);
                self.members[engine].engine.import(now, exported);
            }
        }
        Vec::new()
    }

    /// Whether the engine's next wake-up is now; older ones have been replaced.
    pub fn is_due(&mut self, engine: usize, now: Timestamp) -> bool {
        let due = self.members[engine].wake == Some(now);
        if due {
            self.members[engine].wake = None;
        }
        due
    }

    /// Lets an engine do what is due.
    pub fn advance(&mut self, now: Timestamp, engine: usize) -> Vec<(usize, Heard)> {
        let member = &mut self.members[engine];
        let outputs = member.engine.advance(now);
        outputs
            .into_iter()
            .filter_map(|output| member.heard(output))
            .collect()
    }

    /// When to wake the engine, if that is earlier than was planned.
    pub fn take_wake(&mut self, engine: usize) -> Option<Timestamp> {
        let member = &mut self.members[engine];
        let next = member.engine.next_event_at()?;
        if member.wake.is_some_and(|wake| wake <= next) {
            return None;
        }
        member.wake = Some(next);
        Some(next)
    }

    /// What a node newly reads from the engines' feeds.
    pub fn poll(&mut self, now: Timestamp, node: usize) -> Vec<Event> {
        let mut events = Vec::new();
        for (index, member) in self.members.iter_mut().enumerate() {
            let read = &mut self.read_events[node][index];
            for event in member.engine.cache_events(now, *read, EVENTS_PER_POLL) {
                let missed = event.sequence - *read - 1;
                *read = event.sequence;
                if missed > 0 {
                    events.push(member.cache_event(CacheChange::Gap { missed }));
                }
                events.push(member.cache_event(convert_change(event.change)));
            }
            events.extend(member.load_event(now));
        }
        events
    }

    /// Sum over all engines of the time that blocks were held after their last use.
    pub fn unused_block_seconds(&self, at: Timestamp) -> f64 {
        self.members
            .iter()
            .map(|member| member.engine.cache_statistics(at).unused_block_seconds)
            .sum()
    }
}

impl Member {
    fn heard(&mut self, output: Output) -> Option<(usize, Heard)> {
        match output {
            Output::FirstToken { id } => {
                let (node, ticket) = *self.askers.get(&id)?;
                Some((node, Heard::FirstToken { ticket }))
            }
            Output::Completed(completion) => {
                let (node, ticket) = self.askers.remove(&completion.id)?;
                Some((node, Heard::Completed { ticket, completion }))
            }
            Output::Chunk { .. } | Output::Imported { .. } | Output::CommandDone { .. } => None,
        }
    }

    fn cache_event(&self, change: CacheChange) -> Event {
        Event::Cache {
            engine: self.id.clone(),
            change,
        }
    }

    fn load_event(&mut self, now: Timestamp) -> Option<Event> {
        let report = self.engine.load_report(now)?;
        Some(Event::Load {
            engine: self.id.clone(),
            report: LoadReport {
                measured: report.measured,
                running: report.running,
                waiting: report.waiting,
                waiting_prefill: report.waiting_prefill,
                blocks_used: report.blocks_used,
                blocks_total: report.blocks_total,
            },
        })
    }
}

fn convert_change(change: EngineChange) -> CacheChange {
    match change {
        EngineChange::Stored(blocks) => CacheChange::Stored(blocks),
        EngineChange::Evicted(blocks) => CacheChange::Evicted(blocks),
        EngineChange::Cleared => CacheChange::Cleared,
    }
}

fn zone_name(zone: usize) -> ZoneId {
    ZoneId::new(format!("zone-{zone}"))
}
