//! Fixtures shared by the tests of this crate.
#![allow(dead_code, reason = "each test uses only some of the fixtures")]

use elderworks_control::{Control, ControlBody, Effect, Event};
use elderworks_protocol::record::{Record, Writer};
use elderworks_types::resource::{
    BudgetSpec, ConfigurationSpec, EngineEndpoint, Kind, Metadata, ModelServiceSpec, ProgramSpec,
    Resource, ServiceSpec, Spec, ToolServiceSpec,
};
use elderworks_types::{Credits, Epoch, Incarnation, NodeId, Offset, Sequence, Timestamp, Tokens};
use std::time::Duration;

/// Time passed to [`Control::handle`] by tests that do not depend on it.
pub const NOW: Timestamp = Timestamp(0);

/// A log that contains only the control stream.
pub struct TestLog {
    pub records: Vec<Record<ControlBody>>,
}

impl TestLog {
    /// Creates a log with the announcement of each node, whose nonce is its position in `nodes`.
    pub fn with_nodes(nodes: &[&str]) -> Self {
        let mut log = Self {
            records: Vec::new(),
        };
        for (nonce, node) in nodes.iter().enumerate() {
            let body = ControlBody::NodeStarted {
                node: NodeId::new(node),
                nonce: nonce as u64,
            };
            log.append(node, nonce as u64, 1, body);
        }
        log
    }

    pub fn append(&mut self, node: &str, nonce: u64, sequence: u64, body: ControlBody) {
        self.records.push(Record {
            writer: writer(node, nonce),
            sequence: Sequence(sequence),
            epoch: Epoch(0),
            body,
        });
    }

    /// Applies all records that `control` has not applied yet and returns the effects.
    pub fn replay(&self, control: &mut Control) -> Vec<Effect> {
        let first = control.next().0 as usize;
        let mut effects = Vec::new();
        for offset in first..self.records.len() {
            effects.extend(self.replay_record(control, offset));
        }
        effects
    }

    /// Applies the record at one offset and returns the effects.
    pub fn replay_record(&self, control: &mut Control, offset: usize) -> Vec<Effect> {
        let event = Event::RecordRead {
            offset: Offset(offset as u64),
            index: 0,
            record: self.records[offset].clone(),
        };
        control.handle(NOW, event)
    }
}

/// Returns the empty state of a node that announces itself with `nonce`.
pub fn reader(node: &str, nonce: u64) -> Control {
    Control::new(writer(node, nonce))
}

pub fn writer(node: &str, nonce: u64) -> Writer {
    Writer {
        node: NodeId::new(node),
        incarnation: Incarnation(nonce),
    }
}

pub fn resource(name: &str, spec: Spec) -> Resource {
    Resource {
        metadata: Metadata {
            name: name.into(),
            revision: Offset(0),
        },
        spec,
    }
}

pub fn put(resource: Resource, expected: Option<u64>) -> ControlBody {
    ControlBody::Put {
        resource,
        expected: expected.map(Offset),
    }
}

pub fn delete(kind: Kind, name: &str, expected: Option<u64>) -> ControlBody {
    ControlBody::Delete {
        kind,
        name: name.into(),
        expected: expected.map(Offset),
    }
}

pub fn budget(name: &str, tenant: &str, limit: u64) -> Resource {
    let spec = BudgetSpec {
        tenant: tenant.into(),
        limit: Credits(limit),
    };
    resource(name, Spec::Budget(spec))
}

pub fn model_service(name: &str, model: &str, engines: &[&str]) -> Resource {
    let engines = engines.iter().map(|id| EngineEndpoint {
        id: (*id).into(),
        url: "http://127.0.0.1:9000".into(),
        zone: "zone-a".into(),
    });
    let spec = ModelServiceSpec {
        model: model.into(),
        engines: engines.collect(),
        credits_per_prompt_token: Credits(1),
        credits_per_output_token: Credits(3),
    };
    resource(name, Spec::Service(ServiceSpec::Model(spec)))
}

pub fn tool_service(name: &str, tool: &str) -> Resource {
    let spec = ToolServiceSpec {
        tool: tool.into(),
        url: "http://127.0.0.1:9100".into(),
        credits_per_invocation: Credits(5),
        timeout: Duration::from_secs(20),
    };
    resource(name, Spec::Service(ServiceSpec::Tool(spec)))
}

pub fn program(name: &str, services: &[&str], budget: Option<&str>) -> Resource {
    let spec = ProgramSpec {
        services: services.iter().map(|name| (*name).into()).collect(),
        budget: budget.map(Into::into),
        run_budget: Credits(1_000),
        max_turns: 50,
        max_history: Tokens(100_000),
        max_duration: Duration::from_secs(3_600),
        deadline: None,
        priority: 0,
    };
    resource(name, Spec::Program(spec))
}

pub fn configuration(name: &str, values: &[(&str, &str)]) -> Resource {
    let values = values
        .iter()
        .map(|(key, value)| ((*key).to_owned(), (*value).to_owned()));
    let spec = ConfigurationSpec {
        values: values.collect(),
    };
    resource(name, Spec::Configuration(spec))
}
