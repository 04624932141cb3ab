//! Admission of turns to engines at this node: the queue of waiting turns and the admitted ones.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use elderworks_gateway_core::admission::{Admission, AdmissionRules, QueueLimits, Room, Ticket};
use tokio::sync::oneshot;

use crate::gateway::Gateway;
use crate::settings::GatewaySettings;

/// Interval at which a node with queued turns checks for slots that other nodes have released.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum number of turns queued at one node. Large enough for a node's callers within the maximum
/// wait, and small enough to be searched at each release.
const MAX_QUEUED_TURNS: usize = 512;

/// Divisor of the process's memory limit that gives the memory available to the bodies of queued
/// turns. The bodies of all requests may take a fifth of the memory.
const MEMORY_DIVISOR: usize = 12;

/// The outcome for a queued turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The turn may run.
    Admitted,
    /// The turn was displaced by a more urgent one.
    Evicted,
}

/// This node's admission queue and the tasks that wait in it.
#[derive(Debug)]
pub(crate) struct AdmissionDriver {
    pub(crate) core: RefCell<Admission>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Verdict>>>,
    is_polling: Cell<bool>,
}

impl AdmissionDriver {
    /// Creates an empty queue.
    pub(crate) fn new(settings: &GatewaySettings) -> Self {
        let policy = &settings.policy;
        let core = Admission::new(AdmissionRules {
            mode: policy.admission,
            full_share: policy.full_share,
            floor_interval: policy.floor_interval,
            fair_share: policy.fair_share,
            limits: QueueLimits {
                entries: MAX_QUEUED_TURNS,
                bytes: settings.memory_bytes / MEMORY_DIVISOR,
            },
        });
        Self {
            core: RefCell::new(core),
            waiting: RefCell::default(),
            is_polling: Cell::default(),
        }
    }

    /// Sends a verdict to a queued turn. Returns whether the turn received it.
    fn notify(&self, ticket: Ticket, verdict: Verdict) -> bool {
        let waiting = self.waiting.borrow_mut().remove(&ticket);
        waiting.is_some_and(|waiting| waiting.send(verdict).is_ok())
    }
}

/// A queued turn. Dropping it before it receives its verdict withdraws it.
pub(crate) struct QueuedTurn {
    gateway: Rc<Gateway>,
    service: String,
    ticket: Ticket,
    verdict: oneshot::Receiver<Verdict>,
    has_verdict: bool,
}

impl QueuedTurn {
    /// Queues a turn under the ticket assigned by [`Admission`].
    pub(crate) fn enqueue(gateway: &Rc<Gateway>, service: &str, ticket: Ticket) -> Self {
        let (sender, verdict) = oneshot::channel();
        let driver = &gateway.admission;
        driver.waiting.borrow_mut().insert(ticket, sender);
        gateway.update_queue_metric();
        if !driver.is_polling.replace(true) {
            actix_rt::spawn(poll_for_slots(gateway.clone()));
        }
        Self {
            gateway: gateway.clone(),
            service: service.to_owned(),
            ticket,
            verdict,
            has_verdict: false,
        }
    }

    /// Waits for the verdict; `None` if there is none by `until`.
    pub(crate) async fn wait(mut self, until: Instant) -> Option<Verdict> {
        let verdict = tokio::time::timeout_at(until.into(), &mut self.verdict).await;
        let verdict = verdict.ok()?.ok();
        self.has_verdict = verdict.is_some();
        verdict
    }
}

impl Drop for QueuedTurn {
    fn drop(&mut self) {
        if self.has_verdict {
            return;
        }
        let driver = &self.gateway.admission;
        let was_waiting = driver.waiting.borrow_mut().remove(&self.ticket).is_some();
        if was_waiting {
            let mut core = driver.core.borrow_mut();
            core.withdraw(&self.service, self.ticket);
        } else if self.verdict.try_recv() == Ok(Verdict::Admitted) {
            // Admitted but not run: the slot is released.
            driver.core.borrow_mut().complete(&self.service, None);
            admit_queued(&self.gateway, &self.service);
        }
        self.gateway.update_queue_metric();
    }
}

/// A turn admitted to an engine. Dropping it releases its slot.
pub(crate) struct AdmittedTurn {
    gateway: Rc<Gateway>,
    service: String,
    since: Instant,
    is_complete: bool,
}

impl AdmittedTurn {
    /// Registers an admitted turn, whose running time is measured from now on.
    pub(crate) fn start(gateway: &Rc<Gateway>, service: &str) -> Self {
        Self {
            gateway: gateway.clone(),
            service: service.to_owned(),
            since: Instant::now(),
            is_complete: false,
        }
    }

    /// Releases the slot of a turn that has completed.
    pub(crate) fn complete(mut self) {
        self.is_complete = true;
    }
}

impl Drop for AdmittedTurn {
    fn drop(&mut self) {
        let took = self.is_complete.then(|| self.since.elapsed());
        let driver = &self.gateway.admission;
        driver.core.borrow_mut().complete(&self.service, took);
        admit_queued(&self.gateway, &self.service);
    }
}

/// Notifies turns that were displaced from the queue.
pub(crate) fn notify_displaced(gateway: &Gateway, displaced: &[Ticket]) {
    for ticket in displaced {
        gateway.admission.notify(*ticket, Verdict::Evicted);
    }
}

/// Admits queued turns to the slots that are free now.
pub(crate) fn admit_queued(gateway: &Gateway, service: &str) {
    let driver = &gateway.admission;
    if driver.core.borrow().waiting_count() == 0 {
        return;
    }
    let room = room_of(gateway, service);
    let released = {
        let mut core = driver.core.borrow_mut();
        core.release(gateway.now(), service, room)
    };
    for ticket in released {
        if !driver.notify(ticket, Verdict::Admitted) {
            driver.core.borrow_mut().complete(service, None);
        }
    }
    gateway.update_queue_metric();
}

/// Returns the free slots of a service's engines.
pub(crate) fn room_of(gateway: &Gateway, service: &str) -> Room {
    let workers = gateway.workers.borrow();
    Room::of(
        &workers,
        service,
        gateway.serving_count.get(),
        gateway.now(),
    )
}

/// Polls for free slots while turns are queued.
async fn poll_for_slots(gateway: Rc<Gateway>) {
    loop {
        actix_rt::time::sleep(POLL_INTERVAL).await;
        let waiting = gateway.admission.core.borrow().waiting_services();
        if waiting.is_empty() {
            gateway.admission.is_polling.set(false);
            return;
        }
        gateway.admission.core.borrow_mut().drop_old(gateway.now());
        for service in waiting {
            admit_queued(&gateway, &service);
        }
    }
}
