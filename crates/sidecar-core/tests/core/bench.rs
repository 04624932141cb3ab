//! A sidecar with one or two scripted nodes.

use std::net::SocketAddr;
use std::time::Duration;

use elderworks_protocol::sidecar::{
    Chunk, NodeAddress, NodeMessage, SidecarMessage, answer_digest,
};
use elderworks_sidecar_core::{
    CallerReply, Effect, Event, RequestId, SidecarCore, SidecarSettings, TICK_INTERVAL,
};
use elderworks_types::{
    Answer, Attempt, CallId, CallNumber, CallRequest, CallSpec, Credits, NodeId, Outcome,
    PartitionId, RunId, TenantId, Timestamp, ToolName, ToolRequest, Usage,
};

/// The run of every test.
pub const RUN: RunId = RunId::root(7);

/// Partitions that the scripted nodes report.
pub const PARTITIONS: u32 = 8;

/// The first scripted node.
pub fn node_a() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7101))
}

/// The second scripted node.
pub fn node_b() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7102))
}

/// Call number 1 of [`RUN`].
pub fn call_id() -> CallId {
    CallId {
        run: RUN,
        number: CallNumber(1),
    }
}

/// A tool call with the given properties.
pub fn call_spec(repeatable: bool, deadline: Option<Timestamp>) -> CallSpec {
    CallSpec {
        number: CallNumber(1),
        request: CallRequest::Tool(ToolRequest {
            tool: ToolName::new("submit"),
            arguments: "{}".to_owned(),
        }),
        repeatable,
        idempotency_key: None,
        deadline,
        expected_reuse: None,
    }
}

/// A completed outcome.
pub fn completed(content: &str) -> Outcome {
    Outcome::Completed(Answer {
        content: content.to_owned(),
        usage: Usage::default(),
        cost: Credits(1),
    })
}

/// The end of call 1.
pub fn ended(outcome: Outcome) -> NodeMessage {
    let digest = match &outcome {
        Outcome::Completed(answer) => answer_digest(&answer.content),
        _ => answer_digest(""),
    };
    NodeMessage::CallEnded {
        call: call_id(),
        attempt: Some(Attempt(1)),
        chunks: 0,
        digest,
        outcome,
        barred: None,
    }
}

/// A chunk of call 1.
pub fn chunk(attempt: u32, index: u32, text: &str) -> NodeMessage {
    NodeMessage::Chunk(Chunk {
        call: call_id(),
        attempt: Attempt(attempt),
        index,
        text: text.to_owned(),
    })
}

/// The sidecar under test, its clock, and what it said.
pub struct Bench {
    pub core: SidecarCore,
    pub now: Timestamp,
    pub sent: Vec<(SocketAddr, SidecarMessage)>,
    pub replies: Vec<(RequestId, CallerReply)>,
    pub connects: Vec<SocketAddr>,
}

impl Bench {
    /// A sidecar that knows both nodes and is connected to neither.
    pub fn new() -> Self {
        Self::with_settings(|_| {})
    }

    /// The same with changed settings.
    pub fn with_settings(change: impl FnOnce(&mut SidecarSettings)) -> Self {
        let mut settings = SidecarSettings::new(vec![node_a(), node_b()], 1);
        change(&mut settings);
        Self {
            core: SidecarCore::new(settings),
            now: Timestamp(1_000_000),
            sent: Vec::new(),
            replies: Vec::new(),
            connects: Vec::new(),
        }
    }

    /// A sidecar that is connected to both nodes and knows that `owner` owns the run.
    pub fn with_owner(owner: SocketAddr) -> Self {
        let mut bench = Self::new();
        bench.event(Event::Tick);
        bench.event(Event::Connected { address: node_a() });
        bench.event(Event::Connected { address: node_b() });
        bench.report_owner(node_a(), owner);
        bench
    }

    /// `from` says that `owner` owns the run.
    pub fn report_owner(&mut self, from: SocketAddr, owner: SocketAddr) {
        let owner = NodeAddress {
            node: NodeId::new("owner"),
            address: owner,
        };
        self.receive(
            from,
            NodeMessage::Located {
                partition: RUN.partition(PARTITIONS),
                owner: Some(owner),
                partition_count: PARTITIONS,
            },
        );
    }

    /// Gives the core one event and sorts its effects.
    pub fn event(&mut self, event: Event) {
        for effect in self.core.handle(self.now, event) {
            match effect {
                Effect::Connect { address } => self.connects.push(address),
                Effect::Send { address, message } => self.sent.push((address, message)),
                Effect::Reply { request, reply } => self.replies.push((request, reply)),
            }
        }
    }

    /// A node sends a message.
    pub fn receive(&mut self, address: SocketAddr, message: NodeMessage) {
        self.event(Event::Received { address, message });
    }

    /// A caller makes call 1.
    pub fn call(&mut self, request: RequestId, spec: CallSpec) {
        self.event(Event::Call {
            request,
            tenant: TenantId::new("office"),
            run: RUN,
            spec,
        });
    }

    /// Lets time pass, with its ticks.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TICK_INTERVAL;
            self.event(Event::Tick);
        }
    }

    /// Where call 1 was submitted, in order.
    pub fn submissions(&self) -> Vec<SocketAddr> {
        self.sent
            .iter()
            .filter(|(_, message)| matches!(message, SidecarMessage::SubmitCall { .. }))
            .map(|(address, _)| *address)
            .collect()
    }

    /// The joined chunks that a request got since the last restart.
    pub fn text(&self, request: RequestId) -> String {
        let mut text = String::new();
        for (_, reply) in self.replies.iter().filter(|(id, _)| *id == request) {
            match reply {
                CallerReply::Chunk { text: piece } => text.push_str(piece),
                CallerReply::Restarted => text.clear(),
                _ => {}
            }
        }
        text
    }

    /// The outcomes that a request got.
    pub fn outcomes(&self, request: RequestId) -> Vec<Outcome> {
        self.replies
            .iter()
            .filter(|(id, _)| *id == request)
            .filter_map(|(_, reply)| match reply {
                CallerReply::CallEnded { outcome, .. } => Some(outcome.clone()),
                _ => None,
            })
            .collect()
    }
}

/// The partition that a sidecar asks about before it knows their number.
pub const FIRST_PARTITION: PartitionId = PartitionId(0);
