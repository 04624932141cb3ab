//! Client of the platform's log service.

use std::time::Duration;

use actix_http::Method;
use bytes::Bytes;
use elderworks_platform_api::log::{AppendResponse, ReadQuery, ReadResponse};
use elderworks_platform_api::paths;
use elderworks_types::Offset;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use crate::http::{self, Body};
use crate::{BackendError, Endpoint, LostReason};

/// Client of the append-only log service.
pub trait LogClient {
    /// Appends one record and returns its offset. After [`BackendError::Lost`] the record may have
    /// been appended.
    fn append(
        &self,
        stream: &str,
        data: Bytes,
    ) -> LocalBoxFuture<'static, Result<Offset, BackendError>>;

    /// Reads records from offset `from` on, with a total size of about `max_bytes`. Waits up to
    /// `wait` for the first record.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        max_bytes: usize,
        wait: Duration,
    ) -> LocalBoxFuture<'static, Result<ReadResponse, BackendError>>;
}

/// A [`LogClient`] over HTTP.
#[derive(Clone)]
pub struct HttpLogClient {
    endpoint: Endpoint,
}

impl HttpLogClient {
    /// Creates a client of the log at `endpoint`.
    pub fn new(endpoint: Endpoint) -> Self {
        Self { endpoint }
    }
}

impl LogClient for HttpLogClient {
    fn append(
        &self,
        stream: &str,
        data: Bytes,
    ) -> LocalBoxFuture<'static, Result<Offset, BackendError>> {
        let deadline = self.endpoint.deadline();
        let request = self.endpoint.request(Method::POST, &paths::records(stream));
        async move {
            let answer: AppendResponse = http::json(request, Body::Raw(data), deadline).await?;
            Ok(answer.offset)
        }
        .boxed_local()
    }

    fn read(
        &self,
        stream: &str,
        from: Offset,
        max_bytes: usize,
        wait: Duration,
    ) -> LocalBoxFuture<'static, Result<ReadResponse, BackendError>> {
        let deadline = self.endpoint.deadline_after(wait);
        let request = self.endpoint.request(Method::GET, &paths::records(stream));
        let query = ReadQuery {
            from,
            max_bytes,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        async move {
            let request = request.query(&query)?;
            let answer: ReadResponse = http::json(request, Body::Empty, deadline).await?;
            check_offsets(from, &answer)?;
            Ok(answer)
        }
        .boxed_local()
    }
}

/// Checks that the record offsets are consecutive, start at `from` and are below the end.
fn check_offsets(from: Offset, answer: &ReadResponse) -> Result<(), BackendError> {
    let mut expected = from;
    for record in &answer.records {
        if record.offset != expected || expected >= answer.end {
            let detail = format!(
                "record at offset {}, expected offset {expected}",
                record.offset
            );
            return Err(BackendError::lost(LostReason::Malformed, detail));
        }
        expected = expected.next();
    }
    Ok(())
}
