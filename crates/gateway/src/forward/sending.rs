//! Whether and where a request may be sent, given the workers that ended under it.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use elderworks_gateway_core::attempt::{SendDecision, SendPermit};
use elderworks_gateway_core::peer_loads::WorkerKey;
use elderworks_gateway_core::worker_ends::EndCount;

use super::CallError;
use super::attempts::Call;
use crate::metrics::GivenUpLabel;
use crate::peers;
use crate::reply::Refusal;
use crate::upstream::Target;
use crate::worker_probes;

/// Maximum time to wait until it is known whether workers ended.
const MAX_SETTLE_WAIT: Duration = Duration::from_millis(400);

/// Maximum time to wait for a worker without another request that ended workers repeatedly.
const MAX_APART_WAIT: Duration = Duration::from_millis(600);

/// Interval at which a waiting request checks again.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Pause before a send that must not meet another end, in which the other nodes' reports of the last
/// one arrive.
const LAST_SEND_PAUSE: Duration = Duration::from_millis(30);

/// Pause between requests that met the same ends, so that each learns where those before it went.
const LAST_SEND_STAGGER: Duration = Duration::from_millis(20);

/// Maximum number of requests for which one waits.
const MAX_STAGGERED: u32 = 8;

/// Why a request is not sent although a worker may be free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Withheld {
    /// As many workers ended under it as may: it is sent to no other.
    GivenUp,
    /// It isn't known yet whether a worker ended under it.
    Unsettled,
    /// The last worker that may end under it is the last one.
    LastWorker,
    /// Every worker runs another request that ended workers repeatedly.
    NoneApart,
}

impl Withheld {
    /// Returns the reason as shown to callers, in logs and as a metric label.
    fn reason(self) -> &'static str {
        match self {
            Self::GivenUp => "workers ended while they ran the request; it is sent to no other",
            Self::Unsettled => "workers may have ended while they ran the request",
            Self::LastWorker => "workers ended while they ran the request, and one is left",
            Self::NoneApart => "no worker can run the request apart from others that end workers",
        }
    }
}

