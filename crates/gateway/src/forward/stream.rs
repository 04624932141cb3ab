//! Forwarding of a worker's event stream, including its resumption after a failure.

use actix_http::header::CONTENT_TYPE;
use bytes::{BufMut, BytesMut};
use elderworks_gateway_core::events::EventSplitter;
use elderworks_gateway_core::pressure::BufferKind;
use elderworks_gateway_core::run_moves::Engine;
use elderworks_protocol::ledger::StoredTurn;

use super::attempts::Call;
use super::flow::{FlowStep, StreamFlow};
use super::worker_use::RunningResponse;
use super::{CallError, headers};
use crate::caller::{Caller, Progress};
use crate::memory::MemoryReservation;
use crate::reply::Refusal;
use crate::upstream::Target;

/// Media type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// Maximum size of an event in bytes; the stream of a worker that exceeds it counts as broken.
const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// Maximum size in bytes of a response that is not an event stream.
const MAX_OTHER_RESPONSE_BYTES: usize = 1024 * 1024;

/// State of a stream that is being forwarded.
#[derive(Debug)]
pub(super) struct ForwardedStream {
    pub(super) last_event_id: Option<String>,
    /// Data of the events so far, each followed by a line feed, if the turn is stored.
    output: BytesMut,
    /// Accounts for the memory of `output`.
    output_memory: MemoryReservation,
}

/// How a worker's part of a stream ended.
enum PartEnd {
    /// The stream is complete.
    Complete,
    /// The stream broke off.
    Broken(String),
    /// The worker was released before the end because the caller reads nothing.
    Released,
}

