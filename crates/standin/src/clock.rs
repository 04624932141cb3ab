//! The system clock as a `Timestamp`.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use elderworks_types::Timestamp;

/// Returns the current time.
pub(crate) fn now() -> Timestamp {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Timestamp::default() + since_epoch.unwrap_or(Duration::ZERO)
}

/// Waits until `due`; returns immediately if it has passed.
pub(crate) async fn sleep_until(due: Timestamp) {
    actix_rt::time::sleep(due.since(now())).await;
}
