//! From request to response.

use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{AUTHORIZATION, ETAG, HeaderValue};
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use elderworks_control::api::{ApiError, Collection, ErrorCode, ListDocument, WatchLine};
use elderworks_control::manifest::{Document, Manifest, from_json};
use elderworks_control::{Change, ControlBody};
use elderworks_node_core::effect::OperatorReply;
use elderworks_node_core::event::OperatorRequest;
use elderworks_settings::BearerToken;
use elderworks_types::resource::{Kind, Resource};
use elderworks_types::{Offset, ResourceName, RunId};
use tokio::time::timeout;

use super::OperatorHandle;
use super::body::{json_response, read_body};
use super::error::error_response;
use super::report::{engine_document, node_document, run_document, run_summary_document};
use super::request::{
    Query, Target, expected_revision, method_not_allowed, parse_path, parse_query,
};
use super::watch::{WatchFilter, watch_response};

/// What the interface needs to answer.
#[derive(Clone, Debug)]
pub struct OperatorContext {
    /// The way to the node core.
    pub handle: OperatorHandle,
    /// What operators must show as `Authorization: Bearer`; `None` lets everyone in.
    pub token: Option<BearerToken>,
    /// Largest body taken, in bytes.
    pub max_body_bytes: usize,
    /// Longest wait for the node core. A change that the log has not confirmed by then is answered
    /// as of unknown outcome.
    pub reply_timeout: Duration,
}

type Answer = Result<Response<BoxBody>, ApiError>;

/// Answers one request whose path is below `/apis`.
pub async fn respond(context: &OperatorContext, request: Request) -> Response<BoxBody> {
    match context.route(request).await {
        Ok(response) => response,
        Err(error) => error_response(&error),
    }
}

impl OperatorContext {
    async fn route(&self, mut request: Request) -> Answer {
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
            (Target::Item(Collection::Written(kind), name), Method::PUT) => {
                let expected = expected_revision(request.headers())?;
                let body = read_body(request.take_payload(), self.max_body_bytes).await?;
                self.put(kind, &name, expected, &body).await
            }
            (Target::Item(Collection::Written(kind), name), Method::DELETE) => {
                let expected = expected_revision(request.headers())?;
                self.delete(kind, &name, expected).await
            }
            (Target::Item(Collection::Written(_), _), method) => {
                Err(method_not_allowed(&method, "GET, PUT, DELETE"))
            }
            (_, method) => Err(method_not_allowed(&method, "GET")),
        }
    }

    fn check_token(&self, request: &Request) -> Result<(), ApiError> {
        let Some(token) = &self.token else {
            return Ok(());
        };
        let shown = request
            .headers()
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "));
        if shown.is_some_and(|shown| equal_in_constant_time(shown, token.expose())) {
            return Ok(());
        }
        let message = "the operator's token is missing or wrong";
        Err(ApiError::new(ErrorCode::Unauthorized, message))
    }

    async fn list(&self, collection: Collection, query: Query) -> Answer {
        if query.watch {
            return self.watch_collection(collection, None, query).await;
        }
        let list = match collection {
            Collection::Written(kind) => {
                let (items, revision) = self.list_written(kind).await?;
                let items = items.iter().map(Document::from).collect();
                ListDocument::new(collection, Some(revision.0), items)
            }
            Collection::Nodes => ListDocument::new(collection, None, self.nodes().await?),
            Collection::Engines => ListDocument::new(collection, None, self.engines().await?),
            Collection::Runs => ListDocument::new(collection, None, self.runs().await?),
        };
        Ok(json_response(StatusCode::OK, &list))
    }

    async fn get(&self, collection: Collection, name: String, query: Query) -> Answer {
        if query.watch {
            return self.watch_collection(collection, Some(name), query).await;
        }
        let document = match collection {
            Collection::Written(kind) => {
                let resource = self.get_written(kind, &name).await?;
                return Ok(resource_response(&resource));
            }
            Collection::Runs => self.run(&name).await?,
            Collection::Nodes => find(self.nodes().await?, &name)?,
            Collection::Engines => find(self.engines().await?, &name)?,
        };
        Ok(json_response(StatusCode::OK, &document))
    }

    async fn put(&self, kind: Kind, name: &str, header: Option<Offset>, body: &[u8]) -> Answer {
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
            Some(resource) => Ok(resource_response(resource)),
            None => Err(ApiError::unavailable("the node answered another question")),
        }
    }

    async fn delete(&self, kind: Kind, name: &str, expected: Option<Offset>) -> Answer {
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
    ) -> Answer {
        match collection {
            Collection::Written(kind) => self.watch(Some(kind), name, query).await,
            Collection::Runs | Collection::Nodes | Collection::Engines => {
                let message = format!("{collection} cannot be watched");
                Err(ApiError::new(ErrorCode::MethodNotAllowed, message))
            }
        }
    }

    async fn watch(&self, kind: Option<Kind>, name: Option<String>, query: Query) -> Answer {
        let after = match query.after {
            Some(after) => Offset(after),
            None => self.list_written(kind.unwrap_or(Kind::Program)).await?.1,
        };
        let messages = self.handle.watch(kind, after).map_err(|_| not_taken())?;
        let filter = WatchFilter { after, name };
        watch_response(messages, filter, self.reply_timeout).await
    }

    /// Asks for a change. Once the node core has taken it, silence means that its outcome is not
    /// known.
    async fn change(&self, body: ControlBody) -> Result<Change, ApiError> {
        let question = OperatorRequest::Change(body);
        let reply = self.handle.ask(question).map_err(|_| not_taken())?;
        match timeout(self.reply_timeout, reply).await {
            Ok(Ok(OperatorReply::Changed(result))) => Ok(result?),
            Ok(Ok(_)) => Err(unexpected_reply()),
            Ok(Err(_)) | Err(_) => Err(ApiError::outcome_unknown()),
        }
    }

    /// Asks a question that changes nothing.
    async fn read(&self, question: OperatorRequest) -> Result<OperatorReply, ApiError> {
        let reply = self.handle.ask(question).map_err(|_| not_taken())?;
        match timeout(self.reply_timeout, reply).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) | Err(_) => Err(ApiError::unavailable("the node did not answer in time")),
        }
    }

    async fn list_written(&self, kind: Kind) -> Result<(Vec<Resource>, Offset), ApiError> {
        match self.read(OperatorRequest::List { kind }).await? {
            OperatorReply::Resources { items, revision } => Ok((items, revision)),
            _ => Err(unexpected_reply()),
        }
    }

    async fn get_written(&self, kind: Kind, name: &str) -> Result<Resource, ApiError> {
        let question = OperatorRequest::Get {
            kind,
            name: ResourceName::new(name),
        };
        match self.read(question).await? {
            OperatorReply::Resource(Some(resource)) => Ok(resource),
            OperatorReply::Resource(None) => Err(not_found(name)),
            _ => Err(unexpected_reply()),
        }
    }

    async fn nodes(&self) -> Result<Vec<Document>, ApiError> {
        match self.read(OperatorRequest::Nodes).await? {
            OperatorReply::Nodes(members) => Ok(members.iter().map(node_document).collect()),
            _ => Err(unexpected_reply()),
        }
    }

    async fn engines(&self) -> Result<Vec<Document>, ApiError> {
        match self.read(OperatorRequest::Engines).await? {
            OperatorReply::Engines(engines) => Ok(engines.iter().map(engine_document).collect()),
            _ => Err(unexpected_reply()),
        }
    }

    async fn runs(&self) -> Result<Vec<Document>, ApiError> {
        match self.read(OperatorRequest::Runs).await? {
            OperatorReply::Runs(runs) => Ok(runs.iter().map(run_summary_document).collect()),
            _ => Err(unexpected_reply()),
        }
    }

    async fn run(&self, name: &str) -> Result<Document, ApiError> {
        let run: RunId = name.parse().map_err(|_| not_found(name))?;
        match self.read(OperatorRequest::Run { run }).await? {
            OperatorReply::Run(Some(view)) => Ok(run_document(run, &view)),
            OperatorReply::Run(None) => Err(not_found(name)),
            OperatorReply::RunElsewhere(owner) => Err(run_elsewhere(owner.map(|owner| owner.node))),
            _ => Err(unexpected_reply()),
        }
    }
}

