//! The real clock, in the units of the models.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use elderworks_types::Timestamp;

/// The time now.
pub(crate) fn now() -> Timestamp {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Timestamp::default() + since_epoch.unwrap_or(Duration::ZERO)
}

/// Waits until `due`.
pub(crate) async fn sleep_until(due: Timestamp) {
    actix_rt::time::sleep(due.since(now())).await;
}
