//! Client of a tool service.

use std::time::Duration;

use actix_http::Method;
use actix_rt::time::Instant;
use elderworks_platform_api::tool::{InvocationResponse, InvocationStatus};
use elderworks_platform_api::{headers, paths};
use elderworks_types::ToolName;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use crate::http::{self, Body};
use crate::{BackendError, Endpoint};

/// An invocation of a tool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ToolInvocation {
    /// Name of the tool.
    pub tool: ToolName,
    /// Key by which the tool recognises a repeated invocation.
    pub idempotency_key: String,
    /// Arguments as JSON text.
    pub arguments: String,
    /// Timeout of the result.
    pub timeout: Duration,
}

/// Client of a tool service.
pub trait ToolClient {
    /// Invokes the tool and returns its result.
    fn invoke(
        &self,
        invocation: ToolInvocation,
    ) -> LocalBoxFuture<'static, Result<InvocationResponse, BackendError>>;

    /// Queries the status of an invocation.
    fn status(
        &self,
        idempotency_key: &str,
    ) -> LocalBoxFuture<'static, Result<InvocationStatus, BackendError>>;
}

/// A [`ToolClient`] over HTTP.
#[derive(Clone)]
pub struct HttpToolClient {
    endpoint: Endpoint,
}

impl HttpToolClient {
    /// Creates a client of the tool service at `endpoint`.
    pub fn new(endpoint: Endpoint) -> Self {
        Self { endpoint }
    }
}

impl ToolClient for HttpToolClient {
    fn invoke(
        &self,
        invocation: ToolInvocation,
    ) -> LocalBoxFuture<'static, Result<InvocationResponse, BackendError>> {
        let deadline = Instant::now() + invocation.timeout;
        let request = self
            .endpoint
            .request(Method::POST, paths::INVOCATIONS)
            .alone()
            .header(headers::IDEMPOTENCY_KEY, &invocation.idempotency_key)
            .header(headers::TOOL, invocation.tool.as_str());
        let body = Body::Json(invocation.arguments.into_bytes());
        async move { http::json(request, body, deadline).await }.boxed_local()
    }

    fn status(
        &self,
        idempotency_key: &str,
    ) -> LocalBoxFuture<'static, Result<InvocationStatus, BackendError>> {
        let deadline = self.endpoint.deadline();
        let path = paths::invocation(idempotency_key);
        let request = self.endpoint.request(Method::GET, &path).alone();
        async move { http::json(request, Body::Empty, deadline).await }.boxed_local()
    }
}
