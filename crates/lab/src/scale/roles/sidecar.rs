//! A sidecar with open calls, in the middle of their answers.

use std::net::SocketAddr;
use std::time::Duration;

use elderworks_protocol::frame;
use elderworks_protocol::sidecar::{Chunk, NodeAddress, NodeMessage, SidecarMessage};
use elderworks_sidecar_core::{Effect, Event, SidecarCore, SidecarSettings};
use elderworks_types::{
    Attempt, CallId, CallNumber, CallRequest, CallSpec, Message, ModelName, ModelRequest, NodeId,
    Role, RunId, TenantId, Timestamp, Tokens,
};

use super::{Filled, Flows};
use crate::scale::memory::resident_bytes;
use crate::scale::timing::EventTimer;

const QUESTION_BYTES: usize = 400;
const CHUNK_BYTES: usize = 64;
const CHUNKS: u32 = 15;
const PARTITIONS: u32 = 64;

/// A sidecar and the one node that it talks to.
pub struct SidecarHarness {
    sidecar: SidecarCore,
    node: SocketAddr,
    now: Timestamp,
    timer: EventTimer,
    flows: Flows,
}

impl SidecarHarness {
    fn new(calls: usize) -> Self {
        let node = SocketAddr::from(([127, 0, 0, 1], 7_000));
        let mut settings = SidecarSettings::new(vec![node], 1);
        settings.max_open_calls = calls + 1;
        let mut harness = Self {
            sidecar: SidecarCore::new(settings),
            node,
            now: Timestamp(1_000_000),
            timer: EventTimer::default(),
            flows: Flows::default(),
        };
        harness.feed("tick", Event::Tick);
        harness.feed("connected", Event::Connected { address: node });
        harness
    }

    fn feed(&mut self, kind: &'static str, event: Event) {
        self.now = self.now + Duration::from_micros(10);
        let (now, sidecar) = (self.now, &mut self.sidecar);
        let effects = self.timer.time(kind, || sidecar.handle(now, event));
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Connect { address } => {
                self.feed("connected", Event::Connected { address });
            }
            Effect::Send { message, .. } => {
                self.flows.messages += 1;
                self.flows.message_bytes += frame(&message).len() as u64;
                self.answer(&message);
            }
            Effect::Reply { .. } => {}
        }
    }

    fn answer(&mut self, message: &SidecarMessage) {
        if let SidecarMessage::Locate { partition } = message {
            let owner = NodeAddress {
                node: NodeId::new("node-0001"),
                address: self.node,
            };
            self.receive(
                "located",
                NodeMessage::Located {
                    partition: *partition,
                    owner: Some(owner),
                    partition_count: PARTITIONS,
                },
            );
        }
    }

    fn receive(&mut self, kind: &'static str, message: NodeMessage) {
        let address = self.node;
        self.feed(kind, Event::Received { address, message });
    }

    fn open_call(&mut self, number: usize) {
        let run = RunId::root(number as u64 + 1);
        let spec = CallSpec {
            number: CallNumber(1),
            request: CallRequest::Model(ModelRequest {
                model: ModelName::new("agent-large"),
                history_prefix: 0,
                messages: vec![Message::new(Role::User, "q".repeat(QUESTION_BYTES))],
                max_output: Tokens(1_024),
            }),
            repeatable: true,
            idempotency_key: None,
            deadline: None,
            expected_reuse: None,
        };
        self.flows.calls += 1;
        let event = Event::Call {
            request: number as u64 + 1,
            tenant: TenantId::new("tenant-0001"),
            run,
            spec,
        };
        self.feed("call", event);
        for index in 0..CHUNKS {
            let chunk = Chunk {
                call: CallId {
                    run,
                    number: CallNumber(1),
                },
                attempt: Attempt(1),
                index,
                text: "c".repeat(CHUNK_BYTES),
            };
            self.receive("chunk", NodeMessage::Chunk(chunk));
        }
    }
}

/// A sidecar with `count` open calls.
pub fn fill(count: usize) -> eyre::Result<(Filled, SidecarHarness)> {
    let before = resident_bytes()?;
    let mut harness = SidecarHarness::new(count);
    for number in 0..count {
        harness.open_call(number);
    }
    let open = harness.sidecar.open_requests();
    eyre::ensure!(open == count, "{open} of {count} calls are open");
    for _ in 0..100 {
        harness.feed("tick", Event::Tick);
    }
    let filled = Filled {
        role: "sidecar: open calls",
        count,
        resident_bytes: resident_bytes()?.saturating_sub(before),
        encoded_bytes: None,
        times: harness.timer.means(),
        flows: harness.flows,
    };
    Ok((filled, harness))
}
