//! HTTP client for the operator interface of nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use actix_http::Method;
use awc::error::{ConnectError, SendRequestError};
use awc::{Client, ClientRequest, ClientResponse};
use elderworks_control::api::{API_PREFIX, ApiError, Collection, ErrorCode, ListDocument};
use elderworks_control::manifest::Document;
use serde::de::DeserializeOwned;

use super::VerbError;

/// Default server: the first node of the example settings.
pub const DEFAULT_SERVER: &str = "http://127.0.0.1:7301";

/// Timeout of one request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

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
            http: Client::builder().timeout(ANSWER_TIMEOUT).finish(),
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
            let request = self.request(Method::GET, server, &path, None);
            match send(request, server, Vec::new()).await {
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
    pub(super) async fn stream(&self, path: &str) -> Result<ClientResponse, VerbError> {
        let mut last = no_server_error();
        for server in &self.servers {
            let request = self.request(Method::GET, server, path, None);
            match request.send().await {
                Ok(response) if response.status().is_success() => return Ok(response),
                Ok(mut response) => {
                    return Err(parse_error(&response.body().await.unwrap_or_default()));
                }
                Err(error) => last = VerbError::Unreachable(format!("{server}: {error}")),
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
        for server in &self.servers {
            let request = self.request(method.clone(), server, path, expected);
            match send(request, server, body.clone()).await {
                Ok(answer) => return parse(server, &answer),
                Err(error) if should_try_next_server(&error) => last = error,
                Err(error) => return Err(error),
            }
        }
        Err(last)
    }

    fn request(
        &self,
        method: Method,
        server: &str,
        path: &str,
        expected: Option<u64>,
    ) -> ClientRequest {
        let mut request = self.http.request(method, format!("{server}{path}"));
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        if let Some(expected) = expected {
            request = request.insert_header(("if-match", format!("\"{expected}\"")));
        }
        request
    }
}

/// Sends a request and returns the complete response body.
async fn send(request: ClientRequest, server: &str, body: Vec<u8>) -> Result<Vec<u8>, VerbError> {
    let mut response = request
        .content_type("application/json")
        .send_body(body)
        .await
        .map_err(|error| send_error(server, &error))?;
    let answer = response
        .body()
        .limit(MAX_ANSWER_BYTES)
        .await
        .map_err(|error| VerbError::ConnectionLost(format!("{server}: {error}")))?;
    if response.status().is_success() {
        return Ok(answer.to_vec());
    }
    Err(parse_error(&answer))
}

fn parse<T: DeserializeOwned>(server: &str, answer: &[u8]) -> Result<T, VerbError> {
    serde_json::from_slice(answer)
        .map_err(|error| VerbError::Unexpected(format!("{server}: {error}")))
}

fn send_error(server: &str, error: &SendRequestError) -> VerbError {
    let message = format!("{server}: {error}");
    match error {
        SendRequestError::Url(_) => VerbError::Usage(message),
        // A disconnect leaves open whether the request was sent.
        SendRequestError::Connect(ConnectError::Disconnected) => VerbError::ConnectionLost(message),
        // No connection was established, so the request was not sent.
        SendRequestError::Connect(_) => VerbError::Unreachable(message),
        _ => VerbError::ConnectionLost(message),
    }
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
