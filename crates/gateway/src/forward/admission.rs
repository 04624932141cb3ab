//! The admission of a call to an engine: it goes, waits, or is refused.

use std::time::{Duration, Instant};

use elderworks_gateway_core::admission::{AdmissionMode, Arrival, ProgramState, Turn};
use elderworks_gateway_core::attempt::NotRun;
use elderworks_gateway_core::tenants::TenantKey;

use super::attempts::Call;
use crate::admission::{self, AdmittedTurn, WaitingTurn};
use crate::clock::millis;
use crate::metrics::AdmissionRefusal;
use crate::reply::Refusal;

/// Part of a call's time for which it may wait: the rest is for another try or two, which callers
/// rather make than wait here for nothing.
const LONGEST_SHARE: f64 = 0.25;

/// Callers honour a time to come back up to this part of the time that they have left.
const CALLERS_PART: f64 = 1.0 / 3.0;

/// A caller that has less than this part of its route's time has spent some on an earlier try.
const WHOLE_TIME: f64 = 0.9;

/// Parts of a prompt that a first turn may have: what is shared, and its own input.
const PARTS_OF_FIRST_TURN: usize = 2;

impl Call<'_> {
    /// Waits until the call may go to an engine; calls to other workers go at once.
    pub(super) async fn admit(&mut self) -> Result<(), Refusal> {
        let is_off = self.gateway.settings.policy.admission == AdmissionMode::Off;
        if is_off || !self.is_for_engine() {
            return Ok(());
        }
        let gateway = self.gateway;
        let arrived = Instant::now();
        let latest_start = self.latest_start();
        let turn = self.turn(latest_start);
        let (urgency, spread) = (turn.urgency, turn.seed);
        let room = admission::room_of(gateway, &self.service);
        let decision = {
            let mut core = gateway.admission.core.borrow_mut();
            core.arrive(gateway.now(), &self.service, room, turn)
        };
        admission::displace(gateway, &decision.displaced);
        let line = AdmissionLine {
            urgency,
            arrived,
            slots: room.slots,
        };
        match decision.arrival {
            Arrival::Admit => {
                self.place = Some(AdmittedTurn::begin(gateway, &self.service));
                Ok(())
            }
            Arrival::Refuse(refused) => {
                let reason = match refused.queue_full {
                    true => AdmissionRefusal::QueueFull,
                    false => AdmissionRefusal::NoPlaceInTime,
                };
                Err(self.refuse_admission(&line, refused.ahead, reason, refused.retry_after))
            }
            Arrival::Wait { ticket, ahead } => {
                let waiting = WaitingTurn::begin(gateway, &self.service, ticket);
                let heard = waiting.wait(latest_start).await;
                let waited = arrived.elapsed().as_secs_f64();
                gateway.metrics.admission_wait_seconds.observe(waited);
                let reason = match heard {
                    Some(admission::Verdict::Go) => {
                        self.place = Some(AdmittedTurn::begin(gateway, &self.service));
                        self.log_admission(&line, ahead, "went", None);
                        return Ok(());
                    }
                    Some(admission::Verdict::Evicted) => AdmissionRefusal::Displaced,
                    None => AdmissionRefusal::WaitTimedOut,
                };
                let room = admission::room_of(gateway, &self.service);
                let core = gateway.admission.core.borrow();
                let pause = core.retry_after(&self.service, room, spread);
                drop(core);
                Err(self.refuse_admission(&line, ahead, reason, pause))
            }
        }
    }

    /// The call has left its engine after a whole answer.
    pub(super) fn leave_place(&mut self) {
        let Some(place) = self.place.take() else {
            return;
        };
        let tokens = self.lease.as_ref().map_or(0, |lease| lease.used());
        let now = self.gateway.now();
        let tenant = self.tenant_key();
        self.gateway
            .admission
            .core
            .borrow_mut()
            .charge(now, tenant, tokens);
        place.end();
    }

    fn turn(&self, latest_start: Instant) -> Turn {
        let now = self.gateway.now();
        let attributes = self.attributes;
        let is_returning = attributes
            .deadline
            .is_some_and(|deadline| deadline < self.route.timeout.mul_f64(WHOLE_TIME));
        let has_begun = attributes.previous_turn.is_some()
            || attributes.prompt.len() > PARTS_OF_FIRST_TURN
            || is_returning;
        let prompt = attributes.prompt.iter().map(|segment| segment.tokens);
        let passed = self.received.elapsed();
        Turn {
            urgency: self.sender.priority.unwrap_or(self.route.priority),
            tenant: self.tenant_key(),
            program_state: match has_begun {
                true => ProgramState::Started,
                false => ProgramState::New,
            },
            finish: attributes
                .finish
                .map(|left| now + left.saturating_sub(passed)),
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
        let longest = Duration::from_millis(self.gateway.settings.policy.longest_wait_ms);
        now + left.mul_f64(LONGEST_SHARE).min(longest)
    }

    fn refuse_admission(
        &self,
        line: &AdmissionLine,
        ahead: u32,
        reason: AdmissionRefusal,
        pause: Duration,
    ) -> Refusal {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let pause = pause.min(left.mul_f64(CALLERS_PART));
        self.gateway.metrics.note_admission_refusal(reason);
        self.log_admission(line, ahead, reason.text(), Some(pause));
        Refusal::not_run_until(NotRun::before_any_attempt(), reason.text(), pause)
    }

    fn log_admission(
        &self,
        line: &AdmissionLine,
        ahead: u32,
        outcome: &str,
        pause: Option<Duration>,
    ) {
        log::info!(
            request = self.attributes.request_id.as_deref().unwrap_or_default(),
            tenant = self.sender.tenant.as_deref().unwrap_or_default(),
            service = self.service.as_str(), urgency = line.urgency, slots = line.slots,
            ahead = ahead, waited_ms = line.arrived.elapsed().as_millis(),
            retry_ms = millis(pause);
            "admission: {outcome}"
        );
    }
}

/// What the log line of a decision says of the call.
struct AdmissionLine {
    urgency: u8,
    arrived: Instant,
    /// Slots of the workers that took work when it arrived.
    slots: u32,
}
