//! Checks of single values that several processes' settings share.

use std::net::SocketAddr;
use std::time::Duration;

use crate::error::Problem;

/// Refuses an empty or blank text.
pub(crate) fn check_not_empty(key: &str, value: &str) -> Result<(), Problem> {
    if value.trim().is_empty() {
        return Err(Problem::new(key, "must not be empty"));
    }
    Ok(())
}

/// Refuses zero.
pub(crate) fn check_positive(key: &str, value: u64) -> Result<(), Problem> {
    if value == 0 {
        return Err(Problem::new(key, "must be at least 1"));
    }
    Ok(())
}

/// Refuses any URL but `http://IP:port`, optionally with a path: processes talk by IP numbers.
pub(crate) fn check_url(key: &str, url: &str) -> Result<(), Problem> {
    let wrong = || Problem::new(key, format!("expected http://IP:port, found `{url}`"));
    let rest = url.strip_prefix("http://").ok_or_else(wrong)?;
    let authority = rest.split('/').next().unwrap_or_default();
    authority.parse::<SocketAddr>().map_err(|_| wrong())?;
    Ok(())
}

/// Refuses a duration of zero.
pub(crate) fn check_duration(key: &str, duration: Duration) -> Result<(), Problem> {
    if duration.is_zero() {
        return Err(Problem::new(key, "must be longer than zero"));
    }
    Ok(())
}
