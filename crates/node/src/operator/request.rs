//! Parsing of request paths, queries and headers.

use actix_http::Method;
use actix_http::header::{HeaderMap, IF_MATCH, IF_NONE_MATCH};
use elderworks_control::api::{API_PREFIX, ApiError, Collection, ErrorCode, UnknownCollection};
use elderworks_types::Offset;
use serde::Deserialize;

/// Path segment that, in a watch, selects all writable kinds.
const ALL_CHANGES: &str = "changes";

/// The target of a request path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Target {
    /// Changes to resources of all writable kinds.
    AllChanges,
    /// A whole collection.
    Collection(Collection),
    /// One resource.
    Item(Collection, String),
}

/// Parses a path below [`API_PREFIX`].
///
/// # Errors
///
/// Returns an error if the path has no known collection or too many segments.
pub(super) fn parse_path(path: &str) -> Result<Target, ApiError> {
    let not_found = || ApiError::new(ErrorCode::NotFound, format!("path {path:?} does not exist"));
    let rest = path.strip_prefix(API_PREFIX).ok_or_else(not_found)?;
    let rest = rest.strip_prefix('/').ok_or_else(not_found)?;
    let (collection, name) = match rest.split_once('/') {
        Some((collection, name)) => (collection, Some(name)),
        None => (rest, None),
    };
    if collection == ALL_CHANGES && name.is_none() {
        return Ok(Target::AllChanges);
    }
    let collection: Collection = collection.parse().map_err(|error: UnknownCollection| {
        ApiError::new(ErrorCode::NotFound, error.to_string())
    })?;
    match name {
        None | Some("") => Ok(Target::Collection(collection)),
        Some(name) if name.contains('/') => Err(not_found()),
        Some(name) => Ok(Target::Item(collection, name.to_owned())),
    }
}

/// The query parameters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct Query {
    /// Whether to follow changes.
    pub(super) watch: bool,
    /// Last revision that the watcher has seen. If absent, the watch starts with the next change.
    pub(super) after: Option<u64>,
}

/// Parses a query string.
///
/// # Errors
///
/// Returns an error if the query has unknown parameters or malformed values.
pub(super) fn parse_query(query: Option<&str>) -> Result<Query, ApiError> {
    serde_urlencoded::from_str(query.unwrap_or_default())
        .map_err(|error| ApiError::new(ErrorCode::Malformed, format!("query: {error}")))
}

/// Returns the revision that a change expects, from `If-Match: "12"` or `If-None-Match: *` (0: the
/// resource must not exist). Returns `None` for an unconditional change.
///
/// # Errors
///
/// Returns an error if `If-Match` has no single revision.
pub(super) fn expected_revision(headers: &HeaderMap) -> Result<Option<Offset>, ApiError> {
    if headers.get(IF_NONE_MATCH).is_some_and(|value| value == "*") {
        return Ok(Some(Offset(0)));
    }
    let Some(value) = headers.get(IF_MATCH) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default().trim_matches('"');
    let revision = text.parse().map_err(|_| {
        let message = "If-Match: expected one revision, for example \"12\"";
        ApiError::new(ErrorCode::Malformed, message)
    })?;
    Ok(Some(Offset(revision)))
}

/// Creates the error for a method that a path does not support.
pub(super) fn method_not_allowed(method: &Method, allowed: &str) -> ApiError {
    let message = format!("method {method} is not supported here; supported: {allowed}");
    ApiError::new(ErrorCode::MethodNotAllowed, message)
}
