//! Probes of workers at which requests were left without an answer: whether the worker ended or only the
//! connection.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderworks_gateway_core::peer_loads::WorkerKey;
use elderworks_gateway_core::worker_ends::investigation::{Finding, Investigation, NextProbe};
use elderworks_types::Timestamp;
use tokio::sync::{Notify, watch};

use crate::gateway::Gateway;
use crate::peers;
use crate::ports::IdentityProbe;

/// Maximum time that a request waits for the first finding.
const MAX_FINDING_WAIT: Duration = Duration::from_millis(60);

/// A worker that may have ended.
#[derive(Clone, Debug)]
pub(crate) struct Suspected {
    /// Id of the worker.
    pub(crate) worker: String,
    /// Its address.
    pub(crate) address: SocketAddr,
    /// Name of its service.
    pub(crate) service: String,
}

/// The investigations in progress, by worker.
#[derive(Debug, Default)]
pub(crate) struct WorkerProbes {
    running: RefCell<HashMap<WorkerKey, Rc<RunningInvestigation>>>,
}

/// An investigation in progress.
#[derive(Debug)]
struct RunningInvestigation {
    /// Number of findings so far.
    findings: watch::Sender<u64>,
    /// When the latest exchange was left without an answer.
    broke_off: Cell<Timestamp>,
    /// Wakes the investigation when the next finding is wanted early.
    wake: Notify,
}

impl RunningInvestigation {
    fn note_break(&self, broke_off: Timestamp) {
        self.broke_off.set(self.broke_off.get().max(broke_off));
    }
}

/// Starts to find out whether a worker has ended, after a pause in which it may answer other requests.
pub(crate) fn investigate_after(
    gateway: &Rc<Gateway>,
    suspected: Suspected,
    broke_off: Timestamp,
    pause: Duration,
) {
    join(gateway, suspected, broke_off, pause);
}

/// Finds out whether a worker has ended; waits a limited time for the first finding.
pub(crate) async fn investigate_and_wait(
    gateway: &Rc<Gateway>,
    suspected: Suspected,
    broke_off: Timestamp,
) {
    let running = join(gateway, suspected, broke_off, Duration::ZERO);
    running.wake.notify_one();
    let mut findings = running.findings.subscribe();
    // A worker that doesn't answer in time stays unsettled.
    let _ = actix_rt::time::timeout(MAX_FINDING_WAIT, findings.changed()).await;
}

/// Joins the investigation of a worker, or starts it after a pause.
fn join(
    gateway: &Rc<Gateway>,
    suspected: Suspected,
    broke_off: Timestamp,
    pause: Duration,
) -> Rc<RunningInvestigation> {
    let key = WorkerKey::of(&suspected.worker);
    let mut all = gateway.worker_probes.running.borrow_mut();
    if let Some(running) = all.get(&key) {
        running.note_break(broke_off);
        return running.clone();
    }
    let running = Rc::new(RunningInvestigation {
        findings: watch::Sender::new(0),
        broke_off: Cell::new(broke_off),
        wake: Notify::new(),
    });
    all.insert(key, running.clone());
    drop(all);
    let gateway = gateway.clone();
    let task = running.clone();
    actix_rt::spawn(async move {
        sleep_unless_woken(&task, pause).await;
        run(&gateway, &suspected, &task).await;
        gateway.worker_probes.running.borrow_mut().remove(&key);
        task.findings.send_modify(|count| *count += 1);
    });
    running
}

async fn sleep_unless_woken(running: &RunningInvestigation, pause: Duration) {
    tokio::select! {
        () = actix_rt::time::sleep(pause) => {}
        () = running.wake.notified() => {}
    }
}

/// Probes a worker until its fate is settled or a process of its id answers, or no request is known any
/// more that it left without an answer.
async fn run(gateway: &Rc<Gateway>, suspected: &Suspected, running: &RunningInvestigation) {
    let worker = suspected.worker.as_str();
    let key = WorkerKey::of(worker);
    loop {
        if !gateway.requests.ends.borrow().may_have_ended(key) {
            return;
        }
        let finding = probe(gateway, suspected).await;
        log::info!(
            worker = worker, finding:? = finding,
            after_ms = gateway.now().since(running.broke_off.get()).as_millis();
            "probed a worker on a new connection"
        );
        if finding == Finding::Answered {
            let now = gateway.now();
            gateway.workers.borrow_mut().note_heard(worker, now);
        }
        let is_listed = gateway.workers.borrow().is_listed(worker);
        // A request may have been left without an answer during the probe.
        let investigation = Investigation::of_exchange(running.broke_off.get());
        match investigation.on_finding(gateway.now(), finding, is_listed) {
            NextProbe::Settled(fate) => return peers::settle(gateway, worker, fate),
            NextProbe::Undecided => {
                gateway.requests.ends.borrow_mut().note_undecided(key);
                return;
            }
            NextProbe::After(pause) => {
                running.findings.send_modify(|count| *count += 1);
                sleep_unless_woken(running, pause).await;
            }
        }
    }
}

async fn probe(gateway: &Gateway, suspected: &Suspected) -> Finding {
    gateway.metrics.worker_probes.inc();
    let config = gateway.current_config();
    let service = config
        .as_ref()
        .and_then(|config| config.service(&suspected.service));
    let probe = IdentityProbe {
        worker_id: &suspected.worker,
        address: suspected.address,
        health_path: service.map_or("/", |service| service.health_path.as_str()),
    };
    gateway.platform.identify(&probe).await
}
