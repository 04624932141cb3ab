//! Polling of engines by nodes for load, holdings and departure.

use std::time::Duration;

use elderworks_node_core::Event as NodeEvent;
use elderworks_node_core::pace::EnginePace;
use elderworks_placement::event::LoadReport;
use elderworks_types::{EngineId, Tokens};

use super::engine_direction;
use crate::world::event::{EngineRequest, Event, NodeStart};
use crate::world::{WatchedEngine, World};

/// Size of an engine's cache, in blocks.
const BLOCKS_TOTAL: u32 = 4_096;

impl World {
    /// Starts polling an engine for a node.
    pub(in crate::world) fn watch_engine(&mut self, from: NodeStart, engine: &EngineId) {
        let Some(engine) = self.engine_by_id(engine) else {
            return;
        };
        let watched = WatchedEngine {
            last_answer: self.now,
            pace: EnginePace::Idle,
        };
        if self.nodes[from.node]
            .watched
            .insert(engine, watched)
            .is_none()
        {
            self.schedule(Duration::ZERO, Event::EnginePoll { from, engine });
        }
    }

    /// Polls an engine, or reports that it is silent if it cannot be reached.
    pub(in crate::world) fn on_engine_poll(&mut self, from: NodeStart, engine: usize) {
        let is_current = self.nodes[from.node].slot.generation() == from.generation;
        let Some(watched) = self.nodes[from.node].watched.get_mut(&engine) else {
            return;
        };
        if !is_current {
            return;
        }
        let interval = watched.pace.interval();
        let last_answer = watched.last_answer;
        self.schedule(interval, Event::EnginePoll { from, engine });
        let id = self.engines[engine].id.clone();
        let direction = engine_direction(from, engine);
        let is_cut = self.network.cut_until(direction, self.now).is_some();
        if is_cut || !self.engines[engine].up {
            let silent_for = self.now.since(last_answer);
            let silent = NodeEvent::EngineSilent {
                engine: id,
                silent_for,
            };
            self.deliver_to_node(from, silent);
            return;
        }
        if let Some(watched) = self.nodes[from.node].watched.get_mut(&engine) {
            watched.last_answer = self.now;
        }
        self.request_engine(from, &id, EngineRequest::Poll);
    }

    pub(super) fn answer_poll(&mut self, from: NodeStart, index: usize) {
        let measured = self.nodes[from.node].slot.clock.read(self.now);
        let engine = &self.engines[index];
        let id = engine.id.clone();
        let runs = engine.holdings();
        let is_leaving = engine.leaving;
        let report = LoadReport {
            measured,
            running: engine.running() as u32,
            waiting: 0,
            waiting_prefill: Tokens::ZERO,
            blocks_used: runs.len() as u32,
            blocks_total: BLOCKS_TOTAL,
        };
        let load = NodeEvent::EngineLoad {
            engine: id.clone(),
            report,
        };
        self.deliver_from_engine(from, index, load);
        let holdings = NodeEvent::EngineHoldings {
            engine: id.clone(),
            runs,
        };
        self.deliver_from_engine(from, index, holdings);
        if is_leaving {
            self.deliver_from_engine(from, index, NodeEvent::EngineLeaving { engine: id });
        }
    }
}
