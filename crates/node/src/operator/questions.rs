//! Requests to the node core, with API errors for missing or unexpected replies.

use elderworks_control::api::{ApiError, ErrorCode};
use elderworks_control::manifest::Document;
use elderworks_control::{Change, ControlBody};
use elderworks_node_core::effect::{EngineView, OperatorReply};
use elderworks_node_core::event::OperatorRequest;
use elderworks_types::resource::{Kind, Resource};
use elderworks_types::{NodeId, Offset, ResourceName, RunId};
use tokio::time::timeout;

use super::OperatorContext;
use super::report::{node_document, run_document, run_summary_document};

impl OperatorContext {
    /// Requests a change. If the node core accepted the request and does not reply in time, the
    /// outcome is reported as unknown.
    pub(super) async fn change(&self, body: ControlBody) -> Result<Change, ApiError> {
        let question = OperatorRequest::Change(body);
        let reply = self.handle.ask(question).map_err(|_| not_accepted())?;
        match timeout(self.reply_timeout, reply).await {
            Ok(Ok(OperatorReply::Changed(result))) => Ok(result?),
            Ok(Ok(_)) => Err(unexpected_reply()),
            Ok(Err(_)) | Err(_) => Err(ApiError::outcome_unknown()),
        }
    }

    /// Sends a read-only request.
    pub(super) async fn read(&self, question: OperatorRequest) -> Result<OperatorReply, ApiError> {
        let reply = self.handle.ask(question).map_err(|_| not_accepted())?;
        match timeout(self.reply_timeout, reply).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) | Err(_) => Err(ApiError::unavailable("the node did not reply in time")),
        }
    }

    pub(super) async fn list_resources(
        &self,
        kind: Kind,
    ) -> Result<(Vec<Resource>, Offset), ApiError> {
        match self.read(OperatorRequest::List { kind }).await? {
            OperatorReply::Resources { items, revision } => Ok((items, revision)),
            _ => Err(unexpected_reply()),
        }
    }

    pub(super) async fn get_resource(&self, kind: Kind, name: &str) -> Result<Resource, ApiError> {
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

    pub(super) async fn nodes(&self) -> Result<Vec<Document>, ApiError> {
        match self.read(OperatorRequest::Nodes).await? {
            OperatorReply::Nodes(members) => Ok(members.iter().map(node_document).collect()),
            _ => Err(unexpected_reply()),
        }
    }

    pub(super) async fn engines(&self) -> Result<Vec<EngineView>, ApiError> {
        match self.read(OperatorRequest::Engines).await? {
            OperatorReply::Engines(engines) => Ok(engines),
            _ => Err(unexpected_reply()),
        }
    }

    pub(super) async fn runs(&self) -> Result<Vec<Document>, ApiError> {
        match self.read(OperatorRequest::Runs).await? {
            OperatorReply::Runs(runs) => Ok(runs.iter().map(run_summary_document).collect()),
            _ => Err(unexpected_reply()),
        }
    }

    pub(super) async fn run(&self, name: &str) -> Result<Document, ApiError> {
        let run: RunId = name.parse().map_err(|_| not_found(name))?;
        match self.read(OperatorRequest::Run { run }).await? {
            OperatorReply::Run(Some(view)) => Ok(run_document(run, &view)),
            OperatorReply::Run(None) => Err(not_found(name)),
            OperatorReply::RunElsewhere(owner) => Err(run_elsewhere(owner.map(|owner| owner.node))),
            _ => Err(unexpected_reply()),
        }
    }
}

pub(super) fn find(documents: Vec<Document>, name: &str) -> Result<Document, ApiError> {
    documents
        .into_iter()
        .find(|document| document.metadata.name == name)
        .ok_or_else(|| not_found(name))
}

fn not_found(name: &str) -> ApiError {
    ApiError::new(ErrorCode::NotFound, format!("{name:?} does not exist"))
}

pub(super) fn not_accepted() -> ApiError {
    ApiError::unavailable("the node is overloaded or stopping")
}

fn unexpected_reply() -> ApiError {
    ApiError::unavailable("the node sent an unexpected reply")
}

fn run_elsewhere(owner: Option<NodeId>) -> ApiError {
    let message = match owner {
        Some(node) => format!("the run is owned by node {node}; send the request there"),
        None => "the run's owner is not known yet".to_owned(),
    };
    ApiError::new(ErrorCode::RunElsewhere, message)
}
