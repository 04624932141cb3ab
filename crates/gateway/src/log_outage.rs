//! Detects outages of the log, and lets turns wait until the log is available again.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use elderworks_gateway_core::log_outage::{LogOutageDetector, LogState, LogStatus, POLL_INTERVAL};
use elderworks_types::NodeId;
use tokio::sync::watch;

use crate::clock::millis;
use crate::gateway::Gateway;
use crate::ports::StoreError;

/// The state of the log as observed by this node and reported by others.
#[derive(Debug)]
pub(crate) struct LogOutage {
    watch: RefCell<LogOutageDetector>,
    state: watch::Sender<LogState>,
}

impl Default for LogOutage {
    fn default() -> Self {
        Self {
            watch: RefCell::default(),
            state: watch::Sender::new(LogState::Normal),
        }
    }
}

impl LogOutage {
    /// Returns the current state of the log.
    pub(crate) fn state(&self) -> LogState {
        *self.state.borrow()
    }

    /// Returns a receiver that is notified of changes of the state.
    pub(crate) fn changes(&self) -> watch::Receiver<LogState> {
        self.state.subscribe()
    }

    /// Waits up to `max_wait` until the log is not silent. Returns whether it answers again.
    pub(crate) async fn wait_until_available(&self, max_wait: Duration) -> bool {
        let mut changes = self.state.subscribe();
        let back = changes.wait_for(|state| !state.is_silent());
        actix_rt::time::timeout(max_wait, back).await.is_ok()
    }

    /// Returns the report that this node sends to others.
    pub(crate) fn own_report(&self, gateway: &Gateway) -> LogStatus {
        self.watch.borrow().status(gateway.now())
    }

    /// Applies another node's report. Returns whether the log has answered this node since, which is then
    /// to be reported back.
    pub(crate) fn apply_report(&self, gateway: &Gateway, node: NodeId, status: LogStatus) -> bool {
        let is_refuted = self
            .watch
            .borrow_mut()
            .on_peer_status(gateway.now(), node, status);
        self.publish(gateway);
        is_refuted
    }

    /// Updates the state with the passage of time and the number of other nodes.
    pub(crate) fn poll(&self, gateway: &Gateway) {
        let mut watch = self.watch.borrow_mut();
        watch.set_peer_count(gateway.peers.count_others());
        watch.poll(gateway.now());
        drop(watch);
        self.publish(gateway);
    }

    /// Runs a call to the log and observes how long it takes.
    pub(crate) async fn observe<T>(
        &self,
        gateway: &Gateway,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        if !gateway.settings.policy.silence_watch {
            return call.await;
        }
        let number = gateway.next_sequence();
        let started = Instant::now();
        self.watch.borrow_mut().call_started(gateway.now(), number);
        let mut call = std::pin::pin!(call);
        let result = loop {
            tokio::select! {
                biased;
                result = &mut call => break result,
                () = actix_rt::time::sleep(POLL_INTERVAL) => self.poll(gateway),
            }
        };
        let mut watch = self.watch.borrow_mut();
        match &result {
            Ok(_) | Err(StoreError::Conflict { .. } | StoreError::Gone { .. }) => {
                watch.call_answered(gateway.now(), number, started.elapsed());
            }
            Err(StoreError::Unavailable(_) | StoreError::Unknown(_)) => {
                watch.call_failed(gateway.now(), number);
            }
        }
        drop(watch);
        self.publish(gateway);
        result
    }

    /// Publishes the state if it has changed, and logs the start and the end of an outage.
    fn publish(&self, gateway: &Gateway) {
        let current = self.watch.borrow().state();
        let before = self.state();
        if current == before {
            return;
        }
        self.state.send_replace(current);
        if current.is_silent() == before.is_silent() {
            return;
        }
        let since = before.since().or(current.since());
        let lasts = since.map(|since| gateway.now().since(since));
        gateway.metrics.note_log_silence(current.is_silent());
        match current.is_silent() {
            true => log::warn!(for_ms = millis(lasts); "the log is silent"),
            false => log::info!(for_ms = millis(lasts); "the log is no longer silent"),
        }
    }
}
