//! Test harness: a sidecar with two scripted nodes and a virtual clock.

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

/// The run used by all tests.
pub const RUN: RunId = RunId::root(7);

/// Number of partitions that the scripted nodes report.
pub const PARTITIONS: u32 = 8;

/// Returns the address of the first scripted node.
pub fn node_a() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7101))
}

/// Returns the address of the second scripted node.
pub fn node_b() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7102))
}

/// Returns the id of call 1 of [`RUN`].
pub fn call_id() -> CallId {
    CallId {
        run: RUN,
        number: CallNumber(1),
    }
}

/// Returns the spec of call 1, a tool call.
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

/// Returns a completed outcome with the given content.
pub fn completed(content: &str) -> Outcome {
    Outcome::Completed(Answer {
        content: content.to_owned(),
        usage: Usage::default(),
        cost: Credits(1),
    })
}

/// Returns the end message of call 1.
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

/// Returns a chunk message of call 1.
pub fn chunk(attempt: u32, index: u32, text: &str) -> NodeMessage {
    NodeMessage::Chunk(Chunk {
        call: call_id(),
        attempt: Attempt(attempt),
        index,
        text: text.to_owned(),
    })
}

/// The sidecar under test, its clock, and its recorded effects.
pub struct Bench {
    pub core: SidecarCore,
    pub now: Timestamp,
    pub sent: Vec<(SocketAddr, SidecarMessage)>,
    pub replies: Vec<(RequestId, CallerReply)>,
    pub connects: Vec<SocketAddr>,
}

impl Bench {
    /// Creates a sidecar that knows both nodes and is connected to neither.
    pub fn new() -> Self {
        Self::with_settings(|_| {})
    }

    /// Like [`Bench::new`], with changed settings.
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

    /// Creates a sidecar that is connected to both nodes and knows that `owner` owns the run.
    pub fn with_owner(owner: SocketAddr) -> Self {
        let mut bench = Self::new();
        bench.event(Event::Tick);
        bench.event(Event::Connected { address: node_a() });
        bench.event(Event::Connected { address: node_b() });
        bench.report_owner(node_a(), owner);
        bench
    }

    /// Delivers a report from `from` that `owner` owns the run.
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

    /// Passes one event to the core and records its effects.
    pub fn event(&mut self, event: Event) {
        for effect in self.core.handle(self.now, event) {
            match effect {
                Effect::Connect { address } => self.connects.push(address),
                Effect::Send { address, message } => self.sent.push((address, message)),
                Effect::Reply { request, reply } => self.replies.push((request, reply)),
            }
        }
    }

    /// Delivers a message from a node.
    pub fn receive(&mut self, address: SocketAddr, message: NodeMessage) {
        self.event(Event::Received { address, message });
    }

    /// Makes a call as the tenant "office".
    pub fn call(&mut self, request: RequestId, spec: CallSpec) {
        self.event(Event::Call {
            request,
            tenant: TenantId::new("office"),
            run: RUN,
            spec,
        });
    }

    /// Advances the clock, sending a tick at every interval.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TICK_INTERVAL;
            self.event(Event::Tick);
        }
    }

    /// Returns the nodes to which calls were submitted, in order.
    pub fn submissions(&self) -> Vec<SocketAddr> {
        self.sent
            .iter()
            .filter(|(_, message)| matches!(message, SidecarMessage::SubmitCall { .. }))
            .map(|(address, _)| *address)
            .collect()
    }

    /// Returns the text that a request has received since its last restart.
    pub fn text(&self, request: RequestId) -> String {
        let mut text = String::new();
        for (_, reply) in self.replies.iter().filter(|(id, _)| *id == request) {
            match reply {
                CallerReply::Chunk { text: chunk } => text.push_str(chunk),
                CallerReply::Restarted => text.clear(),
                _ => {}
            }
        }
        text
    }

    /// Returns the outcomes that a request has received.
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

/// The partition that a sidecar looks up before it knows the number of partitions.
pub const FIRST_PARTITION: PartitionId = PartitionId(0);
