//! Admission of a call to an engine: the call is admitted, queued or refused.

use std::time::{Duration, Instant};

use elderworks_gateway_core::admission::{AdmissionMode, Arrival, ProgramState, Turn};
use elderworks_gateway_core::attempt::NotRun;
use elderworks_gateway_core::tenants::TenantKey;

use super::attempts::Call;
use crate::admission::{self, AdmittedTurn, QueuedTurn};
use crate::clock::millis;
use crate::metrics::AdmissionRefusal;
use crate::reply::Refusal;

/// Fraction of a call's remaining time for which it may be queued. The rest leaves the caller time
/// to retry elsewhere.
const MAX_WAIT_FRACTION: f64 = 0.25;

/// Callers honour a `Retry-After` of up to this fraction of their remaining time.
const MAX_RETRY_AFTER_FRACTION: f64 = 1.0 / 3.0;

/// A deadline shorter than this fraction of the route's timeout indicates that the caller has
/// already tried once.
const FIRST_TRY_FRACTION: f64 = 0.9;

/// Number of prompt segments of a program's first turn: the shared one and the turn's own input.
const FIRST_TURN_SEGMENTS: usize = 2;

impl Call<'_> {
    /// Waits until the call is admitted to an engine; calls to other workers are admitted
    /// immediately.
    pub(super) async fn admit(&mut self) -> Result<(), Refusal> {
        let is_off = self.gateway.settings.policy.admission == AdmissionMode::Off;
        if is_off || !self.is_for_engine() {
            return Ok(());
        }
        let gateway = self.gateway;
        let arrived = Instant::now();
        let latest_start = self.latest_start();
        let admission_turn = self.admission_turn(latest_start);
        let (urgency, seed) = (admission_turn.urgency, admission_turn.seed);
        let room = admission::room_of(gateway, &self.service);
        let decision = {
            let mut core = gateway.admission.core.borrow_mut();
            core.arrive(gateway.now(), &self.service, room, admission_turn)
        };
        admission::notify_displaced(gateway, &decision.displaced);
        let fields = AdmissionLogFields {
            urgency,
            arrived,
            slots: room.slots,
        };
        match decision.arrival {
            Arrival::Admit => {
                self.slot = Some(AdmittedTurn::start(gateway, &self.service));
                Ok(())
            }
            Arrival::Refuse(refused) => {
                let reason = match refused.queue_full {
                    true => AdmissionRefusal::QueueFull,
                    false => AdmissionRefusal::NoPlaceInTime,
                };
                Err(self.refuse_admission(&fields, refused.ahead, reason, refused.retry_after))
            }
            Arrival::Wait { ticket, ahead } => {
                let waiting = QueuedTurn::enqueue(gateway, &self.service, ticket);
                let verdict = waiting.wait(latest_start).await;
                let waited = arrived.elapsed().as_secs_f64();
                gateway.metrics.admission_wait_seconds.observe(waited);
                let reason = match verdict {
                    Some(admission::Verdict::Admitted) => {
                        self.slot = Some(AdmittedTurn::start(gateway, &self.service));
                        self.log_admission(&fields, ahead, "admitted", None);
                        return Ok(());
                    }
                    Some(admission::Verdict::Evicted) => AdmissionRefusal::Displaced,
                    None => AdmissionRefusal::WaitTimedOut,
                };
                let room = admission::room_of(gateway, &self.service);
                let core = gateway.admission.core.borrow();
                let pause = core.retry_after(&self.service, room, seed);
                drop(core);
                Err(self.refuse_admission(&fields, ahead, reason, pause))
            }
        }
    }

    /// Releases the call's engine slot after a complete response.
    pub(super) fn release_slot(&mut self) {
        let Some(slot) = self.slot.take() else {
            return;
        };
        let tokens = self.permit.as_ref().map_or(0, |permit| permit.used());
        let now = self.gateway.now();
        let tenant = self.tenant_key();
        self.gateway
            .admission
            .core
            .borrow_mut()
            .charge(now, tenant, tokens);
        slot.complete();
    }

    fn admission_turn(&self, latest_start: Instant) -> Turn {
        let now = self.gateway.now();
        let attributes = self.attributes;
        let is_retry = attributes
            .deadline
            .is_some_and(|deadline| deadline < self.route.timeout.mul_f64(FIRST_TRY_FRACTION));
        let has_started = attributes.previous_turn.is_some()
            || attributes.prompt.len() > FIRST_TURN_SEGMENTS
            || is_retry;
        let prompt = attributes.prompt.iter().map(|segment| segment.tokens);
        let elapsed = self.received.elapsed();
        Turn {
            urgency: self.sender.priority.unwrap_or(self.route.priority),
            tenant: self.tenant_key(),
            program_state: match has_started {
                true => ProgramState::Started,
                false => ProgramState::New,
            },
            finish: attributes
                .finish
                .map(|left| now + left.saturating_sub(elapsed)),
            latest_start: now + latest_start.saturating_duration_since(Instant::now()),
            prompt_tokens: prompt.sum(),
            bytes: self.body.as_ref().map_or(0, bytes::Bytes::len),
            seed: self.gateway.next_sequence(),
        }
    }

    fn tenant_key(&self) -> Option<TenantKey> {
        self.sender.tenant.as_deref().map(TenantKey::of)
    }

    fn latest_start(&self) -> Instant {
        let now = Instant::now();
        let left = self.deadline.saturating_duration_since(now);
        let max_wait = Duration::from_millis(self.gateway.settings.policy.longest_wait_ms);
        now + left.mul_f64(MAX_WAIT_FRACTION).min(max_wait)
    }

    fn refuse_admission(
        &self,
        fields: &AdmissionLogFields,
        ahead: u32,
        reason: AdmissionRefusal,
        pause: Duration,
    ) -> Refusal {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let pause = pause.min(left.mul_f64(MAX_RETRY_AFTER_FRACTION));
        self.gateway.metrics.note_admission_refusal(reason);
        self.log_admission(fields, ahead, reason.text(), Some(pause));
        Refusal::not_run_retry_after(NotRun::before_any_attempt(), reason.text(), pause)
    }

    fn log_admission(
        &self,
        fields: &AdmissionLogFields,
        ahead: u32,
        outcome: &str,
        pause: Option<Duration>,
    ) {
        log::info!(
            request = self.attributes.request_id.as_deref().unwrap_or_default(),
            tenant = self.sender.tenant.as_deref().unwrap_or_default(),
            service = self.service.as_str(), urgency = fields.urgency, slots = fields.slots,
            ahead = ahead, waited_ms = fields.arrived.elapsed().as_millis(),
            retry_ms = millis(pause);
            "admission: {outcome}"
        );
    }
}

/// Fields of the log line of an admission decision.
struct AdmissionLogFields {
    urgency: u8,
    arrived: Instant,
    /// Slots of the workers that accepted work when the call arrived.
    slots: u32,
}
