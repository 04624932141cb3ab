//! What all baselines share: the list of engines, their load, and dispatch at once.

use std::collections::BTreeMap;

use elderworks_placement::event::{CacheChange, LoadReport, ReadyCall};
use elderworks_placement::{Effect, Event, Ticket};
use elderworks_types::{EngineId, Timestamp};

use crate::compare::policy::Policy;

/// An engine as a router sees it.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// Which.
    pub engine: EngineId,
    /// Its newest report.
    report: Option<LoadReport>,
    /// Own requests that are open, with the time of dispatch.
    open: BTreeMap<Ticket, Timestamp>,
}

impl EngineView {
    /// Requests at the engine: those reported, and own ones sent since the report was measured.
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

/// How a baseline chooses.
pub trait Strategy {
    /// Index of the engine for a call; `engines` is not empty.
    fn choose(&mut self, call: &ReadyCall, engines: &[EngineView]) -> usize;

    /// Hears of a change in an engine's cache.
    fn cache_changed(&mut self, _engine: &EngineId, _change: &CacheChange) {}
}

/// A policy that sends every call on as its strategy says.
pub struct Router<S> {
    strategy: S,
    engines: Vec<EngineView>,
}

impl<S: Strategy> Router<S> {
    /// Knows no engine yet.
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
