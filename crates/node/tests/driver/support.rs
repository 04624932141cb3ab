//! Test nodes on free ports, stand-ins of the platform, and a sidecar client.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use actix_rt::net::TcpStream;
use bytes::BytesMut;
use elderworks_control::ControlBody;
use elderworks_node::{NodeHandle, start};
use elderworks_node_core::effect::OperatorReply;
use elderworks_node_core::event::OperatorRequest;
use elderworks_protocol::peer::{FromNode, Hello, ToNode};
use elderworks_protocol::sidecar::{Delivered, NodeMessage, SidecarMessage, SubmissionTag};
use elderworks_protocol::{frame, split_frame};
use elderworks_settings::{LoggingSettings, NodeLimits, NodeProcessSettings};
use elderworks_standin::engine::EngineSettings;
use elderworks_standin::{ServerHandle, engine, listen, log, tool};
use elderworks_types::resource::{
    EngineEndpoint, Metadata, ModelServiceSpec, ProgramSpec, Resource, ServiceSpec, Spec,
    ToolServiceSpec,
};
use elderworks_types::{
    CallId, CallNumber, CallRequest, CallSpec, Credits, EngineId, Message, ModelName, ModelRequest,
    NodeId, Offset, Outcome, ResourceName, Role, RunId, RunSpec, TenantId, Tokens, ToolName,
    ToolRequest, ZoneId,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

/// Timeout of every wait, far above the normal duration.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

const MODEL: &str = "clerk";
const TOOL: &str = "cadastre";
const PROGRAM: &str = "correction";

pub fn tenant() -> TenantId {
    TenantId::new("tenant")
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn free_port() -> TcpListener {
    listen(loopback()).expect("loopback has a free port")
}

/// Stand-ins of the log, an engine and a tool service.
pub struct StandIns {
    pub log: ServerHandle,
    pub engine: ServerHandle,
    pub tool: ServerHandle,
}

impl StandIns {
    pub fn start() -> Self {
        let mut settings = EngineSettings::new(EngineId::new("engine-1"));
        settings.models = vec![ModelName::new(MODEL)];
        Self {
            log: log::serve(free_port(), log::LogSettings::default()).expect("the log starts"),
            engine: engine::serve(free_port(), settings).expect("the engine starts"),
            tool: tool::serve(free_port(), tool::ToolServiceSettings::default())
                .expect("the tool starts"),
        }
    }

    fn resources(&self) -> Vec<Resource> {
        let model = ModelServiceSpec {
            model: ModelName::new(MODEL),
            engines: vec![EngineEndpoint {
                id: EngineId::new("engine-1"),
                url: self.engine.url(),
                zone: ZoneId::new("zone-a"),
            }],
            credits_per_prompt_token: Credits(1),
            credits_per_output_token: Credits(2),
        };
        let tool = ToolServiceSpec {
            tool: ToolName::new(TOOL),
            url: self.tool.url(),
            credits_per_invocation: Credits(5),
            timeout: Duration::from_secs(5),
        };
        let program = ProgramSpec {
            services: vec![ResourceName::new("model"), ResourceName::new("tool")],
            budget: None,
            run_budget: Credits(100_000),
            max_turns: 10,
            max_history: Tokens(100_000),
            max_duration: Duration::from_secs(600),
            deadline: None,
            priority: 0,
        };
        vec![
            resource("model", Spec::Service(ServiceSpec::Model(model))),
            resource("tool", Spec::Service(ServiceSpec::Tool(tool))),
            resource(PROGRAM, Spec::Program(program)),
        ]
    }
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

/// Starts a node that uses `stand_ins`, and waits until it is ready.
pub async fn node(name: &str, stand_ins: &StandIns, seeds: Vec<SocketAddr>) -> NodeHandle {
    let settings = NodeProcessSettings {
        name: NodeId::new(name),
        zone: ZoneId::new("zone-a"),
        cell: None,
        listen: loopback(),
        gossip: loopback(),
        admin: loopback(),
        seeds,
        log_url: stand_ins.log.url(),
        machines_url: None,
        partition_count: 4,
        operator_token: None,
        limits: NodeLimits::default(),
        logging: LoggingSettings::default(),
    };
    let node = start(&settings).await.expect("the node starts");
    let ready = timeout(TEST_TIMEOUT, node.ready()).await;
    assert_eq!(ready, Ok(true), "the node becomes ready");
    node
}

/// Creates the resources that the runs of these tests need.
pub async fn apply_resources(node: &NodeHandle, stand_ins: &StandIns) {
    for resource in stand_ins.resources() {
        let change = OperatorRequest::Change(ControlBody::Put {
            resource,
            expected: None,
        });
        let reply = node.operator().ask(change).expect("the node accepts it");
        let reply = timeout(TEST_TIMEOUT, reply).await.expect("a reply in time");
        assert!(
            matches!(reply, Ok(OperatorReply::Changed(Ok(_)))),
            "{reply:?}"
        );
    }
}

/// A sidecar's connection to a node.
pub struct Sidecar {
    stream: TcpStream,
    buffer: BytesMut,
}

impl Sidecar {
    pub async fn connect(node: &NodeHandle) -> Self {
        let connecting = Self::connect_to(node.address).await;
        connecting.expect("it connects")
    }

    async fn connect_to(node: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(node).await?;
        let mut sidecar = Self {
            stream,
            buffer: BytesMut::new(),
        };
        let hello = ToNode::Hello(Hello::Sidecar { sidecar: 7 });
        sidecar.write(&hello).await?;
        Ok(sidecar)
    }

    pub async fn send(&mut self, message: SidecarMessage) {
        let written = self.write(&ToNode::Sidecar(message)).await;
        written.expect("the node accepts it");
    }

    async fn write(&mut self, message: &ToNode) -> std::io::Result<()> {
        self.stream.write_all(&frame(message)).await
    }

    pub async fn receive(&mut self) -> NodeMessage {
        let message = self.try_receive().await;
        message.expect("the node is up")
    }

    /// Returns the next message, or `None` once the node has closed the connection.
    async fn try_receive(&mut self) -> Option<NodeMessage> {
        let receiving = timeout(TEST_TIMEOUT, self.receive_unbounded()).await;
        receiving.expect("a message in time")
    }

    async fn receive_unbounded(&mut self) -> Option<NodeMessage> {
        loop {
            let message = split_frame::<FromNode>(&mut self.buffer).expect("well formed");
            if let Some(FromNode::Node(message)) = message {
                return Some(message);
            }
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(read) if read > 0 => {}
                _ => return None,
            }
        }
    }

    /// Collects the chunks of a call until its outcome. Returns `None` if the node closes the
    /// connection or refers to another node.
    async fn follow(&mut self, run: RunId, delivered: &mut Delivered) -> Option<Outcome> {
        loop {
            match self.try_receive().await? {
                NodeMessage::Chunk(chunk) => {
                    assert_eq!(chunk.call.run, run);
                    assert_eq!(
                        chunk.index, delivered.chunks,
                        "chunks have no gaps or repeats"
                    );
                    delivered.attempt = Some(chunk.attempt);
                    delivered.chunks += 1;
                    delivered.text.push_str(&chunk.text);
                }
                NodeMessage::CallEnded { outcome, .. } => return Some(outcome),
                NodeMessage::NotOwner { .. } | NodeMessage::CallMoved { .. } => return None,
                NodeMessage::Draining => {}
                other => panic!("unexpected: {other:?}"),
            }
        }
    }

    /// Starts a run, retrying while the node does not own it.
    pub async fn start_run(&mut self, run: RunId) {
        let spec = RunSpec {
            id: run,
            tenant: tenant(),
            program: ResourceName::new(PROGRAM),
            parent: None,
            budget: Credits(50_000),
            deadline: None,
        };
        let since = Instant::now();
        loop {
            self.send(SidecarMessage::StartRun { spec: spec.clone() })
                .await;
            match self.receive().await {
                NodeMessage::RunStarted { run: started } => return assert_eq!(started, run),
                NodeMessage::NotOwner { .. } => {
                    assert!(since.elapsed() < TEST_TIMEOUT, "no node owns the run");
                }
                other => panic!("the run was not started: {other:?}"),
            }
        }
    }

    /// Submits a call, and returns its joined chunks and its outcome.
    pub async fn call(&mut self, run: RunId, spec: CallSpec) -> (String, Outcome) {
        let call = CallId {
            run,
            number: spec.number,
        };
        self.send(submit(run, spec, Delivered::default())).await;
        let mut text = String::new();
        loop {
            match self.receive().await {
                NodeMessage::Chunk(chunk) if chunk.call == call => text.push_str(&chunk.text),
                NodeMessage::CallEnded {
                    call: ended,
                    outcome,
                    ..
                } if ended == call => return (text, outcome),
                other => panic!("unexpected: {other:?}"),
            }
        }
    }
}

pub fn submit(run: RunId, spec: CallSpec, delivered: Delivered) -> SidecarMessage {
    SidecarMessage::SubmitCall {
        tenant: tenant(),
        run,
        spec,
        delivered,
        abandoned_before: 0,
        submission: SubmissionTag::default(),
    }
}

/// Makes a call as a sidecar does: tries the nodes in turn until one reports the outcome, resuming
/// each time at the next chunk. Returns the joined chunks and the outcome.
pub async fn call_anywhere(
    nodes: [SocketAddr; 2],
    run: RunId,
    spec: CallSpec,
) -> (String, Outcome) {
    let since = Instant::now();
    let mut delivered = Delivered::default();
    for node in nodes.into_iter().cycle() {
        assert!(since.elapsed() < TEST_TIMEOUT, "no node accepted the call");
        let Ok(mut sidecar) = Sidecar::connect_to(node).await else {
            continue;
        };
        let submission = submit(run, spec.clone(), delivered.clone());
        if sidecar.write(&ToNode::Sidecar(submission)).await.is_err() {
            continue;
        }
        if let Some(outcome) = sidecar.follow(run, &mut delivered).await {
            return (delivered.text, outcome);
        }
    }
    unreachable!("the iterator over nodes is infinite")
}

fn call_spec(number: u32, request: CallRequest, repeatable: bool) -> CallSpec {
    CallSpec {
        number: CallNumber(number),
        request,
        repeatable,
        idempotency_key: None,
        deadline: None,
        expected_reuse: None,
    }
}

pub fn model_call(number: u32, history_prefix: u32) -> CallSpec {
    let request = ModelRequest {
        model: ModelName::new(MODEL),
        history_prefix,
        messages: vec![Message::new(Role::User, "Where does the boundary run?")],
        max_output: Tokens(32),
    };
    call_spec(number, CallRequest::Model(request), true)
}

pub fn tool_call(number: u32) -> CallSpec {
    let request = ToolRequest {
        tool: ToolName::new(TOOL),
        arguments: r#"{"parcel":"17/4"}"#.to_owned(),
    };
    call_spec(number, CallRequest::Tool(request), false)
}
