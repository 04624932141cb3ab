//! The turns that wait at this node for places at engines, and those that have gone.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use elderworks_gateway_core::admission::{Admission, AdmissionRules, QueueLimits, Room, Ticket};
use tokio::sync::oneshot;

use crate::gateway::Gateway;
use crate::settings::GatewaySettings;

/// How often a node that has turns waiting looks for places that others have left.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Most turns that wait at one node: more than a node's callers have in the seconds that a turn
/// can wait, and few enough to be searched for each release.
const MOST_WAITING: usize = 512;

/// Part of the process's memory that the bodies of waiting turns may take. Bodies of all requests
/// together may take a fifth.
const MEMORY_DIVISOR: usize = 12;

/// What became of a waiting turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It may go.
    Go,
    /// It has to make room for a more pressing one.
    Evicted,
}

/// The admission of this node and the tasks that wait for it.
#[derive(Debug)]
pub(crate) struct AdmissionDriver {
    pub(crate) core: RefCell<Admission>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Verdict>>>,
    is_looking: Cell<bool>,
}

impl AdmissionDriver {
    /// Nothing waits yet.
    pub(crate) fn new(settings: &GatewaySettings) -> Self {
        let policy = &settings.policy;
        let core = Admission::new(AdmissionRules {
            mode: policy.admission,
            full_share: policy.full_share,
            floor_interval: policy.floor_interval,
            fair_share: policy.fair_share,
            limits: QueueLimits {
                entries: MOST_WAITING,
                bytes: settings.memory_bytes / MEMORY_DIVISOR,
            },
        });
        Self {
            core: RefCell::new(core),
            waiting: RefCell::default(),
            is_looking: Cell::default(),
        }
    }

    fn call(&self, ticket: Ticket, call: Verdict) -> bool {
        let waiting = self.waiting.borrow_mut().remove(&ticket);
        waiting.is_some_and(|waiting| waiting.send(call).is_ok())
    }
}

/// A turn that waits. Dropped before it has heard, it waits no longer.
pub(crate) struct WaitingTurn {
    gateway: Rc<Gateway>,
    service: String,
    ticket: Ticket,
    heard: oneshot::Receiver<Verdict>,
    has_heard: bool,
}

impl WaitingTurn {
    /// Begins to wait with a ticket that the admission gave.
    pub(crate) fn begin(gateway: &Rc<Gateway>, service: &str, ticket: Ticket) -> Self {
        let (sender, heard) = oneshot::channel();
        let driver = &gateway.admission;
        driver.waiting.borrow_mut().insert(ticket, sender);
        gateway.note_waiting();
        if !driver.is_looking.replace(true) {
            actix_rt::spawn(look_for_places(gateway.clone()));
        }
        Self {
            gateway: gateway.clone(),
            service: service.to_owned(),
            ticket,
            heard,
            has_heard: false,
        }
    }

    /// What it hears until then; `None` if it hears nothing.
    pub(crate) async fn wait(mut self, until: Instant) -> Option<Verdict> {
        let heard = tokio::time::timeout_at(until.into(), &mut self.heard).await;
        let heard = heard.ok()?.ok();
        self.has_heard = heard.is_some();
        heard
    }
}

impl Drop for WaitingTurn {
    fn drop(&mut self) {
        if self.has_heard {
            return;
        }
        let driver = &self.gateway.admission;
        let was_waiting = driver.waiting.borrow_mut().remove(&self.ticket).is_some();
        if was_waiting {
            let mut core = driver.core.borrow_mut();
            core.withdraw(&self.service, self.ticket);
        } else if self.heard.try_recv() == Ok(Verdict::Go) {
            // It was let go and left at the same moment.
            driver.core.borrow_mut().complete(&self.service, None);
            release(&self.gateway, &self.service);
        }
        self.gateway.note_waiting();
    }
}

/// A turn that has gone to an engine.
pub(crate) struct AdmittedTurn {
    gateway: Rc<Gateway>,
    service: String,
    since: Instant,
    has_ended: bool,
}

impl AdmittedTurn {
    /// Begins with the admission's word.
    pub(crate) fn begin(gateway: &Rc<Gateway>, service: &str) -> Self {
        Self {
            gateway: gateway.clone(),
            service: service.to_owned(),
            since: Instant::now(),
            has_ended: false,
        }
    }

    /// The turn has run to its end.
    pub(crate) fn end(mut self) {
        self.has_ended = true;
    }
}

impl Drop for AdmittedTurn {
    fn drop(&mut self) {
        let took = self.has_ended.then(|| self.since.elapsed());
        let driver = &self.gateway.admission;
        driver.core.borrow_mut().complete(&self.service, took);
        release(&self.gateway, &self.service);
    }
}

/// Tells turns that made room for others.
pub(crate) fn displace(gateway: &Gateway, displaced: &[Ticket]) {
    for ticket in displaced {
        gateway.admission.call(*ticket, Verdict::Evicted);
    }
}

/// Lets those go for which there are places now.
pub(crate) fn release(gateway: &Gateway, service: &str) {
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
        if !driver.call(ticket, Verdict::Go) {
            driver.core.borrow_mut().complete(service, None);
        }
    }
    gateway.note_waiting();
}

/// The room at a service's workers now.
pub(crate) fn room_of(gateway: &Gateway, service: &str) -> Room {
    let workers = gateway.workers.borrow();
    Room::of(
        &workers,
        service,
        gateway.nodes_serving.get(),
        gateway.now(),
    )
}

/// Looks for places while anything waits.
async fn look_for_places(gateway: Rc<Gateway>) {
    loop {
        actix_rt::time::sleep(LOOK_INTERVAL).await;
        let waiting = gateway.admission.core.borrow().waiting_services();
        if waiting.is_empty() {
            gateway.admission.is_looking.set(false);
            return;
        }
        gateway.admission.core.borrow_mut().drop_old(gateway.now());
        for service in waiting {
            release(&gateway, &service);
        }
    }
}
