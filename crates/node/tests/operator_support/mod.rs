//! The operators' interface on a loopback port, with a fake node that has only a control store.

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix_http::{HttpService, Request};
use actix_server::{Server, ServerHandle};
use elderworks_control::{Change, Control, ControlBody, Effect, Event, Watches};
use elderworks_execution::RunSummary;
use elderworks_node::operator::{
    OperatorBridge, OperatorCommand, OperatorContext, operator_channel, respond,
};
use elderworks_node_core::effect::{EngineState, EngineView, OperatorReply};
use elderworks_node_core::event::{Event as NodeEvent, OperatorRequest, RequestId};
use elderworks_protocol::record::{Record, Writer};
use elderworks_protocol::sidecar::{NodeAddress, RunView};
use elderworks_settings::BearerToken;
use elderworks_types::resource::Kind;
use elderworks_types::{
    Credits, Epoch, Incarnation, NodeId, Offset, RunId, RunPhase, RunSpec, Sequence, Timestamp,
};
use tokio::sync::{mpsc, oneshot};

/// The operator token.
pub const TOKEN: &str = "operators-only";

/// Maximum size of a request body, in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024;

/// The run that the fake node owns.
pub const OWN_RUN: RunId = RunId::root(1);

/// A run that another node owns.
pub const OTHER_RUN: RunId = RunId::root(2);

/// State of the fake node's log.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum LogState {
    /// Appended records are read back immediately.
    Up,
    /// Appends are lost without an error.
    Silent,
    /// The node knows that the log is unreachable.
    Down,
}

/// An input of the fake node, from the interface or from the test.
enum Input {
    Command(OperatorCommand),
    SetLog(LogState, oneshot::Sender<()>),
}

/// A node that has only a control store, with an in-memory log.
struct FakeNode {
    control: Control,
    writer: Writer,
    next_offset: u64,
    log: LogState,
    bridge: OperatorBridge,
    watches: Watches,
}

impl FakeNode {
    fn new() -> Self {
        let writer = Writer {
            node: NodeId::new("a"),
            incarnation: Incarnation(1),
        };
        let mut node = Self {
            control: Control::new(writer.clone()),
            writer,
            next_offset: 0,
            log: LogState::Up,
            bridge: OperatorBridge::default(),
            watches: Watches::default(),
        };
        node.append(ControlBody::NodeStarted {
            node: NodeId::new("a"),
            nonce: 1,
        });
        node
    }

    fn append(&mut self, body: ControlBody) {
        if self.log != LogState::Up {
            return;
        }
        let offset = self.next_offset;
        self.next_offset += 1;
        let record = Record {
            writer: self.writer.clone(),
            sequence: Sequence(offset + 1),
            epoch: Epoch(0),
            body,
        };
        self.handle(Event::RecordRead {
            offset: Offset(offset),
            index: 0,
            record,
        });
    }

    fn handle(&mut self, event: Event) {
        for effect in self.control.handle(Timestamp(0), event) {
            match effect {
                Effect::Append(body) => self.append(body),
                Effect::Reply { request, result } => {
                    self.bridge.reply(request, OperatorReply::Changed(result));
                }
                Effect::Changed(change) => self.notify_watchers(&change),
            }
        }
    }

    fn notify_watchers(&mut self, change: &Change) {
        for watch in self.watches.subscribers_of(change) {
            self.bridge.change(watch, change.clone());
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Command(command) => {
                if let NodeEvent::Operator { request, question } = self.bridge.accept(command) {
                    self.handle_request(request, question);
                }
            }
            Input::SetLog(state, done) => {
                self.log = state;
                self.handle(Event::LogReachable(state != LogState::Down));
                let _ = done.send(());
            }
        }
    }

    fn handle_request(&mut self, request: RequestId, question: OperatorRequest) {
        match question {
            OperatorRequest::Change(body) => self.handle(Event::Propose { request, body }),
            OperatorRequest::Watch { kind, after } => self.start_watch(request, kind, after),
            question => {
                let reply = self.answer(question);
                self.bridge.reply(request, reply);
            }
        }
    }

    fn start_watch(&mut self, request: RequestId, kind: Option<Kind>, after: Offset) {
        let missed = self.watches.subscribe(&self.control, request, kind, after);
        let started_watch = missed.as_ref().map(|_| ()).map_err(|error| *error);
        self.bridge
            .reply(request, OperatorReply::Watching(started_watch));
        for change in missed.into_iter().flatten() {
            self.bridge.change(request, change);
        }
    }

