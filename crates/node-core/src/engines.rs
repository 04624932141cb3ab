//! Engines as this node sees them: which it polls, and which get new work.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use elderworks_placement::event as placement;
use elderworks_types::{EngineId, Timestamp};

use crate::effect::{Effect, EngineState, EngineView};
use crate::pace::{EnginePace, EngineUse};
use crate::services::KnownEngine;

/// An engine that has not answered for this long is taken to have lost what it held.
pub const GONE_LIMIT: Duration = Duration::from_secs(60);

/// An engine's own word that it is leaving holds for this long unless repeated.
pub const LEAVING_WORD_LIFETIME: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct Engine {
    known: KnownEngine,
    listed_leaving: bool,
    said_leaving: Option<Timestamp>,
    silent: bool,
    gone: bool,
    usage: EngineUse,
    pace: EnginePace,
}

impl Engine {
    fn new(known: KnownEngine, listed_leaving: bool) -> Self {
        Self {
            known,
            listed_leaving,
            said_leaving: None,
            silent: false,
            gone: false,
            usage: EngineUse::default(),
            pace: EnginePace::Resting,
        }
    }

    fn state(&self) -> EngineState {
        if self.silent {
            EngineState::Silent
        } else if self.listed_leaving || self.said_leaving.is_some() {
            EngineState::Leaving
        } else {
            EngineState::Serving
        }
    }
}

/// What follows from a change of the engines.
#[derive(Debug)]
pub enum EngineChange {
    /// For the driver.
    Effect(Effect),
    /// For placement.
    Placement(placement::Event),
    /// The engine is gone with all that it held.
    Gone(EngineId),
}

/// Every engine named by a `Service`.
#[derive(Debug, Default)]
pub struct Engines {
    engines: BTreeMap<EngineId, Engine>,
    listed_leaving: BTreeSet<EngineId>,
}

impl Engines {
    /// Base URL of an engine, or `None` if no service names it.
    pub fn url(&self, engine: &EngineId) -> Option<&str> {
        let engine = self.engines.get(engine)?;
        Some(&engine.known.endpoint.url)
    }

    /// All engines, in order of name.
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

    /// Takes over the engines that services name now.
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

    /// Takes the platform's list of leaving engines.
    pub fn list_leaving(&mut self, leaving: Vec<EngineId>) -> Vec<EngineChange> {
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

    /// The engine said that it is leaving.
    pub fn said_leaving(&mut self, now: Timestamp, id: &EngineId) -> Vec<EngineChange> {
        self.update_one(id, |engine| engine.said_leaving = Some(now))
    }

    /// The engine answered a poll.
    pub fn answered(&mut self, id: &EngineId) -> Vec<EngineChange> {
        self.update_one(id, |engine| {
            engine.silent = false;
            engine.gone = false;
            engine.usage.suspected = false;
        })
    }

    /// The engine has not answered for `silent_for`; from `limit` on it gets no new work.
    pub fn silent(
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
            && silent_for >= GONE_LIMIT
            && !engine.gone
        {
            engine.gone = true;
            changes.push(EngineChange::Gone(id.clone()));
        }
        changes
    }

    /// Time passed: an engine's word that it is leaving lapses unless repeated, and engines at which
    /// no attempt is open come to rest.
    pub fn tick(&mut self, now: Timestamp, in_use: &BTreeSet<EngineId>) -> Vec<EngineChange> {
        let mut changes = Vec::new();
        for (id, engine) in &mut self.engines {
            update(id, engine, &mut changes, |engine| {
                engine.said_leaving = engine
                    .said_leaving
                    .filter(|said| now.since(*said) < LEAVING_WORD_LIFETIME);
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

/// Applies a change and tells placement if the engine's state is another afterwards.
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
