//! HTTP client for the operator interface of nodes.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::time::Duration;

use actix_http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue, IF_MATCH};
use actix_http::{Method, RequestHead};
use actix_rt::time::timeout;
use bytes::Bytes;
use elderworks_control::api::{API_PREFIX, ApiError, Collection, ErrorCode, ListDocument};
use elderworks_control::manifest::Document;
use elderworks_http_client::client::{Client, Response, SendError};
use elderworks_http_client::exchange::ExchangeError;
use elderworks_http_client::url::Url;
use serde::de::DeserializeOwned;

use super::VerbError;

/// Default server: the first node of the example settings.
pub const DEFAULT_SERVER: &str = "http://127.0.0.1:7301";

/// Timeout of one request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of exchanges in progress.
const MAX_EXCHANGES: usize = 100;

/// Maximum size of a response body, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Client that sends operator requests to the first reachable node.
#[derive(Clone)]
pub struct ApiClient {
    servers: Vec<String>,
    token: Option<String>,
    http: Client,
}

impl ApiClient {
    /// Creates a client. `servers` holds base URLs separated by commas, which are tried in order
    /// until one can be reached.
    pub fn new(servers: &str, token: Option<String>) -> Self {
        let servers = servers
            .split(',')
            .map(|server| server.trim().trim_end_matches('/').to_owned())
            .filter(|server| !server.is_empty())
            .collect();
        Self {
            servers,
            token,
            http: Client::new(CONNECT_TIMEOUT, MAX_EXCHANGES),
        }
    }

    /// Lists all resources of a collection. A node lists only the runs that it owns, so runs are
    /// collected from every reachable server.
    ///
    /// # Errors
    ///
    /// Fails if no server can be reached, a node responds with an error, or the response is invalid.
    pub async fn list(&self, collection: Collection) -> Result<ListDocument, VerbError> {
        let path = format!("{API_PREFIX}/{collection}");
        if collection != Collection::Runs {
            return self.call(Method::GET, &path, None, Vec::new()).await;
        }
        let mut runs = BTreeMap::new();
        let mut last = Some(no_server_error());
        for server in &self.servers {
            let request = Request::new(Method::GET, server, &path, None);
            match self.exchange(&request, Bytes::new()).await {
                Ok(answer) => {
                    let list: ListDocument = parse(server, &answer)?;
                    let items = list.items.into_iter();
                    runs.extend(items.map(|run| (run.metadata.name.clone(), run)));
                    last = None;
                }
                Err(error) if should_try_next_server(&error) => last = last.and(Some(error)),
                Err(error) => return Err(error),
            }
        }
        match last {
            Some(error) => Err(error),
            None => Ok(ListDocument::new(
                collection,
                None,
                runs.into_values().collect(),
            )),
        }
    }

    /// Returns one resource. A run is requested from each server in turn, since only the node that
    /// owns it can return it.
    ///
    /// # Errors
    ///
    /// Fails if no server can be reached, a node responds with an error, for example because the
    /// resource does not exist, or the response is invalid.
    pub async fn get(&self, collection: Collection, name: &str) -> Result<Document, VerbError> {
        let path = format!("{API_PREFIX}/{collection}/{name}");
        self.call(Method::GET, &path, None, Vec::new()).await
    }

    /// Creates or replaces a resource. If the document has a revision, the request fails unless the
    /// stored resource has the same one.
    ///
    /// # Errors
    ///
    /// Fails if no server can be reached or a node rejects the change. After
    /// [`VerbError::ConnectionLost`] it is unknown whether the change was made.
    pub async fn put(
        &self,
        collection: Collection,
        document: &Document,
    ) -> Result<Document, VerbError> {
        let name = &document.metadata.name;
        let path = format!("{API_PREFIX}/{collection}/{name}");
        let body = serde_json::to_vec(document)
            .map_err(|error| VerbError::Unexpected(error.to_string()))?;
        self.call(Method::PUT, &path, None, body).await
    }

    /// Deletes a resource. With `expected`, the request fails if the resource has another revision.
    ///
    /// # Errors
    ///
    /// Fails if no server can be reached or a node rejects the deletion. After
    /// [`VerbError::ConnectionLost`] it is unknown whether the resource was deleted.
    pub async fn delete(
        &self,
        collection: Collection,
        name: &str,
        expected: Option<u64>,
    ) -> Result<(), VerbError> {
        let path = format!("{API_PREFIX}/{collection}/{name}");
        let call = self.call(Method::DELETE, &path, expected, Vec::new());
        let _deleted: serde_json::Value = call.await?;
        Ok(())
    }

