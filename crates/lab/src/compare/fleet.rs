//! The engines of an experiment, their zones, and the messages between engines and nodes.

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

/// The only model in the comparison.
pub const MODEL: &str = "agent";

/// Maximum number of cache events read from one engine per poll.
const EVENTS_PER_POLL: usize = 256;

/// One-way network latency within a zone.
const SAME_ZONE_LATENCY: Duration = Duration::from_micros(100);

/// Settings of the simulated fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetSettings {
    /// Delay and loss of every engine's feed.
    pub feed: FeedParameters,
}

/// A message on its way to an engine.
#[derive(Debug, PartialEq)]
pub enum EngineAction {
    /// Submit a request.
    Submit {
        /// Index of the sending node.
        node: usize,
        /// The attempt.
        ticket: Ticket,
        /// The generation request.
        request: Request,
    },
    /// Keep a run's blocks.
    Retain {
        /// Run that owns the blocks.
        run: RunId,
        /// Lease duration.
        lease: Duration,
    },
    /// Free a run's blocks.
    Release {
        /// Run that owns the blocks.
        run: RunId,
    },
    /// Fetch a run's blocks from another engine.
    Import {
        /// Run that owns the blocks.
        run: RunId,
        /// Index of the source engine.
        from: usize,
        /// Hashes of the run's blocks.
        chain: Arc<[BlockHash]>,
    },
}

impl Eq for EngineAction {}

/// A message on its way from an engine to a node.
#[derive(Debug, PartialEq, Eq)]
pub enum EngineMessage {
    /// The first token was generated.
    FirstToken {
        /// The attempt.
        ticket: Ticket,
    },
    /// The engine rejected the request.
    Rejected {
        /// The attempt.
        ticket: Ticket,
    },
    /// The answer is complete.
    Completed {
        /// The attempt.
        ticket: Ticket,
        /// Token usage and prefill work of the answer.
        completion: Completion,
    },
}

impl EngineMessage {
    /// Converts the message to an event for placement.
    pub fn event(&self) -> Event {
        match self {
            EngineMessage::FirstToken { ticket } => Event::FirstToken { ticket: *ticket },
            EngineMessage::Rejected { ticket } => Event::Finished {
                ticket: *ticket,
                result: FinishedResult::Rejected,
            },
            EngineMessage::Completed { ticket, completion } => Event::Finished {
                ticket: *ticket,
                result: FinishedResult::Completed {
                    cached: completion.usage.cached,
                    output: completion.usage.output,
                },
            },
        }
    }
}

struct FleetEngine {
    id: EngineId,
    zone: usize,
    engine: Engine,
    /// Time of the next scheduled wake-up.
    next_wake: Option<Timestamp>,
    /// Node and ticket of each unfinished request.
    requesters: HashMap<RequestId, (usize, Ticket)>,
}

/// All engines of an experiment.
pub struct Fleet {
    members: Vec<FleetEngine>,
    node_zones: Vec<usize>,
    zone_latency: Duration,
    /// Sequence number of the last cache event read, by node and engine.
    last_read_events: Vec<Vec<u64>>,
}

impl Fleet {
    /// Creates idle engines, assigned to the zones in rotation.
    pub fn new(preset: &Preset, settings: &FleetSettings, seed: u64) -> Self {
        let parameters = EngineParameters {
            feed: settings.feed.clone(),
            ..EngineParameters::default()
        };
        let member = |index: usize| FleetEngine {
            id: EngineId::new(format!("engine-{index:03}")),
            zone: index % preset.zones,
            engine: Engine::new(
                parameters.clone(),
                [ModelName::new(MODEL)],
                seed.wrapping_mul(31) + index as u64,
            ),
            next_wake: None,
            requesters: HashMap::new(),
        };
        Self {
            members: (0..preset.workers).map(member).collect(),
            node_zones: (0..preset.nodes).map(|node| node % preset.zones).collect(),
            zone_latency: preset.zone_latency,
            last_read_events: vec![vec![0; preset.workers]; preset.nodes],
        }
    }

