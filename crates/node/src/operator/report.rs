//! Documents of the read-only kinds, and the status of services.

use std::collections::BTreeMap;

use elderworks_control::api::RunReport;
use elderworks_control::manifest::Document;
use elderworks_execution::RunSummary;
use elderworks_membership::Member;
use elderworks_node_core::effect::{EngineState, EngineView};
use elderworks_protocol::gossip::MemberState;
use elderworks_protocol::sidecar::RunView;
use elderworks_types::resource::{Resource, ServiceSpec, Spec};
use elderworks_types::{RunId, RunPhase};
use serde::Serialize;
use serde_json::Value;

/// Status of a `Node`.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct NodeStatus<'a> {
    state: &'static str,
    zone: &'a str,
    incarnation: u64,
    address: String,
    gossip_address: String,
}

/// Status of an `Engine`.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct EngineStatus<'a> {
    state: EngineState,
    zone: &'a str,
    url: &'a str,
    models: Vec<&'a str>,
}

/// Status of a `Run` in a list. Budget and spending are in credits.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct RunStatus<'a> {
    phase: RunPhase,
    tenant: &'a str,
    program: &'a str,
    budget: u64,
    spent: u64,
    call_count: usize,
}

/// Returns the `Node` document of a fleet member.
pub(super) fn node_document(member: &Member) -> Document {
    let update = &member.update;
    let status = NodeStatus {
        state: state_name(update.state),
        zone: update.zone.as_str(),
        incarnation: update.incarnation.0,
        address: update.address.to_string(),
        gossip_address: update.gossip_address.to_string(),
    };
    Document::report("Node", update.node.to_string(), value(&status))
}

/// Status of a model service.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct ServiceStatus<'a> {
    engines: BTreeMap<&'a str, EngineState>,
}

/// Returns the document of a service; for a model service, with the states of its engines.
pub(super) fn service_document(resource: &Resource, engines: &[EngineView]) -> Document {
    let mut document = Document::from(resource);
    let Spec::Service(ServiceSpec::Model(service)) = &resource.spec else {
        return document;
    };
    let listed = |view: &&EngineView| service.engines.iter().any(|engine| engine.id == view.id);
    let states = engines
        .iter()
        .filter(listed)
        .map(|view| (view.id.as_str(), view.state));
    document.status = Some(value(&ServiceStatus {
        engines: states.collect(),
    }));
    document
}

/// Returns the `Engine` document of an engine.
pub(super) fn engine_document(engine: &EngineView) -> Document {
    let status = EngineStatus {
        state: engine.state,
        zone: engine.zone.as_str(),
        url: &engine.url,
        models: engine.models.iter().map(|model| model.as_str()).collect(),
    };
    Document::report("Engine", engine.id.to_string(), value(&status))
}

/// Returns the `Run` document of a run in a list, without its calls.
pub(super) fn run_summary_document(run: &RunSummary) -> Document {
    let status = RunStatus {
        phase: run.phase,
        tenant: run.spec.tenant.as_str(),
        program: run.spec.program.as_str(),
        budget: run.spec.budget.0,
        spent: run.spent.0,
        call_count: run.calls,
    };
    Document::report("Run", run.spec.id.to_string(), value(&status))
}

/// Returns the `Run` document of a run, with its calls.
pub(super) fn run_document(run: RunId, view: &RunView) -> Document {
    Document::report("Run", run.to_string(), value(&RunReport::from(view)))
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Draining => "draining",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
    }
}

fn value(status: &impl Serialize) -> Value {
    serde_json::to_value(status).expect("a status is plain data with text keys")
}
