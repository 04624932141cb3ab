//! Reads which prompt prefixes engines have cached, for the engines that are assigned to this node.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use elderworks_gateway_core::config::ServingConfig;
use elderworks_gateway_core::engine_memory::log::LogChange;
use elderworks_gateway_core::engine_memory::readers::reader_of;
use elderworks_gateway_core::engine_memory::reading::{
    EVENT_WAIT, EngineReader, ReadOutcome, Step,
};
use elderworks_gateway_core::engine_memory::snapshots::MemorySnapshot;
use elderworks_gateway_core::peer_loads::WorkerKey;
use elderworks_types::{NodeId, Timestamp};

use crate::gateway::{Gateway, Stage};
use crate::ports::EngineError;

/// Interval at which a node updates the set of engines that it reads.
const ASSIGNMENT_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of engines that one node reads. Further engines are not read by any node.
const MAX_ENGINES_READ: usize = 64;

/// The engines that this node reads.
#[derive(Debug, Default)]
pub(crate) struct Engines {
    readings: RefCell<BTreeMap<EngineStart, Reading>>,
}

/// One start of an engine process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EngineStart {
    worker: String,
    born: u64,
    address: SocketAddr,
}

/// An engine that is being read; dropping it stops the task.
#[derive(Debug)]
struct Reading {
    reader: EngineReader,
    task: JoinHandle<()>,
}

impl Drop for Reading {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Engines {
    fn next(&self, start: &EngineStart, now: Timestamp) -> Option<Step> {
        let readings = self.readings.borrow();
        Some(readings.get(start)?.reader.next(now))
    }

    fn apply_outcome(
        &self,
        start: &EngineStart,
        sent: Timestamp,
        now: Timestamp,
        outcome: &ReadOutcome,
    ) -> Option<LogChange> {
        let mut readings = self.readings.borrow_mut();
        Some(readings.get_mut(start)?.reader.take(sent, now, outcome))
    }

    /// Returns what this node currently knows of the memory of the engines that it reads.
    pub(crate) fn snapshots(&self, gateway: &Gateway) -> BTreeMap<WorkerKey, MemorySnapshot> {
        let workers = gateway.workers.borrow();
        let readings = self.readings.borrow();
        let known = readings.iter().filter_map(|(start, reading)| {
            let worker = workers.get(&start.worker)?;
            let read_at = reading.reader.observed_at()?;
            let snapshot = workers.snapshot_of(worker, read_at, reading.reader.log());
            Some((worker.key(), snapshot))
        });
        known.collect()
    }
}

/// Reads the engines assigned to this node until the process ends.
pub(crate) async fn read_engines(gateway: Rc<Gateway>) {
    if !gateway.settings.policy.engine_reading {
        return;
    }
    while gateway.stage() < Stage::Closing {
        actix_rt::time::sleep(ASSIGNMENT_INTERVAL).await;
        let config = gateway.current_config();
        let assigned = config.map_or_else(Vec::new, |config| assigned(&gateway, &config));
        update_readings(&gateway, assigned);
    }
    gateway.engines.readings.borrow_mut().clear();
}

/// Returns the engines assigned to this node, which is the preferred reader of each in its zone.
fn assigned(gateway: &Gateway, config: &ServingConfig) -> Vec<EngineStart> {
    let own = &gateway.settings.node;
    let serving = gateway.serving.borrow();
    if !serving.contains(own) {
        return Vec::new();
    }
    let nodes = gateway.nodes.borrow();
    let zone_of = |node: &NodeId| nodes.get(node).map(|known| known.record.zone.as_str());
    let serving: Vec<(&NodeId, &str)> = serving
        .iter()
        .filter_map(|node| Some((node, zone_of(node)?)))
        .collect();
    let has_events = |service: &str| {
        let engine = config
            .service(service)
            .and_then(|known| known.engine.as_ref());
        engine.is_some_and(|engine| engine.memory_moves.max_event_calls > 0)
    };
    let workers = gateway.workers.borrow();
    let engines = workers
        .iter()
        .filter(|worker| workers.is_accepting(worker) && has_events(&worker.record.service));
    engines
        .filter(|worker| {
            let nodes = serving.iter().copied();
            reader_of(worker.key(), &worker.record.zone, nodes) == Some(own)
        })
        .take(MAX_ENGINES_READ)
        .map(|worker| EngineStart {
            worker: worker.record.id.clone(),
            born: worker.record.born,
            address: worker.record.address,
        })
        .collect()
}

/// Starts to read newly assigned engines and stops reading those that are no longer assigned.
fn update_readings(gateway: &Rc<Gateway>, assigned: Vec<EngineStart>) {
    let mut readings = gateway.engines.readings.borrow_mut();
    let before = readings.len();
    readings.retain(|start, _| assigned.contains(start));
    let kept = readings.len();
    for start in assigned {
        readings.entry(start.clone()).or_insert_with(|| Reading {
            reader: EngineReader::new(rand::random(), gateway.now()),
            task: actix_rt::spawn(read(gateway.clone(), start)),
        });
    }
    if kept != before || readings.len() != kept {
        log::info!(engines = readings.len(), dropped = before - kept, added = readings.len() - kept; "set of engines read by this node changed");
    }
    gateway.metrics.note_engines_read(readings.len());
}

/// Reads one engine until it is no longer assigned to this node.
async fn read(gateway: Rc<Gateway>, start: EngineStart) {
    while let Some(step) = gateway.engines.next(&start, gateway.now()) {
        let sent = gateway.now();
        let outcome = match step {
            Step::Pause(pause) => {
                actix_rt::time::sleep(pause).await;
                continue;
            }
            Step::Events { since } => {
                let platform = &gateway.platform;
                let answer = platform.memory_events(start.address, since, EVENT_WAIT);
                answer.await.map(ReadOutcome::Events)
            }
            Step::Listing => {
                let listing = gateway.platform.memory_listing(start.address);
                listing.await.map(ReadOutcome::Listing)
            }
        };
        record_outcome(&gateway, &start, sent, step, outcome);
    }
}

/// Applies the outcome of one call to an engine and counts it.
fn record_outcome(
    gateway: &Gateway,
    start: &EngineStart,
    sent: Timestamp,
    step: Step,
    answer: Result<ReadOutcome, EngineError>,
) {
    let (outcome, label) = match answer {
        Ok(outcome) => (outcome, "answered"),
        Err(EngineError::Refused(_)) => (ReadOutcome::Refused, "refused"),
        Err(EngineError::NotReached(_) | EngineError::NotSent(_) | EngineError::Unknown(_)) => {
            (ReadOutcome::Failed, "failed")
        }
        Err(EngineError::Format(_)) => (ReadOutcome::Failed, "unreadable"),
    };
    let call = match step {
        Step::Listing => "list",
        Step::Events { .. } | Step::Pause(_) => "events",
    };
    gateway.metrics.note_engine_read(call, label);
    let change = gateway
        .engines
        .apply_outcome(start, sent, gateway.now(), &outcome);
    match change {
        Some(LogChange::Restarted) => {
            log::info!(worker = start.worker.as_str(); "engine has restarted; its recorded memory is discarded");
        }
        Some(LogChange::Gap) => {
            log::info!(worker = start.worker.as_str(); "missed events of an engine's memory; reading the full list");
        }
        Some(LogChange::Applied) | None => {}
    }
}
