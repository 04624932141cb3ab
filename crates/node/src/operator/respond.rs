//! Routing of requests and creation of responses.

use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{AUTHORIZATION, ETAG, HeaderValue};
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use elderworks_control::ControlBody;
use elderworks_control::api::{ApiError, Collection, ErrorCode, ListDocument, WatchLine};
use elderworks_control::manifest::{Document, Manifest, from_json};
use elderworks_settings::BearerToken;
use elderworks_types::resource::{Kind, Resource};
use elderworks_types::{Offset, ResourceName};

use super::OperatorHandle;
use super::body::{json_response, read_body};
use super::error::error_response;
use super::questions::{find, not_accepted};
use super::report::{engine_document, service_document};
use super::request::{
    Query, Target, expected_revision, method_not_allowed, parse_path, parse_query,
};
use super::watch::{WatchFilter, watch_response};

/// Dependencies and settings of the operators' interface.
#[derive(Clone, Debug)]
pub struct OperatorContext {
    /// Sends commands to the node core.
    pub handle: OperatorHandle,
    /// Token that operators must send as `Authorization: Bearer`; `None` disables the check.
    pub token: Option<BearerToken>,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Timeout of replies from the node core. The outcome of a change that the log has not confirmed
    /// by then is reported as unknown.
    pub reply_timeout: Duration,
}

type ResponseResult = Result<Response<BoxBody>, ApiError>;

/// Handles one request whose path is below `/apis`.
pub async fn respond(context: &OperatorContext, request: Request) -> Response<BoxBody> {
    match context.route(request).await {
        Ok(response) => response,
        Err(error) => error_response(&error),
    }
}

impl OperatorContext {
    async fn route(&self, mut request: Request) -> ResponseResult {
        self.check_token(&request)?;
        let target = parse_path(request.path())?;
        let query = parse_query(request.uri().query())?;
        let method = request.method().clone();
        match (target, method) {
            (Target::AllChanges, Method::GET) => self.watch(None, None, query).await,
            (Target::Collection(collection), Method::GET) => self.list(collection, query).await,
            (Target::Item(collection, name), Method::GET) => {
                self.get(collection, name, query).await
            }
            (Target::Item(Collection::Writable(kind), name), Method::PUT) => {
                let expected = expected_revision(request.headers())?;
                let body = read_body(request.take_payload(), self.max_body_bytes).await?;
                self.put(kind, &name, expected, &body).await
            }
            (Target::Item(Collection::Writable(kind), name), Method::DELETE) => {
                let expected = expected_revision(request.headers())?;
                self.delete(kind, &name, expected).await
            }
            (Target::Item(Collection::Writable(_), _), method) => {
                Err(method_not_allowed(&method, "GET, PUT, DELETE"))
            }
            (_, method) => Err(method_not_allowed(&method, "GET")),
        }
    }

    fn check_token(&self, request: &Request) -> Result<(), ApiError> {
        let Some(token) = &self.token else {
            return Ok(());
        };
        let presented = request
            .headers()
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "));
        if presented.is_some_and(|presented| equal_in_constant_time(presented, token.expose())) {
            return Ok(());
        }
        let message = "the operator token is missing or invalid";
        Err(ApiError::new(ErrorCode::Unauthorized, message))
    }

    async fn list(&self, collection: Collection, query: Query) -> ResponseResult {
        if query.watch {
            return self.watch_collection(collection, None, query).await;
        }
        let list = match collection {
            Collection::Writable(kind) => {
                let (items, revision) = self.list_resources(kind).await?;
                let items = self.with_status(kind, &items).await?;
                ListDocument::new(collection, Some(revision.0), items)
            }
            Collection::Nodes => ListDocument::new(collection, None, self.nodes().await?),
            Collection::Engines => {
                let engines = self.engines().await?;
                let items = engines.iter().map(engine_document).collect();
                ListDocument::new(collection, None, items)
            }
            Collection::Runs => ListDocument::new(collection, None, self.runs().await?),
        };
        Ok(json_response(StatusCode::OK, &list))
    }

