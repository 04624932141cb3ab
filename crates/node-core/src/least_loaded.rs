//! Placement by the fewest own attempts, until the placement crate decides.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use elderworks_placement::event::ReadyCall;
use elderworks_placement::{Effect, Event, Ticket};
use elderworks_types::{EngineId, ModelName, Refusal, RefusalReason, Timestamp};

/// Attempts in progress at one engine; further calls wait.
const MAX_PER_ENGINE: usize = 256;

/// Longest time that a call waits for an engine.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// When a refused call may come back.
const RETRY_AFTER: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Engine {
    models: Vec<ModelName>,
    serving: bool,
    running: BTreeSet<Ticket>,
}

/// Sends each call to the serving engine with the fewest attempts of this node.
#[derive(Debug, Default)]
pub(crate) struct LeastLoaded {
    engines: BTreeMap<EngineId, Engine>,
    waiting: VecDeque<(Timestamp, Box<ReadyCall>)>,
}

impl LeastLoaded {
    pub(crate) fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        match event {
            Event::EngineAdded { engine, models, .. } => self.add(engine, models),
            Event::EngineLeaving { engine } => {
                if let Some(engine) = self.engines.get_mut(&engine) {
                    engine.serving = false;
                }
            }
            Event::EngineRemoved { engine } => {
                self.engines.remove(&engine);
            }
            Event::CallReady(call) => self.waiting.push_back((now, call)),
            Event::Finished { ticket, .. } | Event::Cancelled { ticket } => self.forget(ticket),
            _ => {}
        }
        self.place_waiting(now)
    }

    fn add(&mut self, id: EngineId, models: Vec<ModelName>) {
        let engine = self.engines.entry(id).or_insert_with(|| Engine {
            models: Vec::new(),
            serving: true,
            running: BTreeSet::new(),
        });
        engine.models = models;
        engine.serving = true;
    }

    fn forget(&mut self, ticket: Ticket) {
        self.waiting.retain(|(_, call)| call.ticket != ticket);
        for engine in self.engines.values_mut() {
            engine.running.remove(&ticket);
        }
    }

    fn place_waiting(&mut self, now: Timestamp) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (since, call) in std::mem::take(&mut self.waiting) {
            match self.place(&call) {
                Some(engine) => effects.push(Effect::Dispatch {
                    ticket: call.ticket,
                    engine,
                    engine_priority: -i64::from(call.priority),
                    note: "fewest attempts of this node".to_owned(),
                }),
                None if now.since(since) >= MAX_WAIT => effects.push(Effect::Refuse {
                    ticket: call.ticket,
                    refusal: Refusal {
                        reason: RefusalReason::NoBackend,
                        retry_after: Some(RETRY_AFTER),
                    },
                }),
                None => self.waiting.push_back((since, call)),
            }
        }
        effects
    }

    fn place(&mut self, call: &ReadyCall) -> Option<EngineId> {
        let (id, engine) = self
            .engines
            .iter_mut()
            .filter(|(_, engine)| engine.serving && engine.models.contains(&call.model))
            .filter(|(_, engine)| engine.running.len() < MAX_PER_ENGINE)
            .min_by_key(|(_, engine)| engine.running.len())?;
        engine.running.insert(call.ticket);
        Some(id.clone())
    }
}
