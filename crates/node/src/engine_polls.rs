//! Polling of engines for state, load, cache events and holdings, at intervals set by the state
//! machine.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use elderworks_backend::{BackendError, EngineClient, HttpClient, HttpEngineClient};
use elderworks_node_core::Event;
use elderworks_node_core::pace::EnginePace;
use elderworks_placement::event::{CacheChange, LoadReport};
use elderworks_platform_api::engine::{self as api, ServingState};
use elderworks_types::{EngineId, Timestamp, Tokens};
use tokio::sync::watch;

use crate::attempts::engine_client;
use crate::clock::Clock;
use crate::input::{Input, InputSender};

/// Polling tasks by engine.
pub(crate) struct EnginePolls {
    http: HttpClient,
    inputs: InputSender,
    clock: Clock,
    polls: BTreeMap<EngineId, WatchedEngine>,
}

/// The polling task of an engine, and the channel that sets its pace.
struct WatchedEngine {
    task: JoinHandle<()>,
    pace: watch::Sender<EnginePace>,
}

impl EnginePolls {
    pub(crate) fn new(http: HttpClient, inputs: InputSender, clock: Clock) -> Self {
        Self {
            http,
            inputs,
            clock,
            polls: BTreeMap::new(),
        }
    }

    /// Starts polling an engine, replacing an earlier polling task.
    pub(crate) fn watch(&mut self, engine: EngineId, url: &str) {
        let (pace, pace_changes) = watch::channel(EnginePace::Idle);
        let poll = EnginePoll {
            engine: engine.clone(),
            client: engine_client(&self.http, url),
            inputs: self.inputs.clone(),
            clock: self.clock,
            last_answer: Instant::now(),
            instance: None,
            last_event: 0,
            pace: pace_changes,
        };
        let task = actix_rt::spawn(poll.run());
        if let Some(earlier) = self.polls.insert(engine, WatchedEngine { task, pace }) {
            earlier.task.abort();
        }
    }

    /// Changes the pace at which an engine is polled.
    pub(crate) fn pace(&self, engine: &EngineId, pace: EnginePace) {
        if let Some(watched) = self.polls.get(engine) {
            watched.pace.send_replace(pace);
        }
    }

    /// Stops polling an engine.
    pub(crate) fn forget(&mut self, engine: &EngineId) {
        if let Some(watched) = self.polls.remove(engine) {
            watched.task.abort();
        }
    }
}

/// State of an engine's polling task.
struct EnginePoll {
    engine: EngineId,
    client: HttpEngineClient,
    inputs: InputSender,
    clock: Clock,
    /// Time of the last successful poll.
    last_answer: Instant,
    /// Instance number that the engine last reported; a restart changes it.
    instance: Option<u64>,
    /// Sequence number of the last received cache event.
    last_event: u64,
    pace: watch::Receiver<EnginePace>,
}

impl EnginePoll {
    async fn run(mut self) {
        let mut round = 0_u32;
        loop {
            let pace = *self.pace.borrow_and_update();
            match self.poll(pace, round).await {
                Ok(()) => self.last_answer = Instant::now(),
                Err(_) => {
                    let silent = Event::EngineSilent {
                        engine: self.engine.clone(),
                        silent_for: self.last_answer.elapsed(),
                    };
                    self.report(silent).await;
                }
            }
            if self.inputs.is_closed() {
                return;
            }
            round = round.wrapping_add(1);
            if self.wait_for_pace_change(pace.interval()).await {
                // The first round of the new pace polls everything.
                round = 0;
            }
        }
    }

    /// Waits for `interval`, or until the pace changes. Returns whether the pace changed.
    async fn wait_for_pace_change(&mut self, interval: Duration) -> bool {
        let changed = actix_rt::time::timeout(interval, self.pace.changed());
        matches!(changed.await, Ok(Ok(())))
    }

    async fn poll(&mut self, pace: EnginePace, round: u32) -> Result<(), BackendError> {
        let state = self.client.state().await?;
        if state.state == ServingState::Leaving {
            let engine = self.engine.clone();
            self.report(Event::EngineLeaving { engine }).await;
        }
        if round.is_multiple_of(pace.polls_per_load()) {
            let load = self.client.load().await?;
            let report = load_report(&load, self.clock.now());
            let engine = self.engine.clone();
            self.report(Event::EngineLoad { engine, report }).await;
        }
        if round.is_multiple_of(pace.polls_per_cache_events()) {
            self.poll_cache().await?;
        }
        if round.is_multiple_of(pace.polls_per_holdings()) {
            let holdings = self.client.holdings().await?;
            let holdings = Event::EngineHoldings {
                engine: self.engine.clone(),
                runs: holdings.runs.iter().map(|holding| holding.run).collect(),
            };
            self.report(holdings).await;
        }
        let engine = self.engine.clone();
        self.report(Event::EngineAnswered { engine }).await;
        Ok(())
    }

    async fn poll_cache(&mut self) -> Result<(), BackendError> {
        let answer = self.client.cache_events(self.last_event).await?;
        let restarted = self.instance.is_some_and(|known| known != answer.instance);
        self.instance = Some(answer.instance);
        if restarted {
            self.last_event = 0;
            self.report_cache(CacheChange::Cleared).await;
            return Ok(());
        }
        for event in answer.events {
            let missed = event.sequence.saturating_sub(self.last_event + 1);
            if missed > 0 {
                self.report_cache(CacheChange::Gap { missed }).await;
            }
            self.last_event = self.last_event.max(event.sequence);
            self.report_cache(cache_change(event.change)).await;
        }
        Ok(())
    }

    async fn report_cache(&self, change: CacheChange) {
        let engine = self.engine.clone();
        self.report(Event::EngineCache { engine, change }).await;
    }

    async fn report(&self, event: Event) {
        // The receiver is gone only if the node has stopped.
        let _ = self.inputs.send(Input::Event(Box::new(event))).await;
    }
}

fn load_report(load: &api::EngineLoad, now: Timestamp) -> LoadReport {
    let age_micros = load.age_ms.saturating_mul(1_000);
    LoadReport {
        measured: Timestamp(now.0.saturating_sub(age_micros)),
        running: load.running,
        waiting: load.waiting,
        waiting_prefill: Tokens(load.waiting_prefill_tokens),
        blocks_used: load.blocks_used,
        blocks_total: load.blocks_total,
    }
}

fn cache_change(change: api::CacheChange) -> CacheChange {
    match change {
        api::CacheChange::Stored(blocks) => CacheChange::Stored(blocks),
        api::CacheChange::Evicted(blocks) => CacheChange::Evicted(blocks),
        api::CacheChange::Cleared => CacheChange::Cleared,
    }
}
