//! The router that all baselines share: tracks engines and their load, and dispatches immediately.

use std::collections::BTreeMap;

use elderworks_placement::event::{CacheChange, LoadReport, ReadyCall};
use elderworks_placement::{Effect, Event, Ticket};
use elderworks_types::{EngineId, Timestamp};

use crate::compare::policy::Policy;

/// A router's view of an engine.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// Engine id.
    pub engine: EngineId,
    /// Latest load report.
    report: Option<LoadReport>,
    /// Unfinished requests of this router with their dispatch times.
    open: BTreeMap<Ticket, Timestamp>,
}

impl EngineView {
    /// Returns the reported number of requests plus the router's own requests dispatched since the
    /// report was measured.
    pub fn requests(&self) -> usize {
        let Some(report) = &self.report else {
            return self.open.len();
        };
        let since = self
            .open
            .values()
            .filter(|sent| **sent > report.measured)
            .count();
        (report.running + report.waiting) as usize + since
    }
}

/// Engine selection of a baseline policy.
pub trait Strategy {
    /// Returns the index of the engine for a call; `engines` must not be empty.
    fn choose(&mut self, call: &ReadyCall, engines: &[EngineView]) -> usize;

    /// Processes a change of an engine's cache.
    fn cache_changed(&mut self, _engine: &EngineId, _change: &CacheChange) {}
}

/// A policy that dispatches each call to the engine chosen by its strategy.
pub struct Router<S> {
    strategy: S,
    engines: Vec<EngineView>,
}

impl<S: Strategy> Router<S> {
    /// Creates a router without engines.
    pub fn new(strategy: S) -> Self {
        Self {
            strategy,
            engines: Vec::new(),
        }
    }

    fn dispatch(&mut self, now: Timestamp, call: &ReadyCall) -> Vec<Effect> {
        let chosen = self.strategy.choose(call, &self.engines);
        let view = &mut self.engines[chosen];
        view.open.insert(call.ticket, now);
        vec![Effect::Dispatch {
            ticket: call.ticket,
            engine: view.engine.clone(),
            engine_priority: 0,
            note: String::new(),
        }]
    }

    fn close(&mut self, ticket: Ticket) {
        for view in &mut self.engines {
            view.open.remove(&ticket);
        }
    }

    fn view_mut(&mut self, engine: &EngineId) -> Option<&mut EngineView> {
        self.engines.iter_mut().find(|view| view.engine == *engine)
    }
}

impl<S: Strategy> Policy for Router<S> {
    fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        match event {
            Event::EngineAdded { engine, .. } => self.engines.push(EngineView {
                engine,
                report: None,
                open: BTreeMap::new(),
            }),
            Event::Load { engine, report } => {
                if let Some(view) = self.view_mut(&engine) {
                    view.report = Some(report);
                }
            }
            Event::Cache { engine, change } => self.strategy.cache_changed(&engine, &change),
            Event::CallReady(call) => return self.dispatch(now, &call),
            Event::Finished { ticket, .. } | Event::Cancelled { ticket } => self.close(ticket),
            _ => {}
        }
        Vec::new()
    }
}
