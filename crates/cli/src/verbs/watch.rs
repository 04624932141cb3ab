//! `watch`: streams changes of resources and reconnects after connection failures and node
//! restarts.

use std::ops::ControlFlow;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use elderworks_control::api::{API_PREFIX, Collection, ErrorCode, WatchAction, WatchLine};
use elderworks_http_client::client::Response;
use elderworks_types::resource::Kind;
use tokio::time::{sleep, timeout};

use super::{ApiClient, OutputFormat, VerbError};

/// Time without data after which a connection is considered dead. Nodes send data at least every
/// five seconds.
const SILENCE_LIMIT: Duration = Duration::from_secs(15);

/// Initial pause before reconnecting; doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// Maximum pause before reconnecting.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Maximum length of a line, in bytes.
const MAX_LINE_BYTES: usize = 16 * 1024 * 1024;

/// Selection of the resources to watch.
#[derive(Clone, Debug)]
pub struct WatchTarget {
    /// Kind to watch; `None` for all kinds.
    pub kind: Option<Kind>,
    /// Name of a single resource; `None` for all.
    pub name: Option<String>,
    /// Revision after which changes are reported; `None` reports the present resources first.
    pub after: Option<u64>,
}

impl WatchTarget {
    /// Creates a target.
    ///
    /// # Errors
    ///
    /// Fails for collections that operators do not write, since nodes offer no watch on them.
    pub fn new(
        collection: Option<Collection>,
        name: Option<String>,
        after: Option<u64>,
    ) -> Result<Self, VerbError> {
        let kind = match collection {
            None => None,
            Some(Collection::Writable(kind)) => Some(kind),
            Some(other) => {
                return Err(VerbError::Usage(format!("{other} cannot be watched")));
            }
        };
        Ok(Self { kind, name, after })
    }

    fn path(&self, after: u64) -> String {
        let collection = match self.kind {
            Some(kind) => Collection::Writable(kind).plural(),
            None => "changes",
        };
        let name = self.name.iter().map(|name| format!("/{name}"));
        let name: String = name.collect();
        format!("{API_PREFIX}/{collection}{name}?watch=true&after={after}")
    }

    fn kinds(&self) -> Vec<Kind> {
        match self.kind {
            Some(kind) => vec![kind],
            None => vec![
                Kind::Configuration,
                Kind::Service,
                Kind::Budget,
                Kind::Program,
            ],
        }
    }
}

/// Passes every change to `sink` until it returns `Break`. After a connection failure, the watch
/// resumes after the last revision received; if a node no longer has that revision, all resources
/// are listed again.
///
/// # Errors
///
/// Fails on errors that a retry cannot resolve, for example if the operator is not authorized.
pub async fn watch(
    client: &ApiClient,
    target: &WatchTarget,
    mut sink: impl FnMut(&WatchLine) -> ControlFlow<()>,
) -> Result<(), VerbError> {
    let mut after = target.after;
    let mut backoff = MIN_BACKOFF;
    loop {
        match follow(client, target, &mut after, &mut sink).await {
            Ok(ControlFlow::Break(())) => return Ok(()),
            Ok(ControlFlow::Continue(())) => backoff = MIN_BACKOFF,
            Err(error) if error.code() == Some(ErrorCode::WatchTooOld) => after = None,
            Err(error) if is_transient(&error) => log::warn!("watch: {error}; trying again"),
            Err(error) => return Err(error),
        }
        sleep(backoff).await;
        backoff = MAX_BACKOFF.min(backoff * 2);
    }
}

/// Passes the changes of one connection to `sink` until the connection ends.
async fn follow(
    client: &ApiClient,
    target: &WatchTarget,
    after: &mut Option<u64>,
    sink: &mut impl FnMut(&WatchLine) -> ControlFlow<()>,
) -> Result<ControlFlow<()>, VerbError> {
    let from = match *after {
        Some(revision) => revision,
        None => {
            let (revision, flow) = list_all(client, target, sink).await?;
            *after = Some(revision);
            if flow.is_break() {
                return Ok(flow);
            }
            revision
        }
    };
    let response = client.stream(&target.path(from)).await?;
    let mut lines = Lines::new(response);
    while let Some(line) = lines.next().await? {
        *after = Some(line.revision);
        if sink(&line).is_break() {
            return Ok(ControlFlow::Break(()));
        }
    }
    Ok(ControlFlow::Continue(()))
}

