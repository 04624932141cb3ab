//! A node that owns every partition and keeps runs in memory.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use elderworks_protocol::peer::{FromNode, ToNode};
use elderworks_protocol::sidecar::{
    CallView, Chunk, NodeAddress, NodeMessage, RunView, SidecarMessage, answer_digest,
};
use elderworks_protocol::{frame, split_frame};
use elderworks_types::{
    Answer, Attempt, CallId, CallRequest, CallSpec, Credits, Failure, FailureReason, Message,
    NodeId, Outcome, Refusal, RefusalReason, Role, RunId, RunPhase, Timestamp, Tokens,
    UnknownReason, Usage,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Size of an answer chunk, in bytes.
const CHUNK_BYTES: usize = 4;

/// A program for which the node never answers the start of a run.
pub const SILENT_PROGRAM: &str = "silent";

/// A scripted node.
#[derive(Clone)]
pub struct ScriptedNode {
    pub address: SocketAddr,
    state: Rc<RefCell<State>>,
}

#[derive(Default)]
struct State {
    runs: BTreeMap<RunId, RunView>,
    submissions: Vec<CallSpec>,
}

impl ScriptedNode {
    /// Starts a node on a free loopback port.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let node = Self {
            address: listener.local_addr().expect("bound"),
            state: Rc::default(),
        };
        let accepting = node.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(serve(accepting.clone(), stream));
            }
        });
        node
    }

    /// Returns the calls submitted so far.
    pub fn submissions(&self) -> Vec<CallSpec> {
        self.state.borrow().submissions.clone()
    }

    /// Returns the phase of a run.
    pub fn phase(&self, run: RunId) -> Option<RunPhase> {
        let state = self.state.borrow();
        state.runs.get(&run).map(|view| view.phase)
    }

    fn answer(&self, message: SidecarMessage) -> Vec<NodeMessage> {
        let mut state = self.state.borrow_mut();
        match message {
            SidecarMessage::Locate { partition } => vec![NodeMessage::Located {
                partition,
                owner: Some(NodeAddress {
                    node: NodeId::new("scripted"),
                    address: self.address,
                }),
                partition_count: 4,
            }],
            SidecarMessage::StartRun { spec } if spec.program.as_str() == SILENT_PROGRAM => {
                Vec::new()
            }
            SidecarMessage::StartRun { spec } => vec![state.start(spec)],
            SidecarMessage::SubmitCall {
                tenant, run, spec, ..
            } => {
                state.submissions.push(spec.clone());
                let is_known = state
                    .runs
                    .get(&run)
                    .is_some_and(|view| view.spec.tenant == tenant);
                match is_known {
                    true => state.call(run, spec),
                    false => vec![end(run, &spec, refused(RefusalReason::RunNotFound), 0)],
                }
            }
            SidecarMessage::Acknowledge { .. } => Vec::new(),
            SidecarMessage::ReadRun { query, tenant, run } => {
                let view = state
                    .runs
                    .get(&run)
                    .filter(|view| view.spec.tenant == tenant);
                let view = view.cloned().map(Box::new);
                vec![NodeMessage::RunView { query, view }]
            }
            SidecarMessage::EndRun { run, .. } => {
                if let Some(view) = state.runs.get_mut(&run) {
                    view.phase = RunPhase::Ended;
                }
                let phase = RunPhase::Ended;
                vec![NodeMessage::RunEnded { run, phase }]
            }
        }
    }
}

impl State {
    fn start(&mut self, spec: elderworks_types::RunSpec) -> NodeMessage {
        let run = spec.id;
        if spec.program.as_str() == "unknown" {
            let refusal = Refusal {
                reason: RefusalReason::UnknownService,
                retry_after: None,
            };
            return NodeMessage::RunRefused { run, refusal };
        }
        self.runs.insert(
            run,
            RunView {
                spec,
                phase: RunPhase::Active,
                spent: Credits(0),
                reserved: Credits(0),
                history: Vec::new(),
                calls: Vec::new(),
            },
        );
        NodeMessage::RunStarted { run }
    }

