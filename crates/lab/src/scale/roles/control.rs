//! The control state: resources replayed from the control stream.

use elderworks_control::{Control, ControlBody, Event};
use elderworks_protocol::encode;
use elderworks_protocol::record::{Record, RecordBatch, Writer};
use elderworks_types::resource::{
    BudgetSpec, EngineEndpoint, Kind, Metadata, ModelServiceSpec, Resource, ServiceSpec, Spec,
};
use elderworks_types::{
    Credits, EngineId, Epoch, Incarnation, ModelName, NodeId, Offset, ResourceName, Sequence,
    TenantId, Timestamp, ZoneId,
};

use super::{Filled, Flows};
use crate::scale::memory::resident_bytes;
use crate::scale::timing::EventTimer;

const NONCE: u64 = 77;

/// Models in steady use at the target; the engines are dealt among their services.
const SERVICES: usize = 20;

/// A control state with `count` tenants' budgets.
pub fn fill_budgets(count: usize) -> eyre::Result<(Filled, Control)> {
    let resources = (0..count).map(budget).collect();
    fill("control state: budgets", count, Kind::Budget, resources)
}

/// A control state with `count` engines, listed in the services of the models.
pub fn fill_engines(count: usize) -> eyre::Result<(Filled, Control)> {
    let per_service = count / SERVICES;
    let resources = (0..SERVICES)
        .map(|number| service(number, per_service))
        .collect();
    fill("control state: engines", count, Kind::Service, resources)
}

fn fill(
    role: &'static str,
    count: usize,
    kind: Kind,
    resources: Vec<Resource>,
) -> eyre::Result<(Filled, Control)> {
    let before = resident_bytes()?;
    let expected = resources.len();
    let writer = Writer {
        node: NodeId::new("node-0001"),
        incarnation: Incarnation(NONCE),
    };
    let started = ControlBody::NodeStarted {
        node: writer.node.clone(),
        nonce: NONCE,
    };
    let puts = resources.into_iter().map(|resource| ControlBody::Put {
        resource,
        expected: None,
    });
    let mut control = Control::new(writer.clone());
    let mut timer = EventTimer::default();
    let mut flows = Flows::default();
    for (number, body) in std::iter::once(started).chain(puts).enumerate() {
        let number = number as u64;
        let record = Record {
            writer: writer.clone(),
            sequence: Sequence(number + 1),
            epoch: Epoch(0),
            body,
        };
        let batch = RecordBatch {
            records: vec![record.clone()],
        };
        flows.records += 1;
        flows.record_bytes += encode(&batch).len() as u64;
        let event = Event::RecordRead {
            offset: Offset(number),
            index: 0,
            record,
        };
        timer.time("control record", || {
            control.handle(Timestamp(number), event)
        });
    }
    let held = control.list(kind).count();
    eyre::ensure!(held == expected, "{held} of {expected} resources are held");
    let filled = Filled {
        role,
        count,
        resident_bytes: resident_bytes()?.saturating_sub(before),
        encoded_bytes: None,
        times: timer.means(),
        flows,
    };
    Ok((filled, control))
}

fn budget(number: usize) -> Resource {
    let spec = BudgetSpec {
        tenant: TenantId::new(format!("tenant-{number:05}")),
        limit: Credits(1_000_000),
    };
    resource(format!("budget-{number:05}"), Spec::Budget(spec))
}

fn service(number: usize, engines: usize) -> Resource {
    let engines = (0..engines)
        .map(|engine| EngineEndpoint {
            id: EngineId::new(format!("engine-{number:02}-{engine:04}")),
            url: format!("http://10.{number}.{}.{}:8000", engine / 250, engine % 250),
            zone: ZoneId::new(format!("zone-{:02}", engine % 28)),
        })
        .collect();
    let spec = ModelServiceSpec {
        model: ModelName::new(format!("model-{number:02}")),
        engines,
        credits_per_prompt_token: Credits(1),
        credits_per_output_token: Credits(2),
    };
    resource(
        format!("model-{number:02}"),
        Spec::Service(ServiceSpec::Model(spec)),
    )
}

fn resource(name: String, spec: Spec) -> Resource {
    Resource {
        metadata: Metadata {
            name: ResourceName::new(name),
            revision: Offset(0),
        },
        spec,
    }
}