    /// Opens a streaming response, for example a watch.
    pub(super) async fn stream(&self, path: &str) -> Result<Response, VerbError> {
        let mut last = no_server_error();
        for server in &self.servers {
            let request = Request::new(Method::GET, server, path, None);
            match self.send(&request, Bytes::new()).await {
                Ok(response) if response.head.status.is_success() => return Ok(response),
                Ok(mut response) => {
                    let body = response.whole_body(MAX_ANSWER_BYTES).await;
                    return Err(parse_error(&body.unwrap_or_default()));
                }
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        expected: Option<u64>,
        body: Vec<u8>,
    ) -> Result<T, VerbError> {
        let mut last = no_server_error();
        let body = Bytes::from(body);
        for server in &self.servers {
            let request = Request::new(method.clone(), server, path, expected);
            match self.exchange(&request, body.clone()).await {
                Ok(answer) => return parse(server, &answer),
                Err(error) if should_try_next_server(&error) => last = error,
                Err(error) => return Err(error),
            }
        }
        Err(last)
    }

    /// Sends a request and returns the complete response body.
    async fn exchange(&self, request: &Request<'_>, body: Bytes) -> Result<Bytes, VerbError> {
        let mut response = self.send(request, body).await?;
        let answer = timeout(ANSWER_TIMEOUT, response.whole_body(MAX_ANSWER_BYTES)).await;
        let answer = answer
            .map_err(|error| request.lost(error))?
            .map_err(|error| request.lost(error))?;
        match response.head.status.is_success() {
            true => Ok(answer),
            false => Err(parse_error(&answer)),
        }
    }

    /// Sends a request and waits for the head of its response.
    async fn send(&self, request: &Request<'_>, body: Bytes) -> Result<Response, VerbError> {
        let invalid =
            |error: &dyn Display| VerbError::Usage(format!("{}: {error}", request.server));
        let url = format!("{}{}", request.server, request.path);
        let url = Url::split(&url).ok_or_else(|| invalid(&"expected http://HOST:PORT"))?;
        let head = request
            .head(url.path, self.token.as_deref())
            .map_err(|error| invalid(&error))?;
        let unreachable =
            |error: &dyn Display| VerbError::Unreachable(format!("{}: {error}", request.server));
        let server = url.resolve().await.map_err(|error| unreachable(&error))?;
        let sent = timeout(ANSWER_TIMEOUT, self.http.send(server, head, &body)).await;
        match sent.map_err(|error| request.lost(error))? {
            Ok(response) => Ok(response),
            Err(SendError::Connect(error)) => Err(unreachable(error.io())),
            Err(SendError::Exchange(ExchangeError::NotSent(reason))) => Err(unreachable(&reason)),
            Err(SendError::Exchange(ExchangeError::NoResponse(error))) => Err(request.lost(error)),
        }
    }
}

/// A request to one server, without its body.
struct Request<'a> {
    method: Method,
    server: &'a str,
    path: &'a str,
    /// Revision that the resource must have.
    expected: Option<u64>,
}

impl<'a> Request<'a> {
    fn new(method: Method, server: &'a str, path: &'a str, expected: Option<u64>) -> Self {
        Self {
            method,
            server,
            path,
            expected,
        }
    }

    fn head(
        &self,
        path: &str,
        token: Option<&str>,
    ) -> Result<RequestHead, actix_http::error::HttpError> {
        let mut head = RequestHead::default();
        head.method = self.method.clone();
        head.uri = path.parse()?;
        let media_type = HeaderValue::from_static("application/json");
        head.headers.insert(CONTENT_TYPE, media_type);
        if let Some(token) = token {
            let bearer = HeaderValue::from_str(&format!("Bearer {token}"))?;
            head.headers.insert(AUTHORIZATION, bearer);
        }
        if let Some(expected) = self.expected {
            let revision = HeaderValue::from_str(&format!("\"{expected}\""))?;
            head.headers.insert(IF_MATCH, revision);
        }
        Ok(head)
    }

    /// Creates the error of a request whose outcome is unknown.
    fn lost(&self, error: impl Display) -> VerbError {
        VerbError::ConnectionLost(format!("{}: {error}", self.server))
    }
}

fn parse<T: DeserializeOwned>(server: &str, answer: &[u8]) -> Result<T, VerbError> {
    serde_json::from_slice(answer)
        .map_err(|error| VerbError::Unexpected(format!("{server}: {error}")))
}

fn parse_error(body: &[u8]) -> VerbError {
    match serde_json::from_slice::<ApiError>(body) {
        Ok(error) => VerbError::from(error),
        Err(_) => VerbError::Unexpected(String::from_utf8_lossy(body).into_owned()),
    }
}

/// Returns whether to try the next server: this one is unreachable or does not own the run.
fn should_try_next_server(error: &VerbError) -> bool {
    matches!(error, VerbError::Unreachable(_)) || error.code() == Some(ErrorCode::RunElsewhere)
}

fn no_server_error() -> VerbError {
    VerbError::Usage("no server is named: use --server or ELDERWORKS_SERVER".to_owned())
}