    fn call(&mut self, run: RunId, spec: CallSpec) -> Vec<NodeMessage> {
        let view = self.runs.get_mut(&run).expect("the run was found");
        let known = view
            .calls
            .iter()
            .find(|call| call.spec.number == spec.number);
        let outcome = match known {
            Some(call) if call.spec == spec => call.outcome.clone().expect("calls end immediately"),
            Some(_) => refused(RefusalReason::CallNumberReused),
            None => scripted_outcome(&spec),
        };
        let is_new = known.is_none() && !matches!(outcome, Outcome::Refused(_));
        if is_new {
            record(view, &spec, &outcome);
        }
        let mut messages = Vec::new();
        if let Outcome::Completed(answer) = &outcome {
            messages = chunks(run, &spec, &answer.content);
        }
        let count = messages.len() as u32;
        messages.push(end(run, &spec, outcome, count));
        messages
    }
}

fn record(view: &mut RunView, spec: &CallSpec, outcome: &Outcome) {
    if let CallRequest::Model(model) = &spec.request {
        view.history.truncate(model.history_prefix as usize);
        view.history.extend(model.messages.iter().cloned());
    }
    if let Outcome::Completed(answer) = outcome {
        let role = match spec.request {
            CallRequest::Model(_) => Role::Assistant,
            CallRequest::Tool(_) => Role::Tool,
        };
        view.history
            .push(Message::new(role, answer.content.clone()));
        view.spent += answer.cost;
    }
    view.calls.push(CallView {
        spec: spec.clone(),
        outcome: Some(outcome.clone()),
        attempts: Vec::new(),
        received: Timestamp(0),
        ended: Some(Timestamp(0)),
        notes: Vec::new(),
    });
}

/// Returns the outcome selected by the tool's name or the model's last message.
fn scripted_outcome(spec: &CallSpec) -> Outcome {
    let text = match &spec.request {
        CallRequest::Tool(tool) => tool.tool.to_string(),
        CallRequest::Model(model) => model
            .messages
            .last()
            .map(|message| message.content.clone())
            .unwrap_or_default(),
    };
    match text.as_str() {
        "refuse" => Outcome::Refused(Refusal {
            reason: RefusalReason::Overloaded,
            retry_after: Some(Duration::from_millis(1500)),
        }),
        "fail" => Outcome::Failed(Failure {
            reason: FailureReason::BackendError,
            detail: "broken".to_owned(),
            cost: Credits(1),
        }),
        "lose" => Outcome::Unknown(UnknownReason::ConnectionLost),
        _ => Outcome::Completed(Answer {
            content: format!("answer to {text}"),
            usage: Usage {
                prompt: Tokens(10),
                cached: Tokens(4),
                output: Tokens(3),
            },
            cost: Credits(13),
        }),
    }
}

fn refused(reason: RefusalReason) -> Outcome {
    Outcome::Refused(Refusal {
        reason,
        retry_after: None,
    })
}

fn chunks(run: RunId, spec: &CallSpec, content: &str) -> Vec<NodeMessage> {
    let pieces = content.as_bytes().chunks(CHUNK_BYTES);
    let number = spec.number;
    pieces
        .enumerate()
        .map(|(index, piece)| {
            NodeMessage::Chunk(Chunk {
                call: CallId { run, number },
                attempt: Attempt(1),
                index: index as u32,
                text: String::from_utf8_lossy(piece).into_owned(),
            })
        })
        .collect()
}

fn end(run: RunId, spec: &CallSpec, outcome: Outcome, chunks: u32) -> NodeMessage {
    let digest = match &outcome {
        Outcome::Completed(answer) => answer_digest(&answer.content),
        _ => 0,
    };
    let number = spec.number;
    NodeMessage::CallEnded {
        call: CallId { run, number },
        attempt: Some(Attempt(1)),
        chunks,
        digest,
        outcome,
        barred: None,
    }
}

async fn serve(node: ScriptedNode, mut stream: TcpStream) {
    let mut buffer = BytesMut::new();
    while stream
        .read_buf(&mut buffer)
        .await
        .is_ok_and(|read| read > 0)
    {
        while let Ok(Some(message)) = split_frame::<ToNode>(&mut buffer) {
            let ToNode::Sidecar(message) = message else {
                continue;
            };
            for reply in node.answer(message) {
                let frame = frame(&FromNode::Node(reply));
                if stream.write_all(&frame).await.is_err() {
                    return;
                }
            }
        }
    }
}