impl Call<'_> {
    /// Checks what earlier tries of the caller have met, before anything is done for this one.
    pub(super) async fn check_earlier_tries(&mut self) -> Result<(), CallError> {
        peers::wait_until_caught_up(self.gateway).await;
        let now = self.gateway.now();
        let table = &self.gateway.requests.ends;
        table.borrow_mut().begin(now, &self.identity);
        self.permit_send().await.map(|_| ())
    }

    /// Returns what is known of the workers at which the request broke off.
    pub(super) fn ends(&self) -> EndCount {
        self.gateway.requests.ends.borrow().count(&self.identity)
    }

    /// Waits until the request may be sent to a worker. An error means that it may not.
    pub(super) async fn permit_send(&mut self) -> Result<SendPermit, CallError> {
        let until = Instant::now() + MAX_SETTLE_WAIT;
        loop {
            let ends = self.ends();
            let left = match ends {
                EndCount::NONE => usize::MAX,
                _ => self.count_workers_left(),
            };
            match self.history.decide_send(ends, left) {
                SendDecision::Permitted(permit) => return Ok(permit),
                SendDecision::GivenUp => return Err(self.withhold(Withheld::GivenUp)),
                SendDecision::LastWorker => return Err(self.withhold(Withheld::LastWorker)),
                SendDecision::Unsettled if Instant::now() >= until => {
                    return Err(self.withhold(Withheld::Unsettled));
                }
                SendDecision::Unsettled => actix_rt::time::sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Returns the worker for the next send. A request under which workers ended is kept apart from
    /// others of that kind.
    pub(super) async fn choose_target(&mut self) -> Result<Target, CallError> {
        let ends = self.ends();
        if !ends.is_suspect() {
            return self.choose(&BTreeSet::new());
        }
        if ends.is_at_last() {
            actix_rt::time::sleep(self.last_send_pause()).await;
        }
        let until = Instant::now() + MAX_APART_WAIT;
        loop {
            let choices = self.workers_to_avoid();
            let mut chosen = None;
            for avoided in &choices {
                let target = self.choose(avoided)?;
                if !avoided.contains(&WorkerKey::of(&target.worker)) {
                    return Ok(target);
                }
                chosen = Some(target);
            }
            match chosen {
                Some(target) if !ends.is_at_last() => return Ok(target),
                _ if Instant::now() >= until => return Err(self.withhold(Withheld::NoneApart)),
                _ => actix_rt::time::sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Returns the workers to avoid, the most preferred choice first. Where a worker ended without a
    /// cause in the request, others of its zone may end next.
    pub(super) fn workers_to_avoid(&self) -> [BTreeSet<WorkerKey>; 4] {
        let now = self.gateway.now();
        let suspects = self.gateway.requests.suspects.borrow();
        let shared = suspects.shared_with(now, self.identity.attempt);
        let table = self.gateway.requests.ends.borrow();
        let own_ended = table.workers(&self.identity);
        let workers = self.gateway.workers.borrow();
        let of_service: Vec<_> = workers.known(&self.service).collect();
        let gone: BTreeSet<WorkerKey> = of_service
            .iter()
            .map(|worker| worker.key())
            .filter(|worker| table.has_ended(*worker))
            .collect();
        let lost_zones: BTreeSet<&str> = of_service
            .iter()
            .filter(|worker| own_ended.contains(&worker.key()))
            .map(|worker| worker.record.zone.as_str())
            .collect();
        let in_lost_zones: BTreeSet<WorkerKey> = of_service
            .iter()
            .filter(|worker| lost_zones.contains(worker.record.zone.as_str()))
            .map(|worker| worker.key())
            .collect();
        let apart = &shared.any | &gone;
        let bearable = &shared.repeated | &gone;
        [
            &apart | &in_lost_zones,
            &bearable | &in_lost_zones,
            apart,
            bearable,
        ]
    }

    fn last_send_pause(&self) -> Duration {
        let table = self.gateway.requests.ends.borrow();
        let turn = table.turn_among_alike(&self.identity);
        let turn = u32::try_from(turn).unwrap_or(u32::MAX).min(MAX_STAGGERED);
        LAST_SEND_PAUSE + LAST_SEND_STAGGER * turn
    }

    /// Returns the number of workers that accept the request and aren't known to have ended.
    fn count_workers_left(&self) -> usize {
        let now = self.gateway.now();
        let table = self.gateway.requests.ends.borrow();
        let workers = self.gateway.workers.borrow();
        let rule = self.version_rule();
        let left = workers
            .accepting(&self.service)
            .filter(|worker| workers.follows(rule, worker, now))
            .filter(|worker| !table.has_ended(worker.key()));
        left.count()
    }

    /// Records that an exchange with a worker broke off, and finds out whether the worker ended.
    pub(super) async fn note_break(&self, target: &Target) {
        let key = WorkerKey::of(&target.worker);
        let table = &self.gateway.requests.ends;
        table.borrow_mut().note_break(key, &self.identity);
        worker_probes::investigate_and_wait(self.gateway, &target.worker, target.address).await;
    }

    /// Probes a worker again at which the request broke off before and which now can't be reached.
    pub(super) async fn probe_after_break(&self, target: &Target) {
        let key = WorkerKey::of(&target.worker);
        let has_break = {
            let table = self.gateway.requests.ends.borrow();
            table.has_break(key, &self.identity)
        };
        if has_break {
            self.note_break(target).await;
        }
    }

    /// Records that the caller's time or patience ended while a worker was silent.
    pub(super) fn note_silence(&self, worker: &str) {
        let address = {
            let workers = self.gateway.workers.borrow();
            workers.get(worker).map(|known| known.record.address)
        };
        let Some(address) = address else {
            return;
        };
        let table = &self.gateway.requests.ends;
        let key = WorkerKey::of(worker);
        table.borrow_mut().note_break(key, &self.identity);
        worker_probes::investigate(self.gateway, worker, address);
    }

    /// Records that a worker answered the request.
    pub(super) fn note_served(&self) {
        let mut table = self.gateway.requests.ends.borrow_mut();
        table.note_served(&self.identity);
    }

    /// Returns the response for a request that is not sent. It has run, so that none may claim the
    /// opposite.
    fn withhold(&self, withheld: Withheld) -> CallError {
        let reason = withheld.reason();
        let label = GivenUpLabel { reason };
        let given_up = &self.gateway.metrics.requests_given_up;
        given_up.get_or_create(&label).inc();
        let table = self.gateway.requests.ends.borrow();
        let ended = table.workers(&self.identity);
        let workers = self.gateway.workers.borrow();
        let names = workers
            .iter()
            .filter(|worker| ended.contains(&worker.key()));
        let names: Vec<&str> = names.map(|worker| worker.record.id.as_str()).collect();
        log::warn!(
            request = self.attributes.request_id.as_deref().unwrap_or_default(),
            content = self.identity.content.0, ended = ended.len(), workers = names.join(",").as_str(),
            tried = self.tried().join(",").as_str(), ms = self.received.elapsed().as_millis();
            "request withheld: {reason}"
        );
        CallError::Refused(Refusal::outcome_unknown(reason))
    }
}
