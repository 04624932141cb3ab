//! Crashes, restarts and departures of engines.

use std::time::Duration;

use super::lost;
use crate::observation::Departure;
use crate::world::World;
use crate::world::event::{Event, NodeStart};

/// Time between the announcement of a departure and the exit of the engine.
const DEPARTURE_GRACE: Duration = Duration::from_secs(12);

impl World {
    /// Crashes an engine and fails the attempts that were reading its streams.
    pub(in crate::world) fn crash_engine(&mut self, engine: usize, restart_after: Duration) {
        if !self.engines[engine].up {
            return;
        }
        let generations = &mut self.observations.generations;
        let readers = self.engines[engine].crash(self.now, generations);
        self.end_departure(engine);
        self.engines[engine].up = false;
        for (ticket, reader) in readers {
            let start = NodeStart {
                node: reader.node,
                generation: reader.generation,
            };
            self.fail_attempt(start, ticket, self.engine_delay(start, engine), lost());
        }
        self.schedule(restart_after, Event::EngineStart(engine));
    }

    /// Restarts an engine with an empty cache.
    pub(in crate::world) fn on_engine_start(&mut self, engine: usize) {
        self.engines[engine].up = true;
        self.engines[engine].leaving = false;
    }

    /// Announces the departure of an engine.
    pub(in crate::world) fn start_departure(&mut self, engine: usize) {
        if self.engines[engine].leaving || !self.engines[engine].up {
            return;
        }
        self.engines[engine].leaving = true;
        self.observations.departures.push(Departure {
            at: self.now,
            until: self.now.after(DEPARTURE_GRACE),
            engine: self.engines[engine].id.clone(),
        });
    }

    /// Ends a departure early if the engine exits before the end of its grace period. The engine that
    /// replaces it is not leaving.
    fn end_departure(&mut self, engine: usize) {
        let id = &self.engines[engine].id;
        let departures = self.observations.departures.iter_mut();
        if let Some(departure) = departures.rev().find(|departure| departure.engine == *id) {
            departure.until = departure.until.min(self.now);
        }
    }

    /// Returns the time that a leaving engine has to finish its streams.
    pub(in crate::world) fn departure_grace() -> Duration {
        DEPARTURE_GRACE
    }
}
