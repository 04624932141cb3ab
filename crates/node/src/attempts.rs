//! Attempts sent to engines and tools, one task per attempt.

use std::collections::BTreeMap;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use elderworks_backend::{
    AnswerItem, AnswerStream, BackendError, Endpoint, EngineClient, GenerateRequest, HttpClient,
    HttpEngineClient, HttpToolClient, LostReason, ToolClient, ToolInvocation,
};
use elderworks_execution::event::AttemptFailure;
use elderworks_node_core::Event;
use elderworks_node_core::effect::Generate;
use elderworks_placement::Ticket;
use elderworks_platform_api::tool::InvocationStatus;
use elderworks_types::{FailureReason, ToolName, Usage};
use futures_util::StreamExt;

use crate::input::{Input, InputSender};

/// Timeout of short requests to engines and tools.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for reading the rest of an attempt that a previous owner of the run started.
const RESUME_TIMEOUT: Duration = Duration::from_secs(300);

/// Interval between status queries about an invocation that is still running.
const TOOL_QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// Returns the id of an attempt at the engine. It does not depend on the node, so that a new owner
/// of the run can resume the attempt.
pub(crate) fn request_id(ticket: Ticket) -> String {
    format!("{}#{}", ticket.call, ticket.attempt)
}

/// An attempt whose answer is being read.
struct Running {
    task: JoinHandle<()>,
    /// URL at which to cancel the attempt; `None` for a tool.
    engine_url: Option<String>,
}

/// Attempts whose answers are being read.
pub(crate) struct AttemptTasks {
    http: HttpClient,
    inputs: InputSender,
    running: BTreeMap<Ticket, Running>,
}

