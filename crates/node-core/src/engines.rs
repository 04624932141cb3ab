//! Engines known to this node: which of them are polled, and which take new attempts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use elderworks_placement::event as placement;
use elderworks_types::{EngineId, Timestamp};

use crate::effect::{Effect, EngineState, EngineView};
use crate::pace::{EnginePace, EngineUse};
use crate::services::KnownEngine;

/// Time without an answer after which an engine is assumed to have lost its memory.
pub const GONE_AFTER: Duration = Duration::from_secs(60);

/// Time for which an engine's announcement that it is leaving is valid unless it is repeated.
pub const LEAVING_NOTICE_LIFETIME: Duration = Duration::from_secs(3);

/// State of one engine.
#[derive(Debug)]
struct Engine {
    known: KnownEngine,
    /// Whether the platform's machine list marks it as leaving.
    listed_leaving: bool,
    /// Time of its last announcement that it is leaving.
    announced_leaving: Option<Timestamp>,
    /// Whether it has not answered for the configured limit.
    silent: bool,
    /// Whether it has not answered for [`GONE_AFTER`].
    gone: bool,
    usage: EngineUse,
    pace: EnginePace,
}

impl Engine {
    fn new(known: KnownEngine, listed_leaving: bool) -> Self {
        Self {
            known,
            listed_leaving,
            announced_leaving: None,
            silent: false,
            gone: false,
            usage: EngineUse::default(),
            pace: EnginePace::Idle,
        }
    }

    fn state(&self) -> EngineState {
        if self.silent {
            EngineState::Silent
        } else if self.listed_leaving || self.announced_leaving.is_some() {
            EngineState::Leaving
        } else {
            EngineState::Serving
        }
    }
}

/// Consequence of a change of the engines.
#[derive(Debug)]
pub enum EngineChange {
    /// An effect for the driver.
    Effect(Effect),
    /// An event for placement.
    Placement(placement::Event),
    /// The engine has lost all memory that it held for runs.
    Gone(EngineId),
}

/// All engines listed by a `Service`.
#[derive(Debug, Default)]
pub struct Engines {
    engines: BTreeMap<EngineId, Engine>,
    listed_leaving: BTreeSet<EngineId>,
}

impl Engines {
    /// Returns the base URL of an engine, or `None` if no service lists it.
    pub fn url(&self, engine: &EngineId) -> Option<&str> {
        let engine = self.engines.get(engine)?;
        Some(&engine.known.endpoint.url)
    }

    /// Returns all engines, ordered by name.
    pub fn views(&self) -> Vec<EngineView> {
        self.engines
            .iter()
            .map(|(id, engine)| EngineView {
                id: id.clone(),
                zone: engine.known.endpoint.zone.clone(),
                url: engine.known.endpoint.url.clone(),
                models: engine.known.models.clone(),
                state: engine.state(),
            })
            .collect()
    }

    /// Replaces the set of engines with those that the services list.
    pub fn configure(&mut self, wanted: BTreeMap<EngineId, KnownEngine>) -> Vec<EngineChange> {
        let mut changes = Vec::new();
        let removed: Vec<EngineId> = self
            .engines
            .keys()
            .filter(|id| !wanted.contains_key(*id))
            .cloned()
            .collect();
        for id in removed {
            self.remove(&id, &mut changes);
        }
        for (id, known) in wanted {
            self.configure_one(id, known, &mut changes);
        }
        changes
    }

    fn configure_one(&mut self, id: EngineId, known: KnownEngine, changes: &mut Vec<EngineChange>) {
        if let Some(present) = self.engines.get(&id) {
            if present.known == known {
                return;
            }
            if present.known.endpoint.url != known.endpoint.url {
                self.remove(&id, changes);
            }
        }
        let is_new = !self.engines.contains_key(&id);
        let listed_leaving = self.listed_leaving.contains(&id);
        let engine = self
            .engines
            .entry(id.clone())
            .or_insert_with(|| Engine::new(known.clone(), listed_leaving));
        engine.known = known;
        if is_new {
            changes.push(EngineChange::Effect(Effect::WatchEngine {
                engine: id.clone(),
                url: engine.known.endpoint.url.clone(),
            }));
        }
        announce(&id, engine, changes);
    }