    /// Returns the zone of a node.
    pub fn node_zone(&self, node: usize) -> ZoneId {
        zone_name(self.node_zones[node])
    }

    /// Returns the events that announce all engines to a node.
    pub fn engine_added_events(&self) -> Vec<Event> {
        let engine_added = |member: &FleetEngine| Event::EngineAdded {
            engine: member.id.clone(),
            zone: zone_name(member.zone),
            models: vec![ModelName::new(MODEL)],
        };
        self.members.iter().map(engine_added).collect()
    }

    /// Returns the index of an engine.
    pub fn index(&self, engine: &EngineId) -> usize {
        self.members
            .iter()
            .position(|member| member.id == *engine)
            .expect("policies use only announced engines")
    }

    /// Returns the one-way network latency between a node and an engine.
    pub fn network_latency(&self, node: usize, engine: usize) -> Duration {
        if self.node_zones[node] == self.members[engine].zone {
            SAME_ZONE_LATENCY
        } else {
            self.zone_latency
        }
    }

    /// Delivers a message to an engine; returns the immediate replies with their nodes.
    pub fn deliver(
        &mut self,
        now: Timestamp,
        engine: usize,
        action: EngineAction,
    ) -> Vec<(usize, EngineMessage)> {
        match action {
            EngineAction::Submit {
                node,
                ticket,
                request,
            } => {
                let member = &mut self.members[engine];
                let id = request.id.clone();
                if member.engine.submit(now, request).is_err() {
                    return vec![(node, EngineMessage::Rejected { ticket })];
                }
                member.requesters.insert(id, (node, ticket));
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

    /// Returns whether the engine's wake-up is due and clears it. Superseded wake-ups return false.
    pub fn is_due(&mut self, engine: usize, now: Timestamp) -> bool {
        let due = self.members[engine].next_wake == Some(now);
        if due {
            self.members[engine].next_wake = None;
        }
        due
    }

    /// Advances an engine to `now`; returns its messages with their nodes.
    pub fn advance(&mut self, now: Timestamp, engine: usize) -> Vec<(usize, EngineMessage)> {
        let member = &mut self.members[engine];
        let outputs = member.engine.advance(now);
        outputs
            .into_iter()
            .filter_map(|output| member.handle_output(output))
            .collect()
    }

    /// Reschedules the engine's wake-up and returns it, if its next event is earlier than the
    /// scheduled wake-up.
    pub fn schedule_wake(&mut self, engine: usize) -> Option<Timestamp> {
        let member = &mut self.members[engine];
        let next = member.engine.next_event_at()?;
        if member.next_wake.is_some_and(|next_wake| next_wake <= next) {
            return None;
        }
        member.next_wake = Some(next);
        Some(next)
    }

    /// Returns the cache and load events that a node has not yet read from the engines' feeds.
    pub fn poll(&mut self, now: Timestamp, node: usize) -> Vec<Event> {
        let mut events = Vec::new();
        for (index, member) in self.members.iter_mut().enumerate() {
            let read = &mut self.last_read_events[node][index];
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

    /// Returns the total block-seconds, over all engines, that blocks were held after their last
    /// use.
    pub fn unused_block_seconds(&self, at: Timestamp) -> f64 {
        self.members
            .iter()
            .map(|member| member.engine.cache_statistics(at).unused_block_seconds)
            .sum()
    }
}

impl FleetEngine {
    fn handle_output(&mut self, output: Output) -> Option<(usize, EngineMessage)> {
        match output {
            Output::FirstToken { id } => {
                let (node, ticket) = *self.requesters.get(&id)?;
                Some((node, EngineMessage::FirstToken { ticket }))
            }
            Output::Completed(completion) => {
                let (node, ticket) = self.requesters.remove(&completion.id)?;
                Some((node, EngineMessage::Completed { ticket, completion }))
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
