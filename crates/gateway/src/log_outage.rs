//! Watches whether the log answers, and lets turns wait for its return.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use elderworks_gateway_core::log_outage::{LogOutageDetector, LogState, LogStatus, POLL_INTERVAL};
use elderworks_types::NodeId;
use tokio::sync::watch;

use crate::clock::millis;
use crate::gateway::Gateway;
use crate::ports::StoreError;

/// What this node knows of the log's silence.
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
    /// What is known now.
    pub(crate) fn state(&self) -> LogState {
        *self.state.borrow()
    }

    /// Hears of changes.
    pub(crate) fn changes(&self) -> watch::Receiver<LogState> {
        self.state.subscribe()
    }

    /// Waits until the log is not silent, `longest` at most. Tells whether it is back.
    pub(crate) async fn wait_until_available(&self, longest: Duration) -> bool {
        let mut news = self.state.subscribe();
        let back = news.wait_for(|state| !state.is_silent());
        actix_rt::time::timeout(longest, back).await.is_ok()
    }

    /// What this node tells others.
    pub(crate) fn word(&self, gateway: &Gateway) -> LogStatus {
        self.watch.borrow().status(gateway.now())
    }

    /// Takes another node's word; tells whether it is to be told that the log has answered since.
    pub(crate) fn take(&self, gateway: &Gateway, node: NodeId, word: LogStatus) -> bool {
        let is_refuted = self
            .watch
            .borrow_mut()
            .on_peer_status(gateway.now(), node, word);
        self.publish(gateway);
        is_refuted
    }

    /// Drops what is too old.
    pub(crate) fn look(&self, gateway: &Gateway) {
        let mut watch = self.watch.borrow_mut();
        watch.set_peer_count(gateway.peers.count_others());
        watch.poll(gateway.now());
        drop(watch);
        self.publish(gateway);
    }

    /// Runs a call to the log, and looks how long it takes.
    pub(crate) async fn observe<T>(
        &self,
        gateway: &Gateway,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        if !gateway.settings.policy.silence_watch {
            return call.await;
        }
        let number = gateway.next_sequence();
        let began = Instant::now();
        self.watch.borrow_mut().call_started(gateway.now(), number);
        let mut call = std::pin::pin!(call);
        let ended = loop {
            tokio::select! {
                biased;
                ended = &mut call => break ended,
                () = actix_rt::time::sleep(POLL_INTERVAL) => self.look(gateway),
            }
        };
        // A refusal or a failure leaves open whether others are served.
        if let Ok(_) | Err(StoreError::Conflict { .. } | StoreError::Gone { .. }) = &ended {
            let mut watch = self.watch.borrow_mut();
            watch.call_answered(gateway.now(), number, began.elapsed());
            drop(watch);
            self.publish(gateway);
        }
        ended
    }

    fn publish(&self, gateway: &Gateway) {
        let present = self.watch.borrow().state();
        let before = self.state();
        if present == before {
            return;
        }
        self.state.send_replace(present);
        if present.is_silent() == before.is_silent() {
            return;
        }
        let since = before.since().or(present.since());
        let lasts = since.map(|since| gateway.now().since(since));
        gateway.metrics.note_log_silence(present.is_silent());
        match present.is_silent() {
            true => log::warn!(for_ms = millis(lasts); "the log is silent"),
            false => log::info!(for_ms = millis(lasts); "the log is no longer silent"),
        }
    }
}