fn resource_response(resource: &Resource) -> Response<BoxBody> {
    let mut response = json_response(StatusCode::OK, &Document::from(resource));
    let revision = format!("\"{}\"", resource.metadata.revision);
    if let Ok(revision) = HeaderValue::from_str(&revision) {
        response.headers_mut().insert(ETAG, revision);
    }
    response
}

fn find(documents: Vec<Document>, name: &str) -> Result<Document, ApiError> {
    documents
        .into_iter()
        .find(|document| document.metadata.name == name)
        .ok_or_else(|| not_found(name))
}

fn check_same(path: &str, expected: &str, found: &str) -> Result<(), ApiError> {
    if expected == found {
        return Ok(());
    }
    let message = format!("the request says {expected:?}, the document {found:?}");
    Err(ApiError::new(ErrorCode::Invalid, message).at(path))
}

fn not_found(name: &str) -> ApiError {
    ApiError::new(ErrorCode::NotFound, format!("there is no {name:?}"))
}

fn not_taken() -> ApiError {
    ApiError::unavailable("the node is too busy or stopping")
}

fn unexpected_reply() -> ApiError {
    ApiError::unavailable("the node answered another question")
}

fn run_elsewhere(owner: Option<elderworks_types::NodeId>) -> ApiError {
    let message = match owner {
        Some(node) => format!("the run is owned by node {node}: ask there"),
        None => "the run's owner is not known yet".to_owned(),
    };
    ApiError::new(ErrorCode::RunElsewhere, message)
}

/// Compares without telling by its duration where the texts differ.
fn equal_in_constant_time(left: &str, right: &str) -> bool {
    let differences = left
        .bytes()
        .zip(right.bytes())
        .fold(0, |differences, (left, right)| differences | (left ^ right));
    left.len() == right.len() && differences == 0
}