    fn answer(&self, question: OperatorRequest) -> OperatorReply {
        match question {
            OperatorRequest::Get { kind, name } => {
                OperatorReply::Resource(self.control.get(kind, &name).cloned())
            }
            OperatorRequest::List { kind } => OperatorReply::Resources {
                items: self.control.list(kind).cloned().collect(),
                revision: self.control.revision(),
            },
            OperatorRequest::Nodes => OperatorReply::Nodes(Vec::new()),
            OperatorRequest::Engines => OperatorReply::Engines(vec![engine()]),
            OperatorRequest::Runs => OperatorReply::Runs(vec![RunSummary {
                spec: run_view().spec,
                phase: RunPhase::Active,
                started: Timestamp(1),
                spent: Credits(7),
                calls: 2,
            }]),
            OperatorRequest::Run { run } if run == OWN_RUN => {
                OperatorReply::Run(Some(Box::new(run_view())))
            }
            OperatorRequest::Run { run } if run == OTHER_RUN => {
                OperatorReply::RunElsewhere(Some(NodeAddress {
                    node: NodeId::new("b"),
                    address: SocketAddr::from(([127, 0, 0, 1], 1)),
                }))
            }
            _ => OperatorReply::Run(None),
        }
    }
}

fn engine() -> EngineView {
    EngineView {
        id: "engine-1".into(),
        zone: "zone-a".into(),
        url: "http://127.0.0.1:9000".into(),
        models: vec!["model-a".into()],
        state: EngineState::Serving,
    }
}

fn run_view() -> RunView {
    RunView {
        spec: RunSpec {
            id: OWN_RUN,
            tenant: "tenant-1".into(),
            program: "boundary".into(),
            parent: None,
            budget: Credits(100),
            deadline: None,
        },
        phase: RunPhase::Active,
        spent: Credits(7),
        reserved: Credits(0),
        history: Vec::new(),
        calls: Vec::new(),
    }
}

/// Starts a fake node that runs until the interface or the test is gone.
fn start_fake_node(mut commands: mpsc::Receiver<OperatorCommand>) -> mpsc::UnboundedSender<Input> {
    let (inputs, mut receiver) = mpsc::unbounded_channel();
    actix_rt::spawn(async move {
        let mut node = FakeNode::new();
        loop {
            let input = tokio::select! {
                command = commands.recv() => command.map(Input::Command),
                input = receiver.recv() => input,
            };
            match input {
                Some(input) => node.handle_input(input),
                None => return,
            }
        }
    });
    inputs
}

/// The interface under test.
pub struct TestServer {
    pub url: String,
    inputs: mpsc::UnboundedSender<Input>,
    server: ServerHandle,
}

impl TestServer {
    /// Starts a fake node and its operators' interface.
    pub fn start() -> Self {
        Self::with_reply_timeout(Duration::from_secs(30))
    }

    /// Starts both with a given timeout of the node's replies.
    pub fn with_reply_timeout(reply_timeout: Duration) -> Self {
        let (handle, commands) = operator_channel();
        let inputs = start_fake_node(commands);
        let context = OperatorContext {
            handle,
            token: Some(BearerToken::new(TOKEN)),
            max_body_bytes: MAX_BODY_BYTES,
            reply_timeout,
        };
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener.local_addr().expect("the socket is bound");
        let server = Server::build()
            .workers(1)
            .disable_signals()
            .shutdown_timeout(1)
            .listen("operator", listener, move || {
                let context = context.clone();
                HttpService::build()
                    .finish(move |request: Request| {
                        let context = context.clone();
                        async move { Ok::<_, Infallible>(respond(&context, request).await) }
                    })
                    .tcp()
            })
            .expect("the server can use the socket")
            .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Self {
            url: format!("http://{address}"),
            inputs,
            server: handle,
        }
    }

    /// Sets the state of the fake node's log.
    pub async fn set_log(&self, state: LogState) {
        let (done, answer) = oneshot::channel();
        let sent = self.inputs.send(Input::SetLog(state, done));
        assert!(
            sent.is_ok() && answer.await.is_ok(),
            "the fake node stopped"
        );
    }

    /// Stops the interface.
    pub async fn stop(self) {
        self.server.stop(false).await;
    }
}
