//! What a call's attempts show of workers: failures, silence, answers.

use std::time::{Duration, Instant};

use actix_http::StatusCode;

use super::attempts::Call;

/// An engine that has been silent for this long is taken to fail. Callers give a stream up after
/// two seconds of silence.
const ENGINE_SILENCE: Duration = Duration::from_millis(1_500);

/// Another worker is taken to fail once it has been silent for this many times the target of the
/// route, in which an answer has its full value.
const SILENCE_IN_TARGETS: u32 = 3;

/// Silence that speaks against no worker, however short the target.
const SHORTEST_SILENCE: Duration = Duration::from_millis(250);

impl Drop for Call<'_> {
    /// The caller may have given up on a silent worker.
    fn drop(&mut self) {
        let Some(since) = self.waiting_since else {
            return;
        };
        if since.elapsed() >= self.longest_silence()
            && let Some(worker) = self.last_tried()
        {
            self.note_worker_failure(&worker);
        }
    }
}

impl Call<'_> {
    /// Notes a failure of a worker; if it is ejected for that, the zone's other nodes are told.
    pub(super) fn note_worker_failure(&self, worker: &str) {
        let now = self.gateway.now();
        let ejected = self.gateway.workers.borrow_mut().note_failure(worker, now);
        if ejected {
            log::warn!(worker = worker; "worker ejected after failures");
            if self.gateway.settings.policy.ejection_reports {
                self.gateway
                    .peers
                    .report_ejected_worker(self.gateway, worker);
            }
        }
    }

    /// Notes a whole answer: one that tells of a failure of the worker speaks against it.
    pub(super) fn note_answer(&mut self, worker: &str, status: StatusCode) {
        self.waiting_since = None;
        if status == StatusCode::INTERNAL_SERVER_ERROR {
            self.note_worker_failure(worker);
        } else {
            self.gateway.workers.borrow_mut().note_success(worker);
        }
        self.note_heard(worker);
    }

    /// Notes that the worker has shown life.
    pub(super) fn note_progress(&mut self) {
        self.waiting_since = Some(Instant::now());
    }

    /// Notes that the time is over while a worker has shown no answer. Engines may let a request
    /// wait for its turn; other workers answer sooner.
    pub(super) fn note_time_over(&mut self) {
        let had_its_time = self.received.elapsed() >= self.route.target;
        if let Some(worker) = self.last_tried()
            && self.waiting_since.is_some()
            && had_its_time
            && !self.is_for_engine()
        {
            self.note_worker_failure(&worker);
            self.waiting_since = None;
        }
    }

    pub(super) fn note_refusal(&self, worker: &str, status: StatusCode) {
        let now = self.gateway.now();
        if status == StatusCode::MISDIRECTED_REQUEST {
            self.gateway.pool.discard_connections(worker);
            self.note_worker_failure(worker);
        } else {
            self.gateway.workers.borrow_mut().note_full(worker, now);
        }
    }

    pub(super) fn log_failure(&self, worker: &str, reason: &str) {
        log::info!(
            request = self.attributes.request_id.as_deref().unwrap_or_default(),
            worker = worker, reason = reason,
            ms = self.received.elapsed().as_millis();
            "attempt failed"
        );
    }

    /// How long a worker may be silent before that speaks against it. Engines let requests wait
    /// for their turn; other workers answer sooner.
    pub(super) fn longest_silence(&self) -> Duration {
        if !self.gateway.settings.policy.silence {
            return self.route.timeout;
        }
        if self.is_for_engine() {
            ENGINE_SILENCE
        } else {
            (self.route.target * SILENCE_IN_TARGETS).max(SHORTEST_SILENCE)
        }
    }

    /// Whether a request that a worker has left without an answer is better sent again than waited
    /// for.
    pub(super) fn should_ask_again(&self) -> bool {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let is_allowed = self.gateway.settings.policy.second_send;
        is_allowed
            && self.route.is_repeatable()
            && !self.is_for_engine()
            && left >= self.route.target
    }

    pub(super) fn is_for_engine(&self) -> bool {
        let service = self.config.service(&self.service);
        service.is_some_and(|service| service.engine.is_some())
    }
}
