//! Requests of callers to sidecars, retried if a sidecar dies or does not answer.

use std::time::Duration;

use elderworks_sidecar_core::{Event as SidecarEvent, RequestId};
use elderworks_types::CallId;

use super::{CallerRequest, LOCAL_DELAY, REPLY_TIMEOUT, RETRY_INTERVAL, RequestKind};
use crate::fault::CallPoint;
use crate::observation::Submission;
use crate::world::World;
use crate::world::event::CallerEvent;

impl World {
    /// Sends a request to the caller's sidecar, or schedules a retry through the next one if it is not
    /// running.
    pub(super) fn send_request(&mut self, index: usize, kind: RequestKind) {
        let sidecar = self.callers[index].sidecar;
        if !self.sidecars[sidecar].slot.is_alive() {
            self.change_sidecar(index);
            self.retry_later(index, kind, RETRY_INTERVAL);
            return;
        }
        self.requests_made += 1;
        let request = self.requests_made;
        let event = self.request_event(index, kind, request);
        let pending = CallerRequest {
            caller: index,
            kind,
            sidecar,
            submitted: self.now,
            streamed: None,
        };
        self.caller_requests.insert(request, pending);
        self.record_submission(index, kind, sidecar);
        let start = self.sidecar_start(sidecar);
        self.deliver_to_sidecar_later(start, LOCAL_DELAY, event);
        self.schedule_caller(index, REPLY_TIMEOUT, CallerEvent::ReplyTimeout { request });
    }

    fn request_event(&self, index: usize, kind: RequestKind, request: RequestId) -> SidecarEvent {
        let caller = &self.callers[index];
        let run = caller.spec.id;
        let tenant = caller.spec.tenant.clone();
        match kind {
            RequestKind::Start => SidecarEvent::StartRun {
                request,
                spec: caller.spec.clone(),
            },
            RequestKind::Call(number) => SidecarEvent::Call {
                request,
                tenant,
                run,
                spec: caller.open[&number].clone(),
            },
            RequestKind::Read => SidecarEvent::ReadRun {
                request,
                tenant,
                run,
            },
            RequestKind::End => SidecarEvent::EndRun {
                request,
                tenant,
                run,
            },
        }
    }

    fn record_submission(&mut self, index: usize, kind: RequestKind, sidecar: usize) {
        let RequestKind::Call(number) = kind else {
            return;
        };
        let caller = &self.callers[index];
        let run = caller.spec.id;
        let call = CallId { run, number };
        self.trace.line(
            self.now,
            format_args!("caller {index}: submits {call} by sidecar-{sidecar}"),
        );
        self.observations.submissions.push(Submission {
            at: self.now,
            call,
            spec: caller.open[&number].clone(),
            sidecar,
        });
        self.sidecar_reached(CallPoint::Submitted, sidecar);
    }

    /// Schedules a retry. A call is only retried if it is still open at that time.
    pub(super) fn retry_later(&mut self, index: usize, kind: RequestKind, after: Duration) {
        let event = match kind {
            RequestKind::Call(number) => CallerEvent::Resubmit { number },
            RequestKind::Start | RequestKind::Read | RequestKind::End => CallerEvent::RetryRequest,
        };
        self.schedule_caller(index, after, event);
    }

    pub(super) fn on_reply_timeout(&mut self, request: RequestId) {
        let Some(pending) = self.caller_requests.remove(&request) else {
            return;
        };
        self.trace.line(
            self.now,
            format_args!("caller {}: no reply for {:?}", pending.caller, pending.kind),
        );
        let start = self.sidecar_start(pending.sidecar);
        self.deliver_to_sidecar_later(
            start,
            LOCAL_DELAY,
            SidecarEvent::CallerDisconnected { request },
        );
        self.change_sidecar(pending.caller);
        self.retry_later(pending.caller, pending.kind, LOCAL_DELAY);
    }

    pub(super) fn on_disconnected(&mut self, request: RequestId) {
        if let Some(pending) = self.caller_requests.remove(&request) {
            self.change_sidecar(pending.caller);
            self.retry_later(pending.caller, pending.kind, RETRY_INTERVAL);
        }
    }

    /// Notifies the callers with requests to a sidecar that its process has died.
    pub(in crate::world) fn disconnect_callers(&mut self, sidecar: usize) {
        let broken: Vec<(RequestId, usize)> = self
            .caller_requests
            .iter()
            .filter(|(_, pending)| pending.sidecar == sidecar)
            .map(|(request, pending)| (*request, pending.caller))
            .collect();
        for (request, caller) in broken {
            self.schedule_caller(caller, LOCAL_DELAY, CallerEvent::Disconnected { request });
        }
    }
}
