//! Crashes, starts and departures of engines.

use std::time::Duration;

use super::lost;
use crate::observation::Departure;
use crate::world::World;
use crate::world::event::{Event, NodeStart};

const DEPARTURE_GRACE: Duration = Duration::from_secs(12);

impl World {
    /// An engine's process dies; its readers see their streams break.
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

    /// An engine starts again with an empty cache.
    pub(in crate::world) fn on_engine_start(&mut self, engine: usize) {
        self.engines[engine].up = true;
        self.engines[engine].leaving = false;
    }

    /// An engine says that it is leaving; once idle, or after its grace period, it is replaced.
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

    /// A leaving engine is gone before its time; what starts in its place is not leaving.
    fn end_departure(&mut self, engine: usize) {
        let id = &self.engines[engine].id;
        let departures = self.observations.departures.iter_mut();
        if let Some(departure) = departures.rev().find(|departure| departure.engine == *id) {
            departure.until = departure.until.min(self.now);
        }
    }

    /// How long a leaving engine stays to finish its streams.
    pub(in crate::world) fn departure_grace() -> Duration {
        DEPARTURE_GRACE
    }
}
