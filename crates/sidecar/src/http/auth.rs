//! On whose behalf a request is made.

use actix_http::StatusCode;
use actix_http::header::{AUTHORIZATION, HeaderMap};
use elderworks_settings::SidecarProcessSettings;
use elderworks_types::TenantId;

use super::error::ApiError;

/// The tenant whose bearer token the request shows.
pub fn tenant(
    settings: &SidecarProcessSettings,
    headers: &HeaderMap,
) -> Result<TenantId, ApiError> {
    let presented = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| unauthorized("a bearer token is needed"))?;
    settings
        .tenants
        .iter()
        .find(|(_, token)| token.expose() == presented)
        .map(|(tenant, _)| tenant.clone())
        .ok_or_else(|| unauthorized("the bearer token is not known"))
}

fn unauthorized(message: &str) -> ApiError {
    ApiError::request(StatusCode::UNAUTHORIZED, "unauthorized", message)
}