/// Passes all present resources to `sink` and returns the revision after which to watch.
async fn list_all(
    client: &ApiClient,
    target: &WatchTarget,
    sink: &mut impl FnMut(&WatchLine) -> ControlFlow<()>,
) -> Result<(u64, ControlFlow<()>), VerbError> {
    // The lists are read one after the other, so the watch starts after the lowest of their
    // revisions.
    let mut revision = None;
    for kind in target.kinds() {
        let list = client.list(Collection::Writable(kind)).await?;
        let listed = list.revision.unwrap_or_default();
        revision = Some(revision.map_or(listed, |lowest: u64| lowest.min(listed)));
        for document in list.items {
            let is_wanted = target
                .name
                .as_ref()
                .is_none_or(|name| *name == document.metadata.name);
            if !is_wanted {
                continue;
            }
            let line = WatchLine {
                action: WatchAction::Put,
                revision: document.metadata.revision.unwrap_or_default(),
                kind: document.kind.clone(),
                name: document.metadata.name.clone(),
                object: Some(document),
            };
            if sink(&line).is_break() {
                return Ok((listed, ControlFlow::Break(())));
            }
        }
    }
    Ok((revision.unwrap_or_default(), ControlFlow::Continue(())))
}

fn is_transient(error: &VerbError) -> bool {
    matches!(error, VerbError::ConnectionLost(_)) || error.is_retryable()
}

/// Line reader over a streaming response.
struct Lines {
    response: Response,
    buffer: BytesMut,
}

impl Lines {
    fn new(response: Response) -> Self {
        Self {
            response,
            buffer: BytesMut::new(),
        }
    }

    /// Returns the next change, or `None` if the node closed the watch.
    async fn next(&mut self) -> Result<Option<WatchLine>, VerbError> {
        loop {
            if let Some(line) = self.split_line() {
                if line.is_empty() {
                    continue;
                }
                return serde_json::from_slice(&line)
                    .map(Some)
                    .map_err(|error| VerbError::Unexpected(error.to_string()));
            }
            match timeout(SILENCE_LIMIT, self.response.next_chunk()).await {
                Err(_) => return Err(VerbError::ConnectionLost("read timed out".to_owned())),
                Ok(Ok(None)) => return Ok(None),
                Ok(Err(error)) => return Err(VerbError::ConnectionLost(error.to_string())),
                Ok(Ok(Some(piece))) => self.push(&piece)?,
            }
        }
    }

    fn push(&mut self, piece: &Bytes) -> Result<(), VerbError> {
        if self.buffer.len() + piece.len() > MAX_LINE_BYTES {
            return Err(VerbError::Unexpected("a line is too long".to_owned()));
        }
        self.buffer.extend_from_slice(piece);
        Ok(())
    }

    fn split_line(&mut self) -> Option<BytesMut> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let line = self.buffer.split_to(end);
        self.buffer.advance(1);
        Some(line)
    }
}

/// Formats one change.
///
/// # Errors
///
/// Fails if the change cannot be serialized.
pub fn format_line(line: &WatchLine, format: OutputFormat) -> Result<String, VerbError> {
    if format == OutputFormat::Json {
        // Compact JSON keeps each change on one line, so that programs can parse the stream by
        // lines.
        return serde_json::to_string(line)
            .map_err(|error| VerbError::Unexpected(error.to_string()));
    }
    format.render(line, |line| {
        let action = match line.action {
            WatchAction::Put => "put",
            WatchAction::Deleted => "deleted",
        };
        format!(
            "{:>8}  {action:<8}  {}/{}",
            line.revision, line.kind, line.name
        )
    })
}