impl AttemptTasks {
    pub(crate) fn new(http: HttpClient, inputs: InputSender) -> Self {
        Self {
            http,
            inputs,
            running: BTreeMap::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.running.len()
    }

    /// Removes tasks that have finished.
    pub(crate) fn sweep(&mut self) {
        self.running
            .retain(|_, running| !running.task.is_finished());
    }

    /// Starts a generation attempt at an engine.
    pub(crate) fn generate(&mut self, generate: Generate) {
        let ticket = generate.ticket;
        let client = engine_client(&self.http, &generate.url);
        let answer = client.generate(GenerateRequest {
            request_id: request_id(ticket),
            run: ticket.call.run,
            model: generate.model,
            messages: generate.messages,
            max_output: generate.max_output,
            priority: generate.engine_priority,
            continue_text: generate.continue_text,
            first_chunk: generate.first_chunk,
            timeout: generate.timeout,
        });
        let task = read_answer(ticket, answer, self.inputs.clone());
        self.start(ticket, Some(generate.url), task);
    }

    /// Resumes reading an attempt at chunk `from_chunk`.
    pub(crate) fn resume(&mut self, ticket: Ticket, url: String, from_chunk: u32) {
        let client = engine_client(&self.http, &url);
        let answer = client.resume(&request_id(ticket), from_chunk, RESUME_TIMEOUT);
        let task = read_resumed(ticket, answer, self.inputs.clone());
        self.start(ticket, Some(url), task);
    }

    pub(crate) fn invoke(&mut self, ticket: Ticket, url: &str, invocation: ToolInvocation) {
        let client = self.tool_client(url);
        let task = invoke_tool(ticket, client, invocation, self.inputs.clone());
        self.start(ticket, None, task);
    }

    pub(crate) fn query(&mut self, ticket: Ticket, url: &str, _tool: ToolName, key: String) {
        let client = self.tool_client(url);
        let task = query_tool(ticket, client, key, self.inputs.clone());
        self.start(ticket, None, task);
    }

    /// Stops reading an attempt's answer and, for an engine, cancels the attempt there.
    pub(crate) fn cancel(&mut self, ticket: Ticket) {
        let Some(running) = self.running.remove(&ticket) else {
            return;
        };
        running.task.abort();
        if let Some(url) = running.engine_url {
            let cancelling = engine_client(&self.http, &url).cancel(&request_id(ticket));
            actix_rt::spawn(async move {
                // A failure is harmless: an engine cancels a request whose answer is not read.
                let _ = cancelling.await;
            });
        }
    }

    /// Stops reading an attempt's answer without cancelling the attempt.
    pub(crate) fn detach(&mut self, ticket: Ticket) {
        if let Some(running) = self.running.remove(&ticket) {
            running.task.abort();
        }
    }

    fn tool_client(&self, url: &str) -> HttpToolClient {
        HttpToolClient::new(Endpoint::new(self.http.clone(), url, REQUEST_TIMEOUT))
    }

    fn start(
        &mut self,
        ticket: Ticket,
        engine_url: Option<String>,
        task: impl Future<Output = ()> + 'static,
    ) {
        let task = actix_rt::spawn(task);
        let running = Running { task, engine_url };
        if let Some(earlier) = self.running.insert(ticket, running) {
            earlier.task.abort();
        }
    }
}

pub(crate) fn engine_client(http: &HttpClient, url: &str) -> HttpEngineClient {
    HttpEngineClient::new(Endpoint::new(http.clone(), url, REQUEST_TIMEOUT))
}

async fn read_answer(ticket: Ticket, answer: AnswerStream, inputs: InputSender) {
    if let Err(error) = forward_answer(ticket, answer, &inputs).await {
        report_failure(ticket, attempt_failure(error), &inputs).await;
    }
}

/// Like [`read_answer`], but if the engine does not know the attempt, reports it as not sent: the
/// resume request does not start an attempt.
async fn read_resumed(ticket: Ticket, answer: AnswerStream, inputs: InputSender) {
    if let Err(error) = forward_answer(ticket, answer, &inputs).await {
        let failure = match error.is_not_found() {
            true => AttemptFailure::NotSent,
            false => attempt_failure(error),
        };
        report_failure(ticket, failure, &inputs).await;
    }
}

async fn forward_answer(
    ticket: Ticket,
    mut answer: AnswerStream,
    inputs: &InputSender,
) -> Result<(), BackendError> {
    let mut content = String::new();
    while let Some(item) = answer.next().await {
        match item? {
            AnswerItem::Chunk { index, text } => {
                content.push_str(&text);
                let chunk = Event::AttemptChunk {
                    ticket,
                    index,
                    text,
                };
                report(chunk, inputs).await;
            }
            AnswerItem::Finished(finish) => {
                let completed = Event::AttemptCompleted {
                    ticket,
                    content: std::mem::take(&mut content),
                    usage: finish.usage,
                };
                report(completed, inputs).await;
            }
        }
    }
    Ok(())
}

async fn invoke_tool(
    ticket: Ticket,
    client: HttpToolClient,
    invocation: ToolInvocation,
    inputs: InputSender,
) {
    match client.invoke(invocation).await {
        Ok(response) => {
            let content = response.result.to_string();
            report_tool_result(ticket, content, &inputs).await;
        }
        Err(error) => report_failure(ticket, attempt_failure(error), &inputs).await,
    }
}

/// Queries a tool until the outcome of an invocation is known. A tool that does not know the key may
/// have run the invocation and discarded the key, so that case counts as lost.
async fn query_tool(ticket: Ticket, client: HttpToolClient, key: String, inputs: InputSender) {
    loop {
        match client.status(&key).await {
            Ok(InvocationStatus::Completed { result }) => {
                return report_tool_result(ticket, result.to_string(), &inputs).await;
            }
            Ok(InvocationStatus::Failed { message }) => {
                let failure = AttemptFailure::Errored {
                    detail: message,
                    usage: Usage::default(),
                };
                return report_failure(ticket, failure, &inputs).await;
            }
            Ok(InvocationStatus::Running) => actix_rt::time::sleep(TOOL_QUERY_INTERVAL).await,
            Ok(InvocationStatus::Unknown) | Err(_) => {
                let failure = AttemptFailure::Lost {
                    reason: FailureReason::BackendError,
                    usage: Usage::default(),
                };
                return report_failure(ticket, failure, &inputs).await;
            }
        }
    }
}

async fn report_tool_result(ticket: Ticket, content: String, inputs: &InputSender) {
    let completed = Event::AttemptCompleted {
        ticket,
        content,
        usage: Usage::default(),
    };
    report(completed, inputs).await;
}

async fn report_failure(ticket: Ticket, failure: AttemptFailure, inputs: &InputSender) {
    report(Event::AttemptFailed { ticket, failure }, inputs).await;
}

async fn report(event: Event, inputs: &InputSender) {
    // The receiver is gone only if the node has stopped.
    let _ = inputs.send(Input::Event(Box::new(event))).await;
}

fn attempt_failure(error: BackendError) -> AttemptFailure {
    match error {
        BackendError::NotSent { .. } => AttemptFailure::NotSent,
        BackendError::Rejected { retry_after, .. } => AttemptFailure::Rejected { retry_after },
        BackendError::Lost { reason, usage, .. } => AttemptFailure::Lost {
            reason: match reason {
                LostReason::TimedOut => FailureReason::TimedOut,
                LostReason::Broken | LostReason::Malformed => FailureReason::BackendError,
            },
            usage,
        },
        BackendError::Errored { message, usage, .. } => AttemptFailure::Errored {
            detail: message,
            usage,
        },
    }
}
