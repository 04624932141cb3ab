//! Authentication of callers by bearer token.

use actix_http::StatusCode;
use actix_http::header::{AUTHORIZATION, HeaderMap};
use elderworks_settings::SidecarProcessSettings;
use elderworks_types::TenantId;

use super::error::ApiError;

/// Returns the tenant that the request's bearer token belongs to.
///
/// # Errors
///
/// Returns a 401 error if the token is missing or unknown.
pub fn tenant(
    settings: &SidecarProcessSettings,
    headers: &HeaderMap,
) -> Result<TenantId, ApiError> {
    let presented = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| unauthorized("a bearer token is required"))?;
    settings
        .tenants
        .iter()
        .find(|(_, token)| token.expose() == presented)
        .map(|(tenant, _)| tenant.clone())
        .ok_or_else(|| unauthorized("unknown bearer token"))
}

fn unauthorized(message: &str) -> ApiError {
    ApiError::request(StatusCode::UNAUTHORIZED, "unauthorized", message)
}