    fn remove(&mut self, id: &EngineId, changes: &mut Vec<EngineChange>) {
        self.engines.remove(id);
        changes.push(EngineChange::Effect(Effect::ForgetEngine {
            engine: id.clone(),
        }));
        changes.push(EngineChange::Placement(placement::Event::EngineRemoved {
            engine: id.clone(),
        }));
        changes.push(EngineChange::Gone(id.clone()));
    }

    /// Applies the platform's list of leaving engines.
    pub fn set_listed_leaving(&mut self, leaving: Vec<EngineId>) -> Vec<EngineChange> {
        self.listed_leaving = leaving.into_iter().collect();
        let mut changes = Vec::new();
        for (id, engine) in &mut self.engines {
            let listed = self.listed_leaving.contains(id);
            update(id, engine, &mut changes, |engine| {
                engine.listed_leaving = listed;
            });
        }
        changes
    }

    /// Records that an engine announced that it is leaving.
    pub fn record_leaving(&mut self, now: Timestamp, id: &EngineId) -> Vec<EngineChange> {
        self.update_one(id, |engine| engine.announced_leaving = Some(now))
    }

    /// Records that an engine answered a poll.
    pub fn record_answer(&mut self, id: &EngineId) -> Vec<EngineChange> {
        self.update_one(id, |engine| {
            engine.silent = false;
            engine.gone = false;
            engine.usage.suspected = false;
        })
    }

    /// Records that an engine has not answered for `silent_for`. From `limit` on it gets no new attempts.
    pub fn record_silence(
        &mut self,
        id: &EngineId,
        silent_for: Duration,
        limit: Duration,
    ) -> Vec<EngineChange> {
        let mut changes = self.update_one(id, |engine| {
            engine.silent = engine.silent || silent_for >= limit;
            engine.usage.suspected = !engine.silent;
        });
        if let Some(engine) = self.engines.get_mut(id)
            && silent_for >= GONE_AFTER
            && !engine.gone
        {
            engine.gone = true;
            changes.push(EngineChange::Gone(id.clone()));
        }
        changes
    }

    /// Expires announcements of leaving and updates the polling pace of each engine. `in_use` contains
    /// the engines with open attempts.
    pub fn tick(&mut self, now: Timestamp, in_use: &BTreeSet<EngineId>) -> Vec<EngineChange> {
        let mut changes = Vec::new();
        for (id, engine) in &mut self.engines {
            update(id, engine, &mut changes, |engine| {
                engine.announced_leaving = engine
                    .announced_leaving
                    .filter(|at| now.since(*at) < LEAVING_NOTICE_LIFETIME);
            });
            if in_use.contains(id) {
                engine.usage.last_attempt = Some(now);
            }
            set_pace(id, engine, engine.usage.pace(now), &mut changes);
        }
        changes
    }

    fn update_one(&mut self, id: &EngineId, change: impl FnOnce(&mut Engine)) -> Vec<EngineChange> {
        let mut changes = Vec::new();
        if let Some(engine) = self.engines.get_mut(id) {
            update(id, engine, &mut changes, change);
        }
        changes
    }
}

fn set_pace(id: &EngineId, engine: &mut Engine, pace: EnginePace, changes: &mut Vec<EngineChange>) {
    if engine.pace == pace {
        return;
    }
    engine.pace = pace;
    changes.push(EngineChange::Effect(Effect::PaceEngine {
        engine: id.clone(),
        pace,
    }));
}

/// Applies a change and notifies placement if the state of the engine differs afterwards.
fn update(
    id: &EngineId,
    engine: &mut Engine,
    changes: &mut Vec<EngineChange>,
    change: impl FnOnce(&mut Engine),
) {
    let before = engine.state();
    change(engine);
    if engine.state() != before {
        announce(id, engine, changes);
    }
}

/// Adds the event by which placement learns the state of an engine.
fn announce(id: &EngineId, engine: &Engine, changes: &mut Vec<EngineChange>) {
    let added = placement::Event::EngineAdded {
        engine: id.clone(),
        zone: engine.known.endpoint.zone.clone(),
        models: engine.known.models.clone(),
    };
    let leaving = placement::Event::EngineLeaving { engine: id.clone() };
    match engine.state() {
        EngineState::Serving => changes.push(EngineChange::Placement(added)),
        EngineState::Leaving | EngineState::Silent => {
            changes.push(EngineChange::Placement(leaving));
        }
    }
}
