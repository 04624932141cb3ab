//! Open attempts, and their dispatch to placement and back ends.

use std::collections::{BTreeMap, BTreeSet};

use elderworks_execution::effect::{BackendRequest, DispatchHints};
use elderworks_execution::event::AttemptFailure;
use elderworks_execution::{self as execution};
use elderworks_placement::event::ReadyCall;
use elderworks_placement::{self as placement, Ticket};
use elderworks_types::text::{block_hashes, render_prompt, token_count};
use elderworks_types::{
    EngineId, FailureReason, Message, ModelName, PartitionId, Refusal, RefusalReason, Tokens,
    ToolName, Usage,
};

use crate::core::NodeCore;
use crate::effect::Effect;

/// Maximum number of open attempts at one node; further ones are refused.
pub const MAX_ATTEMPTS: usize = 16_384;

/// Retry delay given to callers refused because of [`MAX_ATTEMPTS`].
pub const ATTEMPTS_RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(2);

/// Request of a model attempt, kept until placement has chosen an engine.
#[derive(Debug)]
pub(crate) struct ModelAttempt {
    pub(crate) model: ModelName,
    pub(crate) messages: Vec<Message>,
    pub(crate) continue_text: String,
    pub(crate) continue_chunks: u32,
    pub(crate) max_output: Tokens,
    pub(crate) timeout: std::time::Duration,
}

/// Location of an open attempt.
#[derive(Debug)]
pub(crate) enum AttemptState {
    /// Placement has not chosen an engine yet.
    Waiting(ModelAttempt),
    /// Sent to an engine that placement chose.
    AtEngine {
        engine: EngineId,
        first_chunk_seen: bool,
    },
    /// Resumed at the engine chosen by an earlier owner; unknown to placement.
    Resumed { engine: EngineId },
    /// Sent to a tool.
    AtTool,
}

/// An open attempt and its partition.
#[derive(Debug)]
pub(crate) struct AttemptRecord {
    pub(crate) partition: PartitionId,
    pub(crate) state: AttemptState,
}

/// All open attempts.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    pub(crate) open: BTreeMap<Ticket, AttemptRecord>,
}

impl Attempts {
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns the partitions with open attempts.
    pub(crate) fn partitions(&self) -> BTreeSet<PartitionId> {
        self.open.values().map(|record| record.partition).collect()
    }

    /// Returns the engines with open attempts.
    pub(crate) fn engines(&self) -> BTreeSet<EngineId> {
        let engines = self.open.values().filter_map(|record| match &record.state {
            AttemptState::AtEngine { engine, .. } | AttemptState::Resumed { engine } => {
                Some(engine.clone())
            }
            AttemptState::Waiting(_) | AttemptState::AtTool => None,
        });
        engines.collect()
    }

    fn insert(&mut self, ticket: Ticket, partition: PartitionId, state: AttemptState) {
        self.open.insert(ticket, AttemptRecord { partition, state });
    }
}

/// Request of a tool attempt.
#[derive(Debug)]
struct ToolAttempt {
    tool: ToolName,
    arguments: String,
    idempotency_key: String,
    timeout: std::time::Duration,
}

impl NodeCore {
    /// Passes a model attempt to placement, or sends a tool attempt to its tool.
    pub(crate) fn dispatch(
        &mut self,
        partition: PartitionId,
        ticket: Ticket,
        request: BackendRequest,
        hints: DispatchHints,
    ) {
        if self.attempts.len() >= MAX_ATTEMPTS {
            self.counters.attempts_overflow += 1;
            let refusal = Refusal {
                reason: RefusalReason::Overloaded,
                retry_after: Some(ATTEMPTS_RETRY_AFTER),
            };
            self.attempt_refused(partition, ticket, refusal);
            return;
        }
        self.counters.attempts_started += 1;
        match request {
            BackendRequest::Model {
                model,
                messages,
                continue_text,
                continue_chunks,
                max_output,
            } => {
                let attempt = ModelAttempt {
                    model,
                    messages,
                    continue_text,
                    continue_chunks,
                    max_output,
                    timeout: hints.timeout,
                };
                self.dispatch_model(partition, ticket, attempt, hints);
            }
            BackendRequest::Tool {
                tool,
                arguments,
                idempotency_key,
            } => {
                let attempt = ToolAttempt {
                    tool,
                    arguments,
                    idempotency_key,
                    timeout: hints.timeout,
                };
                self.dispatch_tool(partition, ticket, attempt);
            }
        }
    }

    fn dispatch_model(
        &mut self,
        partition: PartitionId,
        ticket: Ticket,
        attempt: ModelAttempt,
        hints: DispatchHints,
    ) {
        let mut prompt = render_prompt(&attempt.messages);
        prompt.push_str(&attempt.continue_text);
        let ready = ReadyCall {
            ticket,
            model: attempt.model.clone(),
            blocks: block_hashes(&prompt),
            prompt: token_count(&prompt),
            max_output: attempt.max_output,
            tenant: hints.tenant,
            program: hints.program,
            run_started: hints.run_started,
            attained: hints.attained,
            turns: hints.turns,
            run_deadline: hints.run_deadline,
            call_deadline: hints.call_deadline,
            priority: hints.priority,
            parent: hints.parent,
        };
        self.attempts
            .insert(ticket, partition, AttemptState::Waiting(attempt));
        self.agenda
            .placement(placement::Event::CallReady(Box::new(ready)));
    }