    /// Returns the documents of resources; those of model services include the states of their
    /// engines.
    async fn with_status(
        &self,
        kind: Kind,
        resources: &[Resource],
    ) -> Result<Vec<Document>, ApiError> {
        if kind != Kind::Service {
            return Ok(resources.iter().map(Document::from).collect());
        }
        let engines = self.engines().await?;
        let documents = resources.iter();
        Ok(documents
            .map(|resource| service_document(resource, &engines))
            .collect())
    }

    async fn get(&self, collection: Collection, name: String, query: Query) -> ResponseResult {
        if query.watch {
            return self.watch_collection(collection, Some(name), query).await;
        }
        let document = match collection {
            Collection::Writable(kind) => {
                let resource = self.get_resource(kind, &name).await?;
                let documents = self.with_status(kind, &[resource]).await?;
                return Ok(resource_response(&find(documents, &name)?));
            }
            Collection::Runs => self.run(&name).await?,
            Collection::Nodes => find(self.nodes().await?, &name)?,
            Collection::Engines => {
                let engines = self.engines().await?;
                find(engines.iter().map(engine_document).collect(), &name)?
            }
        };
        Ok(json_response(StatusCode::OK, &document))
    }

    async fn put(
        &self,
        kind: Kind,
        name: &str,
        header: Option<Offset>,
        body: &[u8],
    ) -> ResponseResult {
        let Manifest { resource, expected } = from_json(body)?;
        check_same(
            "kind",
            &format!("{kind:?}"),
            &format!("{:?}", resource.spec.kind()),
        )?;
        check_same("metadata.name", name, resource.metadata.name.as_str())?;
        if let (Some(header), Some(expected)) = (header, expected) {
            check_same(
                "metadata.revision",
                &header.to_string(),
                &expected.to_string(),
            )?;
        }
        let change = ControlBody::Put {
            resource,
            expected: header.or(expected),
        };
        let change = self.change(change).await?;
        match &change.resource {
            Some(resource) => Ok(resource_response(&Document::from(resource))),
            None => Err(ApiError::unavailable("the node sent an unexpected reply")),
        }
    }

    async fn delete(&self, kind: Kind, name: &str, expected: Option<Offset>) -> ResponseResult {
        let change = ControlBody::Delete {
            kind,
            name: ResourceName::new(name),
            expected,
        };
        let change = self.change(change).await?;
        Ok(json_response(StatusCode::OK, &WatchLine::from(&change)))
    }

    async fn watch_collection(
        &self,
        collection: Collection,
        name: Option<String>,
        query: Query,
    ) -> ResponseResult {
        match collection {
            Collection::Writable(kind) => self.watch(Some(kind), name, query).await,
            Collection::Runs | Collection::Nodes | Collection::Engines => {
                let message = format!("{collection} cannot be watched");
                Err(ApiError::new(ErrorCode::MethodNotAllowed, message))
            }
        }
    }

    async fn watch(
        &self,
        kind: Option<Kind>,
        name: Option<String>,
        query: Query,
    ) -> ResponseResult {
        let after = match query.after {
            Some(after) => Offset(after),
            None => self.list_resources(kind.unwrap_or(Kind::Program)).await?.1,
        };
        let messages = self.handle.watch(kind, after).map_err(|_| not_accepted())?;
        let filter = WatchFilter { after, name };
        watch_response(messages, filter, self.reply_timeout).await
    }
}

fn resource_response(document: &Document) -> Response<BoxBody> {
    let mut response = json_response(StatusCode::OK, document);
    let revision = format!("\"{}\"", document.metadata.revision.unwrap_or_default());
    if let Ok(revision) = HeaderValue::from_str(&revision) {
        response.headers_mut().insert(ETAG, revision);
    }
    response
}

fn check_same(path: &str, expected: &str, found: &str) -> Result<(), ApiError> {
    if expected == found {
        return Ok(());
    }
    let message = format!("the request has {expected:?}, but the document has {found:?}");
    Err(ApiError::new(ErrorCode::Invalid, message).with_path(path))
}

/// Compares two strings in a time that does not depend on where they differ.
fn equal_in_constant_time(left: &str, right: &str) -> bool {
    let differences = left
        .bytes()
        .zip(right.bytes())
        .fold(0, |differences, (left, right)| differences | (left ^ right));
    left.len() == right.len() && differences == 0
}
