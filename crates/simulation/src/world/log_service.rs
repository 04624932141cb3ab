//! Requests of nodes to the log, and their answers.

use std::time::Duration;

use elderworks_node_core::Event as NodeEvent;
use elderworks_node_core::event::{NoAnswer, ReadRecords};
use elderworks_platform_model::AppendOutcome;
use elderworks_protocol::record::StreamName;
use elderworks_types::Offset;

use super::World;
use super::event::{Event, NodeStart};
use crate::fault::CallPoint;
use crate::kernel::{Direction, Endpoint};

/// Time that a node waits for an answer from the log, in addition to the wait time of a read.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time until a node notices that its connection was refused.
const REFUSED_DELAY: Duration = Duration::from_millis(5);

/// A pending read that waits for records.
#[derive(Clone, Debug)]
pub(crate) struct Waiter {
    from: NodeStart,
    stream: StreamName,
    offset: Offset,
}

impl World {
    /// Sends an append from a node to the log.
    pub(super) fn request_append(
        &mut self,
        from: NodeStart,
        stream: StreamName,
        token: u64,
        bytes: Vec<u8>,
    ) {
        if self.is_cut_from_log(from) {
            self.append_unanswered(from, token, CLIENT_TIMEOUT);
            return;
        }
        let delay = self.delay_to_log(from) + self.draw_log_delay();
        let event = Event::LogAppend {
            from,
            stream,
            token,
            bytes,
        };
        self.schedule(delay, event);
        if delay > CLIENT_TIMEOUT {
            self.append_unanswered(from, token, CLIENT_TIMEOUT);
        }
    }

    fn append_unanswered(&mut self, from: NodeStart, token: u64, after: Duration) {
        let result = Err(NoAnswer);
        self.deliver_to_node_later(from, after, NodeEvent::LogAppended { token, result });
    }

    /// Executes an append that has arrived at the log.
    pub(super) fn on_log_append(
        &mut self,
        from: NodeStart,
        stream: StreamName,
        token: u64,
        bytes: Vec<u8>,
    ) {
        let outcome = self
            .log
            .append(self.now, stream, bytes, &mut self.platform_random);
        match outcome {
            AppendOutcome::Down | AppendOutcome::Full => {
                self.append_unanswered(from, token, REFUSED_DELAY);
                return;
            }
            AppendOutcome::AnswerLost(offset) => {
                self.on_appended(from, stream, offset);
                self.append_unanswered(from, token, CLIENT_TIMEOUT);
            }
            AppendOutcome::Appended(offset) => {
                self.on_appended(from, stream, offset);
                let delay = self.delay_to_log(from);
                let result = Ok(offset);
                self.deliver_to_node_later(from, delay, NodeEvent::LogAppended { token, result });
            }
        }
        if matches!(stream, StreamName::Partition(_)) {
            self.node_reached(CallPoint::Journalled, from.node);
        }
    }

    fn on_appended(&mut self, from: NodeStart, stream: StreamName, offset: Offset) {
        self.trace.line(
            self.now,
            format_args!("log: node-{} appends {stream}@{offset}", from.node),
        );
        self.answer_waiters(stream);
    }

    /// Sends a read from a node to the log.
    pub(super) fn request_read(
        &mut self,
        from: NodeStart,
        stream: StreamName,
        offset: Offset,
        wait: Duration,
    ) {
        if self.is_cut_from_log(from) {
            let no_answer = read_event(stream, offset, Err(NoAnswer));
            self.deliver_to_node_later(from, wait + CLIENT_TIMEOUT, no_answer);
            return;
        }
        let delay = self.delay_to_log(from) + self.draw_log_delay();
        let event = Event::LogRead {
            from,
            stream,
            offset,
            wait,
        };
        self.schedule(delay, event);
    }

    /// Handles a read that has arrived at the log: answers it, or waits for records.
    pub(super) fn on_log_read(
        &mut self,
        from: NodeStart,
        stream: StreamName,
        offset: Offset,
        wait: Duration,
    ) {
        if self.log.is_down(self.now) {
            let no_answer = read_event(stream, offset, Err(NoAnswer));
            self.deliver_to_node_later(from, REFUSED_DELAY, no_answer);
            return;
        }
        if self.log.has_records(stream, offset) || wait.is_zero() {
            self.answer_read(from, stream, offset);
            return;
        }
        self.log_reads += 1;
        let waiter = Waiter {
            from,
            stream,
            offset,
        };
        self.log_waiters.insert(self.log_reads, waiter);
        let waiter = self.log_reads;
        self.schedule(wait, Event::LogReadTimeout { waiter });
    }

    /// Answers a waiting read, with no records if none have arrived.
    pub(super) fn on_log_read_timeout(&mut self, waiter: u64) {
        if let Some(waiter) = self.log_waiters.remove(&waiter) {
            self.answer_read(waiter.from, waiter.stream, waiter.offset);
        }
    }

    fn answer_waiters(&mut self, stream: StreamName) {
        let ready: Vec<u64> = self
            .log_waiters
            .iter()
            .filter(|(_, waiter)| waiter.stream == stream)
            .map(|(id, _)| *id)
            .collect();
        for id in ready {
            self.on_log_read_timeout(id);
        }
    }

    fn answer_read(&mut self, from: NodeStart, stream: StreamName, offset: Offset) {
        let result = if self.is_cut_from_log(from) {
            Err(NoAnswer)
        } else {
            self.log.read(self.now, stream, offset).ok_or(NoAnswer)
        };
        let delay = self.delay_to_log(from);
        self.deliver_to_node_later(from, delay, read_event(stream, offset, result));
    }

    fn draw_log_delay(&mut self) -> Duration {
        let max_delay = self.log.max_delay(self.now);
        self.platform_random.duration(Duration::ZERO, max_delay)
    }

    fn is_cut_from_log(&self, from: NodeStart) -> bool {
        let direction = Direction {
            from: Endpoint::Node(from.node),
            to: Endpoint::Log,
        };
        self.network.cut_until(direction, self.now).is_some()
    }

    fn delay_to_log(&mut self, from: NodeStart) -> Duration {
        let direction = Direction {
            from: Endpoint::Node(from.node),
            to: Endpoint::Log,
        };
        self.network.delay(false, direction)
    }
}

fn read_event(
    stream: StreamName,
    from: Offset,
    result: Result<ReadRecords, NoAnswer>,
) -> NodeEvent {
    NodeEvent::LogRead {
        stream,
        from,
        result,
    }
}