    fn dispatch_tool(&mut self, partition: PartitionId, ticket: Ticket, attempt: ToolAttempt) {
        let Some(service) = self.control.tool_terms(&attempt.tool) else {
            let refusal = Refusal {
                reason: RefusalReason::NoBackend,
                retry_after: None,
            };
            self.attempt_refused(partition, ticket, refusal);
            return;
        };
        let url = service.url.to_owned();
        let note = format!("tool {} at {url}", attempt.tool);
        self.attempts
            .insert(ticket, partition, AttemptState::AtTool);
        self.agenda.partition(
            partition,
            execution::Event::AttemptPlaced {
                call: ticket.call,
                attempt: ticket.attempt,
                engine: None,
                note,
            },
        );
        self.agenda.effect(Effect::InvokeTool {
            ticket,
            tool: attempt.tool,
            url,
            arguments: attempt.arguments,
            idempotency_key: attempt.idempotency_key,
            timeout: attempt.timeout,
        });
    }

    /// Resumes an attempt of an earlier owner at its engine.
    pub(crate) fn resume(
        &mut self,
        partition: PartitionId,
        ticket: Ticket,
        engine: EngineId,
        from_chunk: u32,
    ) {
        let Some(url) = self.engines.url(&engine).map(str::to_owned) else {
            self.fail_attempt(partition, ticket, AttemptFailure::NotSent);
            return;
        };
        let state = AttemptState::Resumed {
            engine: engine.clone(),
        };
        self.attempts.insert(ticket, partition, state);
        self.agenda.effect(Effect::ResumeStream {
            ticket,
            engine,
            url,
            from_chunk,
        });
    }

    /// Asks a tool for the result of an invocation by an earlier owner.
    pub(crate) fn query_tool(
        &mut self,
        partition: PartitionId,
        ticket: Ticket,
        tool: ToolName,
        idempotency_key: String,
    ) {
        let Some(service) = self.control.tool_terms(&tool) else {
            let failure = AttemptFailure::Lost {
                reason: FailureReason::BackendError,
                usage: Usage::default(),
            };
            self.fail_attempt(partition, ticket, failure);
            return;
        };
        let url = service.url.to_owned();
        self.attempts
            .insert(ticket, partition, AttemptState::AtTool);
        self.agenda.effect(Effect::QueryTool {
            ticket,
            tool,
            url,
            idempotency_key,
        });
    }

    /// Releases the requests to back ends, except those of partitions whose stream has unread records: one
    /// of them may be another node's claim of the partition. After a pause, a node reads the record that
    /// permits a request before it reads such a claim.
    pub(crate) fn send_permitted_requests(&mut self) {
        let mut requests = std::mem::take(&mut self.withheld_requests);
        requests.extend(self.agenda.take_requests());
        for request in requests {
            let attempt = self.attempts.open.get(&request.ticket);
            match attempt.map(|attempt| attempt.partition) {
                Some(partition) if self.is_behind(partition) => {
                    self.withheld_requests.push(request)
                }
                Some(_) => self.agenda.effect(request.effect),
                // Cancelled or detached before it was sent.
                None => {}
            }
        }
    }

    /// Returns whether the partition's stream has, or may have, unread records.
    pub(crate) fn is_behind(&self, partition: PartitionId) -> bool {
        let stream = self.streams.partitions.get(&partition);
        stream.is_some_and(|stream| !stream.caught_up())
    }

    /// Removes a request that has not been sent yet and returns whether there was one.
    fn remove_unsent_request(&mut self, ticket: Ticket) -> bool {
        let decided = self.agenda.take_requests();
        self.withheld_requests.extend(decided);
        let before = self.withheld_requests.len();
        self.withheld_requests
            .retain(|request| request.ticket != ticket);
        self.withheld_requests.len() < before
    }

    /// Cancels an attempt in any state.
    pub(crate) fn cancel_attempt(&mut self, ticket: Ticket) {
        let Some(record) = self.attempts.open.remove(&ticket) else {
            return;
        };
        match record.state {
            AttemptState::Waiting(_) => {
                self.agenda
                    .placement(placement::Event::Cancelled { ticket });
            }
            AttemptState::AtEngine { .. } => {
                self.agenda
                    .placement(placement::Event::Cancelled { ticket });
                self.agenda.effect(Effect::CancelAttempt { ticket });
            }
            AttemptState::Resumed { .. } | AttemptState::AtTool => {
                self.agenda.effect(Effect::CancelAttempt { ticket });
            }
        }
    }

    /// Removes the attempts of a partition that this node no longer owns. Attempts at engines keep
    /// running, and the next owner resumes them. Requests that have not been sent are dropped: after a
    /// pause, the record that permits a request and the claim that voids it can be read in one step.
    pub(crate) fn detach_attempts(&mut self, partition: PartitionId) {
        let open = std::mem::take(&mut self.attempts.open);
        let (forgotten, kept): (BTreeMap<_, _>, BTreeMap<_, _>) = open
            .into_iter()
            .partition(|(_, record)| record.partition == partition);
        self.attempts.open = kept;
        for (ticket, record) in forgotten {
            let unsent = self.remove_unsent_request(ticket);
            match record.state {
                AttemptState::Waiting(_) => self
                    .agenda
                    .placement(placement::Event::Cancelled { ticket }),
                AttemptState::AtEngine { .. } => {
                    self.agenda
                        .placement(placement::Event::Cancelled { ticket });
                    self.agenda.effect(Effect::DetachAttempt { ticket });
                }
                AttemptState::AtTool if unsent => {}
                AttemptState::Resumed { .. } | AttemptState::AtTool => {
                    self.agenda.effect(Effect::DetachAttempt { ticket });
                }
            }
        }
    }
}
