//! A watch as a stream of JSON lines.

use std::convert::Infallible;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use elderworks_control::Change;
use elderworks_control::api::{ApiError, ErrorCode, WatchLine};
use elderworks_types::Offset;
use futures_util::{Stream, stream};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// An idle watch carries an empty line this often, so that either side notices a dead connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Which changes a watcher wants to see.
#[derive(Clone, Debug)]
pub(super) struct WatchFilter {
    /// Only later revisions.
    pub(super) after: Offset,
    /// Only this resource.
    pub(super) name: Option<String>,
}

impl WatchFilter {
    fn wants(&self, change: &Change) -> bool {
        let name_matches = self
            .name
            .as_ref()
            .is_none_or(|name| change.name.as_str() == name);
        name_matches && change.revision > self.after
    }
}

/// The error for a watch from a revision that is no longer remembered.
pub(super) fn too_old() -> ApiError {
    let message = "the changes after that revision are no longer remembered: list anew";
    ApiError::new(ErrorCode::WatchTooOld, message)
}

/// Streams the changes that a watcher wants.
pub(super) fn watch_response(
    changes: mpsc::Receiver<Change>,
    filter: WatchFilter,
) -> Response<BoxBody> {
    let body = BodyStream::new(lines(changes, filter));
    let mut response = Response::with_body(StatusCode::OK, body.boxed());
    let json_lines = HeaderValue::from_static("application/x-ndjson");
    response.headers_mut().insert(CONTENT_TYPE, json_lines);
    response
}

fn lines(
    changes: mpsc::Receiver<Change>,
    filter: WatchFilter,
) -> impl Stream<Item = Result<Bytes, Infallible>> {
    stream::unfold((changes, filter), |(mut changes, filter)| async move {
        let line = next_line(&mut changes, &filter).await?;
        Some((Ok(line), (changes, filter)))
    })
}

/// The next line, an empty one after a time without any; `None` at the end of the watch.
async fn next_line(changes: &mut mpsc::Receiver<Change>, filter: &WatchFilter) -> Option<Bytes> {
    loop {
        let Ok(change) = timeout(KEEP_ALIVE_INTERVAL, changes.recv()).await else {
            return Some(Bytes::from_static(b"\n"));
        };
        let change = change?;
        if filter.wants(&change) {
            return Some(encode_line(&change));
        }
    }
}

fn encode_line(change: &Change) -> Bytes {
    let line = WatchLine::from(change);
    let mut bytes = serde_json::to_vec(&line).expect("API types are plain data with text keys");
    bytes.push(b'\n');
    Bytes::from(bytes)
}
