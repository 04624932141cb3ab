//! Making sure that an engine no longer runs a request, before another worker may run it.

use std::net::SocketAddr;

use elderworks_gateway_core::run_moves::stop::{self, RunStop, StopOutcome, StopStep};
use elderworks_gateway_core::run_moves::{CallEnd, CopyPath, Engine};
use elderworks_http_client::connect::ConnectError;
use elderworks_types::Timestamp;

use super::CallError;
use super::attempts::Call;
use super::migration::free;
use crate::socket;

/// Id before that of a stream's first event.
const NO_EVENT: &str = "0";

impl Call<'_> {
    /// Makes sure that an engine no longer runs the request or is lost, so that another worker may run it.
    /// An error means that it may still run it, or that the route allows no other worker.
    pub(super) async fn stop_run(
        &mut self,
        engine: &Engine,
        last_event_id: Option<&str>,
    ) -> Result<(), CallError> {
        let is_possible = self.history.may_leave_after_stop(self.retry_rules());
        let answered = match is_possible {
            true => self.request_stop(engine, last_event_id).await,
            false => StopOutcome::Unsure,
        };
        let outcome = match answered {
            StopOutcome::Unsure if self.is_unreachable(engine).await => StopOutcome::Lost,
            outcome => outcome,
        };
        log::info!(
            request = self.attributes.request_id.as_deref().unwrap_or_default(),
            worker = engine.worker.as_str(), attempts = self.route.attempts, asked = is_possible,
            tried = self.tried().join(",").as_str(), ms = self.received.elapsed().as_millis();
            "run to be left to another worker: {}", outcome.text()
        );
        match outcome {
            StopOutcome::Stopped => self.history.note_stopped(&engine.worker),
            StopOutcome::Lost => self.history.note_lost(&engine.worker),
            StopOutcome::Unsure => return Err(self.give_up()),
        }
        Ok(())
    }

    /// Returns whether no connection to an engine can be established and it isn't heard on another one.
    async fn is_unreachable(&self, engine: &Engine) -> bool {
        let since = self.gateway.now();
        let connected = socket::connect(engine.address).await;
        let is_unreachable = matches!(connected, Err(ConnectError::Unreachable(_)));
        is_unreachable && !self.was_heard_at(engine.address, since)
    }

    /// Returns whether the worker at an address was heard at this time or later, so that it isn't lost.
    pub(super) fn was_heard_at(&self, address: SocketAddr, since: Timestamp) -> bool {
        let workers = self.gateway.workers.borrow();
        let mut at_address = workers
            .iter()
            .filter(|worker| worker.record.address == address);
        at_address.any(|worker| workers.was_heard_since(&worker.record.id, since))
    }

    /// Asks an engine to stop the call's run, so that another one may run it after its last event.
    async fn request_stop(&mut self, engine: &Engine, last_event_id: Option<&str>) -> StopOutcome {
        let moves_runs = self.engine_moves().moves_runs;
        let Some(other) = self.any_other(engine).filter(|_| moves_runs) else {
            return StopOutcome::Unsure;
        };
        let path = CopyPath {
            source: engine.address,
            target: other,
        };
        let last_event_id = last_event_id.unwrap_or(NO_EVENT);
        let mut stop = RunStop::default();
        loop {
            let end = self.request_copy(path, Some(last_event_id)).await;
            if let StopStep::Done(outcome) = stop.after_call(&end) {
                self.free_left_copy(engine, end);
                return outcome;
            }
        }
    }

    /// Returns the address of another engine of the call's service, which calls to stop a run name.
    fn any_other(&self, engine: &Engine) -> Option<SocketAddr> {
        let workers = self.gateway.workers.borrow();
        let mut others = workers.accepting(&self.service);
        let other = others.find(|worker| worker.record.id != engine.worker);
        other.map(|worker| worker.record.address)
    }

    fn free_left_copy(&self, engine: &Engine, end: CallEnd) {
        let Some(copy) = stop::left_copy(engine.address, end) else {
            return;
        };
        let gateway = self.gateway.clone();
        let request_id = self.attributes.request_id.clone().unwrap_or_default();
        actix_rt::spawn(async move { free(&gateway, &request_id, &copy).await });
    }
}