impl Call<'_> {
    /// Runs a request whose response is an event stream.
    pub(super) async fn run_stream(&mut self, caller: &mut Caller<'_>) -> Result<(), CallError> {
        self.refuse_if_short_of_memory()?;
        let mut forwarded = ForwardedStream {
            last_event_id: self.attributes.last_event_id.clone(),
            output: BytesMut::new(),
            output_memory: self.gateway.memory.reservation(BufferKind::KeptTurns),
        };
        let request = self.attributes.request_id.as_deref().unwrap_or_default();
        let mut flow = StreamFlow::new(
            self.gateway,
            request,
            self.may_resume(),
            self.migration_silence(),
        );
        let mut running = self
            .open_stream(caller, forwarded.last_event_id.clone(), None)
            .await?;
        loop {
            if !is_event_stream(&running) {
                return self.forward_other_response(caller, running).await;
            }
            if caller.progress() == Progress::None {
                let head = &running.response.head;
                let forwarded_headers = headers::end_to_end(&head.headers);
                caller.start_stream(head.status, &forwarded_headers).await?;
            }
            let part = self.forward_events(caller, &mut flow, &mut running, &mut forwarded);
            running = match part.await? {
                PartEnd::Complete => {
                    self.note_response(&running.worker_use.worker, running.response.head.status);
                    drop(running);
                    self.release_slot();
                    self.end_stream(caller, &mut flow, forwarded).await?;
                    self.note_served();
                    return Ok(());
                }
                PartEnd::Broken(reason) => {
                    let engine = into_engine(running);
                    self.log_failure(&engine.worker, &reason);
                    self.note_worker_failure(&engine.worker);
                    self.note_break(&Target::at(&engine)).await;
                    self.resume_broken(caller, engine, &forwarded).await?
                }
                PartEnd::Released => {
                    let engine = into_engine(running);
                    self.waiting_since = None;
                    self.silent_since = None;
                    flow.drain(caller).await?;
                    self.resume(caller, &engine, &forwarded).await?
                }
            };
        }
    }

    async fn forward_events(
        &mut self,
        caller: &mut Caller<'_>,
        flow: &mut StreamFlow<'_>,
        running: &mut RunningResponse,
        forwarded: &mut ForwardedStream,
    ) -> Result<PartEnd, CallError> {
        let stores_output = self.route.keeps_turns;
        let mut splitter = EventSplitter::default();
        let mut pending = self.gateway.memory.reservation(BufferKind::Answers);
        loop {
            let response = &mut running.response;
            let step = flow.next(caller, response, &mut self.waiting_since).await?;
            let chunk = match step {
                FlowStep::Chunk(chunk) => chunk,
                FlowStep::End if splitter.pending_bytes() == 0 => return Ok(PartEnd::Complete),
                FlowStep::End => return Ok(PartEnd::Broken("incomplete last event".to_owned())),
                FlowStep::Broken(reason) => return Ok(PartEnd::Broken(reason)),
                FlowStep::ReleaseWorker => return Ok(PartEnd::Released),
                FlowStep::Silent => {
                    let last_event_id = forwarded.last_event_id.as_deref();
                    if let Some(next) = self.migrate_silent(running, last_event_id).await? {
                        *running = next;
                        splitter = EventSplitter::default();
                    }
                    continue;
                }
            };
            self.count_response_bytes(&running.worker_use.worker, chunk.len());
            splitter.push(&chunk);
            let mut any_event = false;
            while let Some(event) = splitter.next_event() {
                any_event = true;
                if event.id.is_some() {
                    forwarded.last_event_id = event.id;
                }
                if stores_output {
                    forwarded.output.extend_from_slice(&event.data);
                    forwarded.output.put_u8(b'\n');
                    forwarded.output_memory.set(forwarded.output.len());
                }
                if let Some(permit) = &mut self.permit {
                    permit.note_event();
                }
                flow.push(caller, event.raw)?;
            }
            pending.set(splitter.pending_bytes());
            if splitter.pending_bytes() > MAX_EVENT_BYTES {
                return Ok(PartEnd::Broken("event is too large".to_owned()));
            }
            if any_event {
                self.note_stream_begun(running.worker_use.software);
                self.note_first_event();
                self.note_progress();
                let worker = &running.worker_use.worker;
                self.note_sign_of_life(worker, running.response.opened);
            }
        }
    }

    async fn end_stream(
        &mut self,
        caller: &mut Caller<'_>,
        flow: &mut StreamFlow<'_>,
        forwarded: ForwardedStream,
    ) -> Result<(), CallError> {
        let previous = self.previous_turn();
        if let Some(permit) = &mut self.permit {
            let kept = self.route.keeps_turns.then(|| StoredTurn {
                previous,
                input: permit.input(),
                output: forwarded.output.freeze(),
            });
            if !permit.finish(kept).await {
                return Err(CallError::Aborted(
                    "the end of the turn could not be made durable",
                ));
            }
        }
        caller.push_end()?;
        flow.drain(caller).await?;
        caller.note_stream_sent();
        Ok(())
    }

    /// Refuses a new stream under memory pressure: the remaining memory is reserved for streams in
    /// progress.
    fn refuse_if_short_of_memory(&self) -> Result<(), CallError> {
        let Some(not_run) = self.history.not_run() else {
            return Ok(());
        };
        if self.gateway.memory.accepts_stream() {
            return Ok(());
        }
        log::info!(
            request = self.attributes.request_id.as_deref().unwrap_or_default(),
            held = self.gateway.memory.held(), pressure:? = self.gateway.memory.pressure();
            "stream refused under memory pressure"
        );
        let reason = "no memory for another stream now";
        let refusal = Refusal::not_run(not_run, reason);
        Err(CallError::Refused(refusal))
    }

    fn previous_turn(&self) -> Option<String> {
        let previous = self.attributes.previous_turn.as_deref();
        previous.map(|turn| self.scoped_id(turn))
    }

    /// Forwards a response that is not an event stream, such as an error.
    async fn forward_other_response(
        &mut self,
        caller: &mut Caller<'_>,
        mut running: RunningResponse,
    ) -> Result<(), CallError> {
        if caller.progress() != Progress::None {
            return Err(CallError::Aborted("the stream could not be resumed"));
        }
        let body = match running.response.buffer_body(MAX_OTHER_RESPONSE_BYTES).await {
            Ok(body) => body,
            Err(broken) => {
                let target = Target::at(&running.engine());
                self.log_failure(&target.worker, &broken.to_string());
                self.note_break(&target).await;
                self.history.note_broken_answer(&target.worker);
                let reason = "the worker's answer broke off";
                return Err(CallError::Refused(Refusal::outcome_unknown(reason)));
            }
        };
        let head = &running.response.head;
        self.note_response(&running.worker_use.worker, head.status);
        let forwarded_headers = headers::end_to_end(&head.headers);
        caller
            .send_whole(head.status, &forwarded_headers, &body)
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

/// Returns the engine of an abandoned response and closes its connection.
fn into_engine(running: RunningResponse) -> Engine {
    running.engine()
}

pub(super) fn is_event_stream(running: &RunningResponse) -> bool {
    let head = &running.response.head;
    let media_type = head
        .headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    head.status.is_success() && media_type.starts_with(EVENT_STREAM)
}
