//! Whether and where a request may be sent, given the workers that ended under it.

use std::time::{Duration, Instant};

use elderworks_gateway_core::attempt::{SendDecision, SendPermit};
use elderworks_gateway_core::peer_loads::WorkerKey;
use elderworks_gateway_core::worker_ends::EndCount;
use elderworks_gateway_core::worker_ends::exchanges::{Exchange, ExchangeKey, WorkerPart};
use elderworks_gateway_core::worker_ends::placement::{
    AvoidedWorkers, Knowledge, Search, find_apart, pause_before_send, workers_to_avoid,
};
use elderworks_gateway_core::worker_ends::table::PossibleEnd;
use elderworks_gateway_core::workers::Worker;
use elderworks_types::Timestamp;

use super::CallError;
use super::attempts::Call;
use crate::end_records;
use crate::metrics::GivenUpLabel;
use crate::peers;
use crate::reply::Refusal;
use crate::upstream::Target;
use crate::worker_probes::{self, Suspected};
use crate::worker_witness::{self, Witness};

/// Time in which the other nodes' answers about a request arrive.
const ANSWER_TIME: Duration = Duration::from_millis(20);

/// Time after an exchange in which it becomes known whether the worker outlived it, if that can be known.
/// Longer than [`MAX_END_DELAY`](elderworks_gateway_core::worker_ends::exchanges::MAX_END_DELAY).
const MAX_SETTLE_TIME: Duration = Duration::from_millis(1_200);

/// Silence of a worker from which an exchange that is given up counts as left without an answer.
const MIN_UNANSWERED: Duration = Duration::from_millis(250);

/// Pause before other nodes are told of the first exchange of a request that was given up. Longer than it
/// takes to find out that the worker runs.
const UNANSWERED_REPORT_PAUSE: Duration = Duration::from_millis(1_000);

/// Pause before a worker is probed whose exchange was given up. It may answer other requests meanwhile,
/// which shows the same.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(250);

/// Maximum time to wait for a worker without another request that ended workers repeatedly.
const MAX_APART_WAIT: Duration = Duration::from_millis(600);

