//! Observations of workers during a call's attempts: failures, silence and responses.

use std::time::{Duration, Instant};

use actix_http::StatusCode;
use elderworks_gateway_core::peer_loads::WorkerKey;
use elderworks_gateway_core::worker_ends::exchanges::SignOfLife;
use elderworks_gateway_core::worker_ends::investigation::Fate;
use elderworks_types::Timestamp;

use super::attempts::Call;
use crate::peers;

/// Silence after which an engine counts as failed. Callers abandon a stream after two seconds of
/// silence.
const ENGINE_SILENCE: Duration = Duration::from_millis(1_500);

/// Silence after which other workers count as failed, in multiples of the route's target latency, within
/// which an answer has its full value.
const MAX_SILENCE_TARGETS: u32 = 3;

/// Minimum silence that counts as a failure, even if the route's target is shorter.
const MIN_SILENCE: Duration = Duration::from_millis(250);

impl Drop for Call<'_> {
    /// Records that the call ended while a worker was silent: a failure if that took too long, and a
    /// possible end of the worker.
    fn drop(&mut self) {
        let Some(since) = self.waiting_since.or(self.silent_since) else {
            return;
        };
        let Some(worker) = self.last_tried() else {
            return;
        };
        let silence = since.elapsed();
        log::info!(
            request = self.attributes.request_id.as_deref().unwrap_or_default(),
            worker = worker.as_str(), silent_ms = silence.as_millis();
            "exchange left without an answer"
        );
        if self.waiting_since.is_some() && silence >= self.max_silence() {
            self.note_worker_failure(&worker);
        }
        self.note_unanswered(&worker, silence);
    }
}

impl Call<'_> {
    /// Records a failure of a worker. If the worker is ejected, reports that to the zone's other
    /// nodes.
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

    /// Records a complete response; one with status 500 counts as a failure of the worker.
    pub(super) fn note_response(&mut self, worker: &str, status: StatusCode) {
        self.waiting_since = None;
        self.silent_since = None;
        if status == StatusCode::INTERNAL_SERVER_ERROR {
            self.note_worker_failure(worker);
        } else {
            self.gateway.workers.borrow_mut().note_success(worker);
        }
        self.note_response_start(worker);
    }

    /// Records that the process at a worker's address has answered on a connection.
    pub(super) fn note_sign_of_life(&self, worker: &str, opened: Timestamp) {
        let answered = self.gateway.now();
        let mut workers = self.gateway.workers.borrow_mut();
        workers.note_heard(worker, answered);
        drop(workers);
        let sign = SignOfLife {
            worker: WorkerKey::of(worker),
            opened,
            answered,
        };
        peers::note_sign_of_life(self.gateway, worker, &sign);
    }

    /// Records that the worker made progress.
    pub(super) fn note_progress(&mut self) {
        self.waiting_since = Some(Instant::now());
        self.silent_since = None;
    }

    /// Records that the deadline passed without a response from the worker. Engines are exempt:
    /// requests may wait in their queues.
    pub(super) fn note_timeout(&mut self) {
        let had_target_time = self.received.elapsed() >= self.route.target;
        if let Some(worker) = self.last_tried()
            && let Some(since) = self.waiting_since
            && had_target_time
            && !self.is_for_engine()
        {
            self.note_worker_failure(&worker);
            self.note_unanswered(&worker, since.elapsed());
            self.waiting_since = None;
        }
    }

    pub(super) fn note_refusal(&self, worker: &str, status: StatusCode) {
        let now = self.gateway.now();
        if status == StatusCode::MISDIRECTED_REQUEST {
            self.gateway.pool.discard_connections(worker);
            self.note_worker_failure(worker);
            // Every other process at the worker's address answers like this.
            peers::settle(self.gateway, worker, Fate::Replaced);
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

    /// Returns the silence after which a worker counts as failed. Engines are allowed more, because
    /// requests may wait in their queues.
    pub(super) fn max_silence(&self) -> Duration {
        if !self.gateway.settings.policy.silence {
            return self.route.timeout;
        }
        if self.is_for_engine() {
            ENGINE_SILENCE
        } else {
            (self.route.target * MAX_SILENCE_TARGETS).max(MIN_SILENCE)
        }
    }

    /// Returns whether a request to a silent worker is sent to another one instead of waiting
    /// further.
    pub(super) fn should_retry_silent(&self) -> bool {
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
