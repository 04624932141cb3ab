//! The control state: resources replayed from the control stream.

use std::time::Duration;

use elderworks_control::{Control, ControlBody, Event};
use elderworks_protocol::encode;
use elderworks_protocol::record::{Record, RecordBatch, Writer};
use elderworks_types::resource::{Metadata, ProgramSpec, Resource, Spec};
use elderworks_types::{
    Credits, Epoch, Incarnation, NodeId, Offset, ResourceName, Sequence, Timestamp, Tokens,
};

use super::{Filled, Flows};
use crate::scale::memory::resident_bytes;
use crate::scale::timing::EventTimer;

const NONCE: u64 = 77;

/// A control state with `count` programs.
pub fn fill(count: usize) -> eyre::Result<(Filled, Control)> {
    let before = resident_bytes()?;
    let writer = Writer {
        node: NodeId::new("node-0001"),
        incarnation: Incarnation(NONCE),
    };
    let mut control = Control::new(writer.clone());
    let mut timer = EventTimer::default();
    let mut flows = Flows::default();
    for number in 0..=count {
        let body = match number {
            0 => ControlBody::NodeStarted {
                node: writer.node.clone(),
                nonce: NONCE,
            },
            _ => put_program(number),
        };
        let record = Record {
            writer: writer.clone(),
            sequence: Sequence(number as u64 + 1),
            epoch: Epoch(0),
            body,
        };
        let batch = RecordBatch {
            records: vec![record.clone()],
        };
        flows.records += 1;
        flows.record_bytes += encode(&batch).len() as u64;
        let event = Event::RecordRead {
            offset: Offset(number as u64),
            index: 0,
            record,
        };
        timer.time("control record", || {
            control.handle(Timestamp(number as u64), event)
        });
    }
    let filled = Filled {
        role: "control state: resources",
        count,
        resident_bytes: resident_bytes()?.saturating_sub(before),
        encoded_bytes: None,
        times: timer.means(),
        flows,
    };
    Ok((filled, control))
}

fn put_program(number: usize) -> ControlBody {
    let spec = ProgramSpec {
        services: (0..4)
            .map(|service| ResourceName::new(format!("service-{service}")))
            .collect(),
        budget: Some(ResourceName::new(format!("budget-{number:05}"))),
        run_budget: Credits(1_000_000),
        max_turns: 560,
        max_history: Tokens(120_000),
        max_duration: Duration::from_secs(86_400),
        deadline: Some(Duration::from_secs(600)),
        priority: 0,
    };
    ControlBody::Put {
        resource: Resource {
            metadata: Metadata {
                name: ResourceName::new(format!("program-{number:05}")),
                revision: Offset(0),
            },
            spec: Spec::Program(spec),
        },
        expected: None,
    }
}
