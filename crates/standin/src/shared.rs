//! A model that many requests share, and that tells them of its changes.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

/// A model behind a lock, with a signal of changes.
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

    /// Looks at the model, or changes it without a signal.
    pub(crate) fn lock(&self) -> MutexGuard<'_, M> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the model and wakes all who wait for a change.
    pub(crate) fn update<R>(&self, change: impl FnOnce(&mut M) -> R) -> R {
        let result = change(&mut self.lock());
        self.changed.send_replace(());
        result
    }

    /// Sees every change from now on.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }
}

/// Waits for the next change. Never returns once the model is gone.
pub(crate) async fn next_change(changes: &mut watch::Receiver<()>) {
    if changes.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}
