//! What a request asks for: path, query and headers.

use actix_http::Method;
use actix_http::header::{HeaderMap, IF_MATCH, IF_NONE_MATCH};
use elderworks_control::api::{API_PREFIX, ApiError, Collection, ErrorCode, UnknownCollection};
use elderworks_types::Offset;
use serde::Deserialize;

/// The collection that stands for all written kinds in a watch.
const ALL_CHANGES: &str = "changes";

/// What a path names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Target {
    /// Changes of every written kind.
    AllChanges,
    /// A whole collection.
    Collection(Collection),
    /// One resource.
    Item(Collection, String),
}

/// Reads a path below [`API_PREFIX`].
pub(super) fn parse_path(path: &str) -> Result<Target, ApiError> {
    let not_found = || ApiError::new(ErrorCode::NotFound, format!("there is no path {path:?}"));
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

/// What a query may say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct Query {
    /// Whether to follow changes.
    pub(super) watch: bool,
    /// Last revision seen by the watcher; absent, the watch begins with the next change.
    pub(super) after: Option<u64>,
}

/// Reads a query.
pub(super) fn parse_query(query: Option<&str>) -> Result<Query, ApiError> {
    serde_urlencoded::from_str(query.unwrap_or_default())
        .map_err(|error| ApiError::new(ErrorCode::Malformed, format!("query: {error}")))
}

/// The revision that a change expects, by `If-Match: "12"` or `If-None-Match: *` (0: it must not
/// exist); absent, the change is unconditional.
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

/// The error for a method that a path does not take.
pub(super) fn method_not_allowed(method: &Method, allowed: &str) -> ApiError {
    let message = format!("{method} is not taken here; allowed: {allowed}");
    ApiError::new(ErrorCode::MethodNotAllowed, message)
}
