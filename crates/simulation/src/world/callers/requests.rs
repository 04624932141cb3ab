//! Handing requests to sidecars, again where a sidecar dies or does not answer.

use std::time::Duration;

use elderworks_sidecar_core::{Event as SidecarEvent, RequestId};
use elderworks_types::CallId;

use super::{CallerRequest, LOCAL_DELAY, PATIENCE, RETRY_INTERVAL, Wanted};
use crate::fault::CallPoint;
use crate::observation::Submission;
use crate::world::World;
use crate::world::event::CallerEvent;

impl World {
    pub(super) fn ask(&mut self, index: usize, wanted: Wanted) {
        let sidecar = self.callers[index].sidecar;
        if !self.sidecars[sidecar].slot.is_alive() {
            self.change_sidecar(index);
            self.ask_again(index, wanted, RETRY_INTERVAL);
            return;
        }
        self.requests_made += 1;
        let request = self.requests_made;
        let event = self.request_event(index, wanted, request);
        let pending = CallerRequest {
            caller: index,
            wanted,
            sidecar,
            submitted: self.now,
            streamed: None,
        };
        self.caller_requests.insert(request, pending);
        self.note_submission(index, wanted, sidecar);
        let start = self.sidecar_start(sidecar);
        self.deliver_to_sidecar_later(start, LOCAL_DELAY, event);
        self.wake_caller(index, PATIENCE, CallerEvent::OutOfPatience { request });
    }

    fn request_event(&self, index: usize, wanted: Wanted, request: RequestId) -> SidecarEvent {
        let caller = &self.callers[index];
        let run = caller.spec.id;
        let tenant = caller.spec.tenant.clone();
        match wanted {
            Wanted::Start => SidecarEvent::StartRun {
                request,
                spec: caller.spec.clone(),
            },
            Wanted::Call(number) => SidecarEvent::Call {
                request,
                tenant,
                run,
                spec: caller.open[&number].clone(),
            },
            Wanted::Read => SidecarEvent::ReadRun {
                request,
                tenant,
                run,
            },
            Wanted::End => SidecarEvent::EndRun {
                request,
                tenant,
                run,
            },
        }
    }

    fn note_submission(&mut self, index: usize, wanted: Wanted, sidecar: usize) {
        let Wanted::Call(number) = wanted else {
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
        self.reach_sidecar(CallPoint::Submitted, sidecar);
    }

    /// Asks again after a while; for a call only while it is still open.
    pub(super) fn ask_again(&mut self, index: usize, wanted: Wanted, after: Duration) {
        let event = match wanted {
            Wanted::Call(number) => CallerEvent::Resubmit { number },
            Wanted::Start | Wanted::Read | Wanted::End => CallerEvent::RetryRequest,
        };
        self.wake_caller(index, after, event);
    }

    pub(super) fn on_out_of_patience(&mut self, request: RequestId) {
        let Some(pending) = self.caller_requests.remove(&request) else {
            return;
        };
        self.trace.line(
            self.now,
            format_args!(
                "caller {}: no reply for {:?}",
                pending.caller, pending.wanted
            ),
        );
        let start = self.sidecar_start(pending.sidecar);
        self.deliver_to_sidecar_later(
            start,
            LOCAL_DELAY,
            SidecarEvent::CallerDisconnected { request },
        );
        self.change_sidecar(pending.caller);
        self.ask_again(pending.caller, pending.wanted, LOCAL_DELAY);
    }

    pub(super) fn on_broken(&mut self, request: RequestId) {
        if let Some(pending) = self.caller_requests.remove(&request) {
            self.change_sidecar(pending.caller);
            self.ask_again(pending.caller, pending.wanted, RETRY_INTERVAL);
        }
    }

    /// The sidecar's process died: its callers see their requests break off.
    pub(in crate::world) fn break_caller_requests(&mut self, sidecar: usize) {
        let broken: Vec<(RequestId, usize)> = self
            .caller_requests
            .iter()
            .filter(|(_, pending)| pending.sidecar == sidecar)
            .map(|(request, pending)| (*request, pending.caller))
            .collect();
        for (request, caller) in broken {
            self.wake_caller(caller, LOCAL_DELAY, CallerEvent::Broken { request });
        }
    }
}
