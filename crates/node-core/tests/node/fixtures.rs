//! Resources, runs and calls used by the tests.

use std::time::Duration;

use elderworks_protocol::sidecar::{Delivered, SidecarMessage, SubmissionTag};
use elderworks_types::resource::{
    BudgetSpec, EngineEndpoint, Metadata, ModelServiceSpec, ProgramSpec, Resource, ServiceSpec,
    Spec, ToolServiceSpec,
};
use elderworks_types::{
    CallNumber, CallRequest, CallSpec, Credits, EngineId, Message, ModelName, ModelRequest, Offset,
    PartitionId, ResourceName, Role, RunId, RunSpec, TenantId, Tokens, ToolName, ToolRequest,
    ZoneId,
};

use crate::world::PARTITIONS;

pub fn tenant() -> TenantId {
    TenantId::new("tenant")
}

fn resource(name: &str, spec: Spec) -> Resource {
    Resource {
        metadata: Metadata {
            name: ResourceName::new(name),
            revision: Offset(0),
        },
        spec,
    }
}

pub fn model_service() -> Resource {
    let spec = ModelServiceSpec {
        model: ModelName::new("clerk"),
        engines: vec![EngineEndpoint {
            id: EngineId::new("engine-1"),
            url: "http://10.0.1.1:8000".to_owned(),
            zone: ZoneId::new("zone-0"),
        }],
        credits_per_prompt_token: Credits(1),
        credits_per_output_token: Credits(1),
    };
    resource("model", Spec::Service(ServiceSpec::Model(spec)))
}

pub fn tool_service() -> Resource {
    let spec = ToolServiceSpec {
        tool: ToolName::new("cadastre"),
        url: "http://10.0.1.2:8000".to_owned(),
        credits_per_invocation: Credits(5),
        timeout: Duration::from_secs(5),
    };
    resource("tool", Spec::Service(ServiceSpec::Tool(spec)))
}

pub fn budget(limit: u64) -> Resource {
    let spec = BudgetSpec {
        tenant: tenant(),
        limit: Credits(limit),
    };
    resource("budget", Spec::Budget(spec))
}

/// Returns a program that may call the given services.
pub fn program(services: &[&str], with_budget: bool) -> Resource {
    let spec = ProgramSpec {
        services: services.iter().map(ResourceName::new).collect(),
        budget: with_budget.then(|| ResourceName::new("budget")),
        run_budget: Credits(10_000),
        max_turns: 100,
        max_history: Tokens(100_000),
        max_duration: Duration::from_secs(3_600),
        deadline: None,
        priority: 0,
    };
    resource("program", Spec::Program(spec))
}

/// Returns the root run with the lowest number in a partition.
pub fn run_in(partition: PartitionId) -> RunId {
    (1..)
        .map(RunId::root)
        .find(|run| run.partition(PARTITIONS) == partition)
        .expect("every partition has a run")
}

pub fn start_run(run: RunId) -> SidecarMessage {
    SidecarMessage::StartRun {
        spec: RunSpec {
            id: run,
            tenant: tenant(),
            program: ResourceName::new("program"),
            parent: None,
            budget: Credits(5_000),
            deadline: None,
        },
    }
}

pub fn model_call(run: RunId, number: u32) -> SidecarMessage {
    let request = ModelRequest {
        model: ModelName::new("clerk"),
        history_prefix: 0,
        messages: vec![Message::new(Role::User, "question")],
        max_output: Tokens(16),
    };
    submit(run, number, CallRequest::Model(request), true)
}

pub fn tool_call(run: RunId, number: u32, repeatable: bool) -> SidecarMessage {
    let request = ToolRequest {
        tool: ToolName::new("cadastre"),
        arguments: "{}".to_owned(),
    };
    submit(run, number, CallRequest::Tool(request), repeatable)
}

fn submit(run: RunId, number: u32, request: CallRequest, repeatable: bool) -> SidecarMessage {
    SidecarMessage::SubmitCall {
        tenant: tenant(),
        run,
        spec: CallSpec {
            number: CallNumber(number),
            request,
            repeatable,
            idempotency_key: None,
            deadline: None,
            expected_reuse: None,
        },
        delivered: Delivered::default(),
        abandoned_before: 0,
        submission: SubmissionTag::default(),
    }
}