/// Interval at which a waiting request checks again.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

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
        if self.ends().is_suspect() {
            peers::ask_about(self.gateway, &self.identity);
            actix_rt::time::sleep(ANSWER_TIME).await;
        }
        self.permit_send().await.map(|_| ())
    }

    /// Returns what is known of the workers at which the request broke off.
    pub(super) fn ends(&self) -> EndCount {
        let mut ends = self.gateway.requests.ends.borrow().count(&self.identity);
        ends.in_progress = ends.in_progress.saturating_sub(self.own_sends);
        ends
    }

    /// Waits until the request may be sent to a worker. An error means that it may not.
    pub(super) async fn permit_send(&mut self) -> Result<SendPermit, CallError> {
        let until = self.deadline.min(Instant::now() + MAX_SETTLE_TIME);
        let mut is_investigated = false;
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
                SendDecision::Unsettled
                    if Instant::now() >= until || !self.may_be_settled_soon(ends) =>
                {
                    return Err(self.withhold(Withheld::Unsettled));
                }
                SendDecision::Unsettled => {
                    if !is_investigated {
                        self.investigate_possible_ends();
                        is_investigated = true;
                    }
                    actix_rt::time::sleep(POLL_INTERVAL).await;
                }
            }
        }
    }

    /// Returns whether more may be known in a moment of the workers at which the request broke off.
    fn may_be_settled_soon(&self, ends: EndCount) -> bool {
        let now = self.gateway.now();
        let table = self.gateway.requests.ends.borrow();
        let mut possible = table.possible_ends(&self.identity);
        ends.in_progress > 0 || possible.any(|end| now.since(end.since) < MAX_SETTLE_TIME)
    }

    /// Opens a connection that will show whether the worker of the next attempt outlives it, if the request
    /// may have met an end before.
    pub(super) async fn open_witness(&mut self, target: &Target) {
        self.witness = None;
        if self.ends().possible() > 0 {
            self.witness = Witness::open(self.gateway, target, &self.service).await;
        }
    }

    /// Finds out at this node which of the workers have ended that may have.
    fn investigate_possible_ends(&self) {
        let ends: Vec<PossibleEnd> = {
            let table = self.gateway.requests.ends.borrow();
            table.possible_ends(&self.identity).collect()
        };
        for end in ends {
            // A worker without a record may have left in order: nobody can tell any more.
            if let Some(suspected) = self.suspected_by_exchange(end.exchange) {
                let pause = Duration::ZERO;
                worker_probes::investigate_after(self.gateway, suspected, end.since, pause);
            }
        }
    }

    fn suspected_by_exchange(&self, exchange: ExchangeKey) -> Option<Suspected> {
        let workers = self.gateway.workers.borrow();
        let known = workers.iter().find(|known| exchange.is_with(known.key()))?;
        Some(suspected(known))
    }

    /// Returns the worker for the next send. A request under which workers ended is kept apart from
    /// others of that kind.
    pub(super) async fn choose_target(&mut self) -> Result<Target, CallError> {
        let ends = self.ends();
        let pause = pause_before_send(&self.gateway.requests.ends.borrow(), &self.identity);
        if !pause.is_zero() {
            peers::ask_about(self.gateway, &self.identity);
            actix_rt::time::sleep(pause).await;
        }
        let until = Instant::now() + MAX_APART_WAIT;
        loop {
            let avoided = self.workers_to_avoid();
            let search = find_apart(&avoided, ends, |avoided| {
                let target = self.choose(avoided)?;
                Some((WorkerKey::of(&target.worker), target))
            });
            match search {
                Search::Found(target) => return Ok(target),
                Search::NoWorker => return Err(self.give_up()),
                Search::NoneApart if Instant::now() >= until => {
                    return Err(self.withhold(Withheld::NoneApart));
                }
                Search::NoneApart => actix_rt::time::sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Returns the workers to avoid, the most preferred set first.
    pub(super) fn workers_to_avoid(&self) -> AvoidedWorkers {
        let knowledge = Knowledge {
            table: &self.gateway.requests.ends.borrow(),
            suspects: &self.gateway.requests.suspects.borrow(),
            workers: &self.gateway.workers.borrow(),
        };
        let now = self.gateway.now();
        workers_to_avoid(knowledge, &self.identity, &self.service, now)
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
        let now = self.gateway.now();
        let exchange = self.exchange_with(&target.worker);
        let table = &self.gateway.requests.ends;
        table
            .borrow_mut()
            .note_break(now, exchange, &self.identity, now);
        worker_witness::ask_idle_connection(self.gateway, target, &self.service, exchange.sent);
        self.probe(target, now).await;
        if self.ends().ended > 1 {
            end_records::wait_until_recorded(self.gateway).await;
        }
    }

    /// Finds out whether a worker ended with which an exchange broke off at `broke_off`.
    async fn probe(&self, target: &Target, broke_off: Timestamp) {
        let suspected = Suspected {
            worker: target.worker.clone(),
            address: target.address,
            service: self.service.clone(),
        };
        worker_probes::investigate_and_wait(self.gateway, suspected, broke_off).await;
        peers::report_ends(self.gateway);
    }

    fn exchange_with(&self, worker: &str) -> Exchange {
        Exchange {
            worker: WorkerKey::of(worker),
            sent: self.sent,
        }
    }

    fn has_break(&self, worker: WorkerKey) -> bool {
        let table = self.gateway.requests.ends.borrow();
        table.has_break(worker, &self.identity)
    }

    /// Probes a worker again at which the request broke off before and which now can't be reached. The
    /// worker has had no further exchange.
    pub(super) async fn probe_after_break(&self, target: &Target) {
        if self.has_break(WorkerKey::of(&target.worker)) {
            self.probe(target, self.gateway.now()).await;
        }
    }

    /// Records that the exchange with a worker is given up while the worker is silent, because the
    /// caller's time or patience is over.
    pub(super) fn note_unanswered(&self, worker: &str, silence: Duration) {
        let ends = self.ends();
        if silence < MIN_UNANSWERED && !ends.is_suspect() {
            return;
        }
        let now = self.gateway.now();
        // Most of these workers answer another request before the others are told. Tries with shared
        // content take over only what is known when they begin.
        let is_first = ends == EndCount::NONE && !self.identity.is_shared;
        let report_from = match is_first {
            true => now + UNANSWERED_REPORT_PAUSE,
            false => now,
        };
        let exchange = self.exchange_with(worker);
        let table = &self.gateway.requests.ends;
        table
            .borrow_mut()
            .note_break(now, exchange, &self.identity, report_from);
        peers::report_ends(self.gateway);
        let workers = self.gateway.workers.borrow();
        let Some((target, suspected)) = workers
            .get(worker)
            .map(|known| (Target::direct(&known.record), suspected(known)))
        else {
            return;
        };
        drop(workers);
        worker_witness::ask_idle_connection(self.gateway, &target, &self.service, exchange.sent);
        worker_probes::investigate_after(self.gateway, suspected, now, UNANSWERED_PAUSE);
    }

    /// Records that the caller has received the worker's answer.
    pub(super) fn note_served(&self) {
        let mut table = self.gateway.requests.ends.borrow_mut();
        let forgotten = table.note_served(&self.identity);
        if forgotten != EndCount::NONE {
            log::info!(
                request = self.attributes.request_id.as_deref().unwrap_or_default(),
                content = self.identity.content.0, ended = forgotten.ended, unsettled = forgotten.unsettled;
                "forgot ends of workers under an answered request"
            );
        }
    }

    /// Returns the response for a request that is not sent. It has run, so that none may claim the
    /// opposite.
    fn withhold(&self, withheld: Withheld) -> CallError {
        let reason = withheld.reason();
        let label = GivenUpLabel { reason };
        let given_up = &self.gateway.metrics.requests_given_up;
        given_up.get_or_create(&label).inc();
        let table = self.gateway.requests.ends.borrow();
        let ended = table.ended(&self.identity);
        let ended_workers = table.ended_under(&self.identity);
        let workers = self.gateway.workers.borrow();
        let names = workers
            .iter()
            .filter(|worker| ended_workers.contains(&WorkerPart::of(worker.key())));
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

fn suspected(worker: &Worker) -> Suspected {
    Suspected {
        worker: worker.record.id.clone(),
        address: worker.record.address,
        service: worker.record.service.clone(),
    }
}
