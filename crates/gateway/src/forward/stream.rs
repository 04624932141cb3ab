//! Passes a worker's stream of events on, and goes on with it at a worker if it breaks off.

use actix_http::header::CONTENT_TYPE;
use bytes::{BufMut, BytesMut};
use elderworks_gateway_core::attempt::AttemptFailure;
use elderworks_gateway_core::events::EventSplitter;
use elderworks_gateway_core::pressure::BufferKind;
use elderworks_gateway_core::run_moves::Engine;
use elderworks_protocol::ledger::KeptTurn;

use super::attempts::Call;
use super::flow::{Flow, Step};
use super::occupied::RunningAnswer;
use super::{CallError, headers};
use crate::caller::{Caller, Progress};
use crate::memory::MemoryReservation;
use crate::reply::Refusal;

/// Media type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// Largest event in bytes; a worker that sends more without ending it is taken to be broken.
const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// Largest answer that is no stream, in bytes.
const MAX_OTHER_ANSWER: usize = 1024 * 1024;

/// What has been passed on of a stream.
#[derive(Debug)]
pub(super) struct Passed {
    pub(super) last_event_id: Option<String>,
    pub(super) resumptions: u32,
    /// Data of the events so far with a line feed behind each, if the turn is to be kept.
    output: BytesMut,
    /// Counts the output.
    held: MemoryReservation,
}

/// How a worker's part of a stream ended.
enum PartEnd {
    /// The stream is whole.
    Whole,
    /// It broke off.
    Broken(String),
    /// The worker was let go before the end, since the caller reads nothing.
    LetGo,
}

