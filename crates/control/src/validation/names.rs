//! Syntax of names and addresses.

use std::net::IpAddr;

use crate::ControlError;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Checks the name of a resource, engine, zone or tenant: lower-case letters, digits, `-` and `.`,
/// starting and ending with a letter or digit.
pub(super) fn check_name(path: &str, name: &str) -> Result<(), ControlError> {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    check_text(
        path,
        name,
        is_allowed,
        "lower-case letters, digits, '-' and '.'",
    )
}

/// Checks the name of a model or tool, which is defined by an external system: letters, digits, `-`,
/// `.`, `_`, `/` and `:`, starting and ending with a letter or digit.
pub(super) fn check_external_name(path: &str, name: &str) -> Result<(), ControlError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b'/' | b':');
    check_text(
        path,
        name,
        is_allowed,
        "letters, digits, '-', '.', '_', '/' and ':'",
    )
}

/// Checks the base URL of a backend, which must have the form `http://IP:port`.
pub(super) fn check_url(path: &str, url: &str) -> Result<(), ControlError> {
    let problem = || ControlError::invalid(path, format!("expected http://IP:port, found {url:?}"));
    let authority = url.strip_prefix("http://").ok_or_else(problem)?;
    let (host, port) = authority.rsplit_once(':').ok_or_else(problem)?;
    let host = host
        .strip_prefix('[')
        .and_then(|host| host.strip_suffix(']'))
        .unwrap_or(host);
    let address_is_valid = host.parse::<IpAddr>().is_ok();
    let port_is_valid = port.parse::<u16>().is_ok_and(|port| port > 0);
    if address_is_valid && port_is_valid {
        Ok(())
    } else {
        Err(problem())
    }
}

fn check_text(
    path: &str,
    name: &str,
    is_allowed: impl Fn(u8) -> bool,
    allowed: &str,
) -> Result<(), ControlError> {
    if name.is_empty() {
        return Err(ControlError::invalid(path, "must not be empty"));
    }
    if name.len() > MAX_NAME_BYTES {
        let problem = format!("longer than {MAX_NAME_BYTES} bytes");
        return Err(ControlError::invalid(path, problem));
    }
    let is_name_byte = |byte: u8| is_allowed(byte) || matches!(byte, b'-' | b'.');
    let has_valid_ends = [name.bytes().next(), name.bytes().last()]
        .into_iter()
        .flatten()
        .all(|byte| byte.is_ascii_alphanumeric());
    if !name.bytes().all(is_name_byte) || !has_valid_ends {
        let problem = format!(
            "{name:?} is not a name: expected {allowed}, starting and ending with a letter or digit"
        );
        return Err(ControlError::invalid(path, problem));
    }
    Ok(())
}
