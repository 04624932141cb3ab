//! Requests of nodes to tools, and their answers.

use std::time::Duration;

use elderworks_execution::event::AttemptFailure;
use elderworks_node_core::Event as NodeEvent;
use elderworks_placement::Ticket;
use elderworks_types::{FailureReason, ToolName, Usage};

use super::World;
use super::event::{Event, NodeStart, ToolRequest};
use crate::fault::CallPoint;
use crate::kernel::{Direction, Endpoint};
use crate::observation::Invocation;
use crate::platform::ToolAnswer;

/// Shortest time until the answer of a tool arrives.
const MIN_ANSWER_DELAY: Duration = Duration::from_millis(30);
/// Longest time until the answer of a tool arrives.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(400);

impl World {
    /// Sends a request from a node to a tool.
    pub(super) fn request_tool(
        &mut self,
        from: NodeStart,
        ticket: Ticket,
        tool: ToolName,
        request: ToolRequest,
    ) {
        let direction = Direction {
            from: Endpoint::Node(from.node),
            to: Endpoint::Tool(0),
        };
        let delay = self.network.delay(false, direction);
        let event = Event::ToTool {
            from,
            ticket,
            tool,
            request,
        };
        self.schedule(delay, event);
    }

    /// Handles a request that has arrived at a tool.
    pub(super) fn on_tool_request(
        &mut self,
        from: NodeStart,
        ticket: Ticket,
        name: ToolName,
        request: ToolRequest,
    ) {
        let Some(tool) = self.tools.iter().position(|tool| tool.name == name) else {
            self.fail_attempt(from, ticket, MIN_ANSWER_DELAY, AttemptFailure::NotSent);
            return;
        };
        match request {
            ToolRequest::Invoke {
                arguments,
                key,
                timeout,
            } => self.invoke(from, ticket, tool, arguments, key, timeout),
            ToolRequest::Query { key } => self.answer_query(from, ticket, tool, &key),
        }
    }

    fn invoke(
        &mut self,
        from: NodeStart,
        ticket: Ticket,
        tool: usize,
        arguments: String,
        key: String,
        timeout: Duration,
    ) {
        let answer = self.tools[tool].invoke(self.now, &key, &arguments);
        let content = match answer {
            ToolAnswer::Ran(result) => {
                self.record_invocation(from, ticket, tool, arguments, key, result.clone());
                result
            }
            ToolAnswer::Repeated(result) => result,
            ToolAnswer::NotRun => {
                self.fail_attempt(from, ticket, MIN_ANSWER_DELAY, AttemptFailure::NotSent);
                return;
            }
        };
        self.node_reached(CallPoint::Taken, from.node);
        if self.tools[tool].loses_answer(self.now, &mut self.platform_random) {
            self.fail_attempt(from, ticket, timeout, no_answer());
            return;
        }
        let delay = self
            .platform_random
            .duration(MIN_ANSWER_DELAY, MAX_ANSWER_DELAY);
        let input = NodeEvent::AttemptCompleted {
            ticket,
            content,
            usage: Usage::default(),
        };
        self.deliver_to_node_later(from, delay, input);
        self.node_reached(CallPoint::Answered, from.node);
    }

    fn record_invocation(
        &mut self,
        from: NodeStart,
        ticket: Ticket,
        tool: usize,
        arguments: String,
        key: String,
        result: String,
    ) {
        let name = self.tools[tool].name.clone();
        self.trace.line(
            self.now,
            format_args!(
                "tool {name}: runs {}#{} from node-{}",
                ticket.call, ticket.attempt, from.node
            ),
        );
        self.observations.invocations.push(Invocation {
            at: self.now,
            tool: name,
            ticket,
            arguments,
            key,
            result,
        });
    }

    fn answer_query(&mut self, from: NodeStart, ticket: Ticket, tool: usize, key: &str) {
        if self.tools[tool].is_hung(self.now) {
            self.fail_attempt(from, ticket, MAX_ANSWER_DELAY, no_answer());
            return;
        }
        let Some(content) = self.tools[tool].query(self.now, key) else {
            self.fail_attempt(from, ticket, MIN_ANSWER_DELAY, no_answer());
            return;
        };
        let input = NodeEvent::AttemptCompleted {
            ticket,
            content,
            usage: Usage::default(),
        };
        self.deliver_to_node_later(from, MIN_ANSWER_DELAY, input);
    }
}

fn no_answer() -> AttemptFailure {
    AttemptFailure::Lost {
        reason: FailureReason::TimedOut,
        usage: Usage::default(),
    }
}