impl Call<'_> {
    /// Runs a request whose answer is a stream.
    pub(super) async fn run_stream(&mut self, caller: &mut Caller<'_>) -> Result<(), CallError> {
        self.refuse_if_short_of_memory()?;
        let mut passed = Passed {
            last_event_id: self.attributes.last_event_id.clone(),
            resumptions: 0,
            output: BytesMut::new(),
            held: self.gateway.memory.reservation(BufferKind::KeptTurns),
        };
        let request = self.attributes.request_id.as_deref().unwrap_or_default();
        let mut flow = Flow::new(
            self.gateway,
            request,
            self.may_resume(),
            self.told_silence(),
        );
        let mut running = self
            .begin_stream(caller, passed.last_event_id.clone(), None)
            .await?;
        loop {
            if !is_event_stream(&running) {
                return self.pass_other_answer(caller, running).await;
            }
            if caller.progress() == Progress::None {
                let head = &running.answer.head;
                let passed_headers = headers::end_to_end(&head.headers);
                caller.start_stream(head.status, &passed_headers).await?;
            }
            let part = self.pass_events(caller, &mut flow, &mut running, &mut passed);
            running = match part.await? {
                PartEnd::Whole => {
                    self.note_answer(&running.occupied.worker, running.answer.head.status);
                    drop(running);
                    self.leave_place();
                    return self.end_stream(caller, &mut flow, passed).await;
                }
                PartEnd::Broken(reason) => {
                    let engine = engine_of(running);
                    self.log_failure(&engine.worker, &reason);
                    self.note_worker_failure(&engine.worker);
                    self.take_up_again(caller, engine, &mut passed).await?
                }
                PartEnd::LetGo => {
                    let worker = engine_of(running).worker;
                    self.waiting_since = None;
                    flow.drain(caller).await?;
                    self.resume(caller, &worker, &mut passed).await?
                }
            };
        }
    }

    async fn pass_events(
        &mut self,
        caller: &mut Caller<'_>,
        flow: &mut Flow<'_>,
        running: &mut RunningAnswer,
        passed: &mut Passed,
    ) -> Result<PartEnd, CallError> {
        let keeps_output = self.route.keeps_turns;
        let mut splitter = EventSplitter::default();
        let mut pending = self.gateway.memory.reservation(BufferKind::Answers);
        loop {
            let answer = &mut running.answer;
            let step = flow.next(caller, answer, &mut self.waiting_since).await?;
            let piece = match step {
                Step::Piece(piece) => piece,
                Step::End if splitter.pending_bytes() == 0 => return Ok(PartEnd::Whole),
                Step::End => return Ok(PartEnd::Broken("stream ends within an event".to_owned())),
                Step::Broken(reason) => return Ok(PartEnd::Broken(reason)),
                Step::ReleaseWorker => return Ok(PartEnd::LetGo),
                Step::Silent => {
                    let last_event_id = passed.last_event_id.as_deref();
                    if let Some(next) = self.leave_silent(running, last_event_id).await? {
                        *running = next;
                        splitter = EventSplitter::default();
                    }
                    continue;
                }
            };
            self.count_answer(&running.occupied.worker, piece.len());
            splitter.push(&piece);
            let mut any = false;
            while let Some(event) = splitter.next_event() {
                any = true;
                if event.id.is_some() {
                    passed.last_event_id = event.id;
                }
                if keeps_output {
                    passed.output.extend_from_slice(&event.data);
                    passed.output.put_u8(b'\n');
                    passed.held.set(passed.output.len());
                }
                if let Some(lease) = &mut self.lease {
                    lease.note_event();
                }
                flow.push(caller, event.raw)?;
            }
            pending.set(splitter.pending_bytes());
            if splitter.pending_bytes() > MAX_EVENT_BYTES {
                return Ok(PartEnd::Broken("an event never ends".to_owned()));
            }
            if any {
                self.note_first_event();
                self.note_progress();
            }
        }
    }

    async fn end_stream(
        &mut self,
        caller: &mut Caller<'_>,
        flow: &mut Flow<'_>,
        passed: Passed,
    ) -> Result<(), CallError> {
        let previous = self.previous_turn();
        if let Some(lease) = &mut self.lease {
            let kept = self.route.keeps_turns.then(|| KeptTurn {
                previous,
                input: lease.input(),
                output: passed.output.freeze(),
            });
            if !lease.finish(kept).await {
                return Err(CallError::Broken("the end of the turn is not durable"));
            }
        }
        caller.push_end()?;
        flow.drain(caller).await?;
        caller.note_stream_sent();
        Ok(())
    }

    /// Running streams need what memory is left.
    fn refuse_if_short_of_memory(&self) -> Result<(), CallError> {
        let Some(shown) = self.history.not_run() else {
            return Ok(());
        };
        if self.gateway.memory.accepts_stream() {
            return Ok(());
        }
        log::info!(
            request = self.attributes.request_id.as_deref().unwrap_or_default(),
            held = self.gateway.memory.held(), pressure:? = self.gateway.memory.pressure();
            "stream refused for want of memory"
        );
        let reason = "no memory for another stream now";
        let refusal = Refusal::not_run(shown, reason);
        Err(CallError::Refused(refusal))
    }

    fn previous_turn(&self) -> Option<String> {
        let previous = self.attributes.previous_turn.as_deref();
        previous.map(|turn| self.in_scope(turn))
    }

    /// An answer that is no stream: a failure, as the worker gave it.
    async fn pass_other_answer(
        &mut self,
        caller: &mut Caller<'_>,
        mut running: RunningAnswer,
    ) -> Result<(), CallError> {
        if caller.progress() != Progress::None {
            return Err(CallError::Broken("the stream could not be taken up again"));
        }
        let body = match running.answer.whole_body(MAX_OTHER_ANSWER).await {
            Ok(body) => body,
            Err(broken) => {
                let worker = running.occupied.worker.clone();
                self.log_failure(&worker, &broken.to_string());
                self.history
                    .after_failure(AttemptFailure::Unknown, false, 1);
                let reason = "the worker's answer broke off";
                return Err(CallError::Refused(Refusal::unknown(reason)));
            }
        };
        let head = &running.answer.head;
        self.note_answer(&running.occupied.worker, head.status);
        let passed_headers = headers::end_to_end(&head.headers);
        caller
            .send_whole(head.status, &passed_headers, &body)
            .await?;
        Ok(())
    }

    fn note_first_event(&self) {
        if self.milestones.note_first_event(self.received) {
            let took = self.received.elapsed().as_secs_f64();
            self.gateway.metrics.first_event_seconds.observe(took);
        }
    }
}

/// The engine of an answer that is given up; its connection is closed.
fn engine_of(running: RunningAnswer) -> Engine {
    running.engine()
}

pub(super) fn is_event_stream(running: &RunningAnswer) -> bool {
    let head = &running.answer.head;
    let media_type = head
        .headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    head.status.is_success() && media_type.starts_with(EVENT_STREAM)
}
