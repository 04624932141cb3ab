//! The operator interface on a loopback port, over a node that is only a control store.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use actix_http::{HttpService, Request};
use actix_server::{Server, ServerHandle};
use elderworks_control::{Change, Control, ControlBody, Effect, Event, Watches};
use elderworks_node::operator::{NoAnswer, OperatorBackend, OperatorContext, respond};
use elderworks_node_core::effect::{EngineState, EngineView, OperatorReply};
use elderworks_node_core::event::OperatorRequest;
use elderworks_protocol::record::{Record, Writer};
use elderworks_protocol::sidecar::{NodeAddress, RunView};
use elderworks_settings::BearerToken;
use elderworks_types::resource::Kind;
use elderworks_types::{
    Credits, Epoch, Incarnation, NodeId, Offset, RunId, RunPhase, RunSpec, Sequence, Timestamp,
};
use tokio::sync::{mpsc, oneshot};

/// The token that the interface asks for.
pub const TOKEN: &str = "operators-only";

/// Largest body that the interface takes.
pub const MAX_BODY_BYTES: usize = 16 * 1024;

/// The run that the fake node owns.
pub const OWN_RUN: RunId = RunId::root(1);

/// A run that another node owns.
pub const OTHER_RUN: RunId = RunId::root(2);

/// How the fake node treats changes.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum LogState {
    /// Appends are read back at once.
    Up,
    /// Appends are lost in silence.
    Silent,
    /// The log is known not to answer.
    Down,
}

enum Command {
    Ask(OperatorRequest, oneshot::Sender<OperatorReply>),
    Watch(
        Option<Kind>,
        Offset,
        oneshot::Sender<Option<mpsc::Receiver<Change>>>,
    ),
    SetLog(LogState, oneshot::Sender<()>),
}

/// Reaches the fake node from any thread.
#[derive(Clone)]
pub struct FakeBackend {
    commands: mpsc::UnboundedSender<Command>,
}

impl OperatorBackend for FakeBackend {
    async fn ask(&self, question: OperatorRequest) -> Result<OperatorReply, NoAnswer> {
        let (reply, answer) = oneshot::channel();
        let command = Command::Ask(question, reply);
        self.commands.send(command).map_err(|_| NoAnswer)?;
        answer.await.map_err(|_| NoAnswer)
    }

    async fn watch(
        &self,
        kind: Option<Kind>,
        after: Offset,
    ) -> Result<Option<mpsc::Receiver<Change>>, NoAnswer> {
        let (reply, answer) = oneshot::channel();
        let command = Command::Watch(kind, after, reply);
        self.commands.send(command).map_err(|_| NoAnswer)?;
        answer.await.map_err(|_| NoAnswer)
    }
}

impl FakeBackend {
    /// Changes how the log behaves.
    pub async fn set_log(&self, state: LogState) {
        let (done, answer) = oneshot::channel();
        let sent = self.commands.send(Command::SetLog(state, done));
        assert!(
            sent.is_ok() && answer.await.is_ok(),
            "the fake node stopped"
        );
    }
}

/// A control store with a log of its own.
struct FakeNode {
    control: Control,
    writer: Writer,
    next_offset: u64,
    log: LogState,
    last_request: u64,
    watches: Watches,
    watchers: BTreeMap<u64, mpsc::Sender<Change>>,
    waiting: BTreeMap<u64, oneshot::Sender<OperatorReply>>,
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
            last_request: 0,
            watches: Watches::default(),
            watchers: BTreeMap::new(),
            waiting: BTreeMap::new(),
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
                    if let Some(waiting) = self.waiting.remove(&request) {
                        let _ = waiting.send(OperatorReply::Changed(result));
                    }
                }
                Effect::Changed(change) => self.tell_watchers(&change),
            }
        }
    }

    fn tell_watchers(&mut self, change: &Change) {
        for watch in self.watches.interested(change) {
            if let Some(watcher) = self.watchers.get(&watch) {
                let _ = watcher.try_send(change.clone());
            }
        }
    }

    fn take(&mut self, command: Command) {
        self.last_request += 1;
        match command {
            Command::Ask(OperatorRequest::Change(body), reply) => {
                self.waiting.insert(self.last_request, reply);
                self.handle(Event::Propose {
                    request: self.last_request,
                    body,
                });
            }
            Command::Ask(question, reply) => {
                let _ = reply.send(self.answer(question));
            }
            Command::Watch(kind, after, reply) => {
                let _ = reply.send(self.begin_watch(kind, after));
            }
            Command::SetLog(state, done) => {
                self.log = state;
                self.handle(Event::LogReachable(state != LogState::Down));
                let _ = done.send(());
            }
        }
    }

    fn begin_watch(&mut self, kind: Option<Kind>, after: Offset) -> Option<mpsc::Receiver<Change>> {
        let request = self.last_request;
        let missed = self
            .watches
            .begin(&self.control, request, kind, after)
            .ok()?;
        let (sender, receiver) = mpsc::channel(4_096);
        for change in missed {
            sender.try_send(change).ok()?;
        }
        self.watchers.insert(request, sender);
        Some(receiver)
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

/// The interface under test.
pub struct TestServer {
    pub url: String,
    pub backend: FakeBackend,
    server: ServerHandle,
}

impl TestServer {
    /// Starts a fake node and the interface before it.
    pub fn start() -> Self {
        Self::with_reply_timeout(Duration::from_secs(30))
    }

    /// Starts with another bound on the wait for the node's reply.
    pub fn with_reply_timeout(reply_timeout: Duration) -> Self {
        let (commands, mut receiver) = mpsc::unbounded_channel();
        let node = Rc::new(RefCell::new(FakeNode::new()));
        actix_rt::spawn(async move {
            while let Some(command) = receiver.recv().await {
                node.borrow_mut().take(command);
            }
        });
        let backend = FakeBackend { commands };
        let context = OperatorContext {
            backend: backend.clone(),
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
            .expect("the socket can be listened on")
            .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Self {
            url: format!("http://{address}"),
            backend,
            server: handle,
        }
    }

    /// Stops the interface.
    pub async fn stop(self) {
        self.server.stop(false).await;
    }
}
