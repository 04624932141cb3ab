//! Responses that stream a watch as JSON lines.

use std::convert::Infallible;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use elderworks_control::Change;
use elderworks_control::api::{ApiError, ErrorCode, WatchLine};
use elderworks_control::watch::WatchError;
use elderworks_types::Offset;
use futures_util::{Stream, stream};
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::WatchMessage;

/// Interval at which an idle watch sends an empty line, so that both sides detect a dead connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Selects the changes that a watcher receives.
#[derive(Clone, Debug)]
pub(super) struct WatchFilter {
    /// Selects changes with a later revision.
    pub(super) after: Offset,
    /// Selects changes of this resource; `None` selects all resources.
    pub(super) name: Option<String>,
}

impl WatchFilter {
    fn selects(&self, change: &Change) -> bool {
        let name_matches = self
            .name
            .as_ref()
            .is_none_or(|name| change.name.as_str() == name);
        name_matches && change.revision > self.after
    }
}

/// Waits up to `reply_timeout` for the watch to start, and returns a response that streams it.
///
/// # Errors
///
/// Returns an error if the node core refuses the watch or does not reply in time.
pub(super) async fn watch_response(
    mut messages: mpsc::Receiver<WatchMessage>,
    filter: WatchFilter,
    reply_timeout: Duration,
) -> Result<Response<BoxBody>, ApiError> {
    match timeout(reply_timeout, messages.recv()).await {
        Ok(Some(WatchMessage::Started(Ok(())))) => {}
        Ok(Some(WatchMessage::Started(Err(error)))) => return Err(watch_error(error)),
        Ok(Some(WatchMessage::Change(_)) | None) | Err(_) => {
            return Err(ApiError::unavailable("the watch did not start"));
        }
    }
    let body = BodyStream::new(lines(messages, filter));
    let mut response = Response::with_body(StatusCode::OK, body.boxed());
    let json_lines = HeaderValue::from_static("application/x-ndjson");
    response.headers_mut().insert(CONTENT_TYPE, json_lines);
    Ok(response)
}

fn watch_error(error: WatchError) -> ApiError {
    let message = error.to_string();
    match error {
        WatchError::TooOld => ApiError::new(ErrorCode::WatchTooOld, message),
        WatchError::TooMany => ApiError::unavailable(message),
    }
}

fn lines(
    messages: mpsc::Receiver<WatchMessage>,
    filter: WatchFilter,
) -> impl Stream<Item = Result<Bytes, Infallible>> {
    stream::unfold((messages, filter), |(mut messages, filter)| async move {
        let line = next_line(&mut messages, &filter).await?;
        Some((Ok(line), (messages, filter)))
    })
}

/// Returns the next line, an empty one after [`KEEP_ALIVE_INTERVAL`] without a change, or `None` at
/// the end of the watch.
async fn next_line(
    messages: &mut mpsc::Receiver<WatchMessage>,
    filter: &WatchFilter,
) -> Option<Bytes> {
    loop {
        let Ok(message) = timeout(KEEP_ALIVE_INTERVAL, messages.recv()).await else {
            return Some(Bytes::from_static(b"\n"));
        };
        match message? {
            WatchMessage::Change(change) if filter.selects(&change) => {
                return Some(encode_line(&change));
            }
            WatchMessage::Change(_) | WatchMessage::Started(_) => {}
        }
    }
}

fn encode_line(change: &Change) -> Bytes {
    let line = WatchLine::from(change);
    let mut bytes = serde_json::to_vec(&line).expect("API types are plain data with text keys");
    bytes.push(b'\n');
    Bytes::from(bytes)
}
