//! Validation of single values, shared by the settings of several processes.

use std::net::SocketAddr;
use std::time::Duration;

use crate::error::InvalidValue;

/// Returns an error if `value` is empty or blank.
pub(crate) fn check_not_empty(key: &str, value: &str) -> Result<(), InvalidValue> {
    if value.trim().is_empty() {
        return Err(InvalidValue::new(key, "must not be empty"));
    }
    Ok(())
}

/// Returns an error if `value` is zero.
pub(crate) fn check_positive(key: &str, value: u64) -> Result<(), InvalidValue> {
    if value == 0 {
        return Err(InvalidValue::new(key, "must be at least 1"));
    }
    Ok(())
}

/// Returns an error unless `url` is `http://IP:port`, optionally with a path. Host names are rejected
/// because processes don't resolve names.
pub(crate) fn check_url(key: &str, url: &str) -> Result<(), InvalidValue> {
    let invalid = || InvalidValue::new(key, format!("expected http://IP:port, found `{url}`"));
    let rest = url.strip_prefix("http://").ok_or_else(invalid)?;
    let authority = rest.split('/').next().unwrap_or_default();
    authority.parse::<SocketAddr>().map_err(|_| invalid())?;
    Ok(())
}

/// Returns an error if `duration` is zero.
pub(crate) fn check_duration(key: &str, duration: Duration) -> Result<(), InvalidValue> {
    if duration.is_zero() {
        return Err(InvalidValue::new(key, "must be longer than zero"));
    }
    Ok(())
}
