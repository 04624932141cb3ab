//! A model shared by concurrent requests, with change notifications.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

/// A model behind a mutex, with a signal for changes.
pub(crate) struct Shared<M> {
    model: Mutex<M>,
    changed: watch::Sender<()>,
}

impl<M> Shared<M> {
    pub(crate) fn new(model: M) -> Self {
        Self {
            model: Mutex::new(model),
            changed: watch::Sender::new(()),
        }
    }

    /// Locks the model without signalling a change.
    pub(crate) fn lock(&self) -> MutexGuard<'_, M> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the model and wakes all subscribers.
    pub(crate) fn update<R>(&self, change: impl FnOnce(&mut M) -> R) -> R {
        let result = change(&mut self.lock());
        self.changed.send_replace(());
        result
    }

    /// Returns a receiver that is notified of every later `update`.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }
}

/// Waits for the next change. Never returns after the model has been dropped.
pub(crate) async fn next_change(changes: &mut watch::Receiver<()>) {
    if changes.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}
