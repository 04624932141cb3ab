//! Log service stand-in.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use actix_http::{Method, StatusCode};
use actix_rt::time::{Instant, sleep, sleep_until};
use elderworks_platform_api::ErrorCode;
use elderworks_platform_api::log::{
    AppendResponse, MAX_READ_BYTES, MAX_WAIT_MS, ReadQuery, ReadResponse,
};
use elderworks_platform_model::{AppendOutcome, LogFaults, LogModel, ReadOutcome};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::select;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::http::{ErrorResponse, HandlerResult, Incoming, Reply};
use crate::server::{self, Application, ServerHandle};
use crate::shared::{Shared, next_change};

/// Number of wake-up signals, shared by all streams.
const SIGNAL_BUCKETS: usize = 256;

/// Settings of a log stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Capacity for records, in bytes; appends beyond it are refused.
    pub capacity_bytes: u64,
    /// Seed of the random choice of responses to lose.
    pub seed: u64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            capacity_bytes: elderworks_platform_model::log::DEFAULT_CAPACITY_BYTES,
            seed: 0,
        }
    }
}

/// Serves an empty log. Must be called within an actix runtime.
///
/// # Errors
///
/// Returns an error if the server cannot be started on `listener`.
pub fn serve(listener: TcpListener, settings: LogSettings) -> io::Result<ServerHandle> {
    let state = LogState {
        model: LogModel::with_capacity(settings.capacity_bytes),
        rng: ChaCha8Rng::seed_from_u64(settings.seed),
    };
    let application = LogApplication {
        state: Shared::new(state),
        signals: Signals::default(),
    };
    server::serve("log", listener, Arc::new(application))
}

struct LogState {
    model: LogModel,
    rng: ChaCha8Rng,
}

/// Wakes readers that wait for records.
///
/// Streams are hashed to a fixed number of signals, so that an append wakes few readers of other
/// streams.
struct Signals {
    buckets: [watch::Sender<()>; SIGNAL_BUCKETS],
}

impl Default for Signals {
    fn default() -> Self {
        Self {
            buckets: std::array::from_fn(|_| watch::Sender::new(())),
        }
    }
}

impl Signals {
    fn for_stream(&self, stream: &str) -> &watch::Sender<()> {
        let bucket = xxh3_64(stream.as_bytes()) % SIGNAL_BUCKETS as u64;
        &self.buckets[bucket as usize]
    }

    fn wake(&self, stream: &str) {
        self.for_stream(stream).send_replace(());
    }

    fn wake_all(&self) {
        for bucket in &self.buckets {
            bucket.send_replace(());
        }
    }
}

struct LogApplication {
    state: Shared<LogState>,
    signals: Signals,
}

enum Resource<'a> {
    Records(&'a str),
    Faults,
}

fn resource<'a>(path: &[&'a str]) -> Option<Resource<'a>> {
    match path {
        ["v1", "streams", stream, "records"] if !stream.is_empty() => {
            Some(Resource::Records(stream))
        }
        ["v1", "faults"] => Some(Resource::Faults),
        _ => None,
    }
}

impl Application for LogApplication {
    async fn respond(&self, request: Incoming) -> HandlerResult {
        let path = request.path();
        let resource = resource(&path).ok_or_else(ErrorResponse::not_found)?;
        match (resource, &request.method) {
            (Resource::Records(stream), &Method::POST) => self.append(stream, &request).await,
            (Resource::Records(stream), &Method::GET) => self.read(stream, &request).await,
            (Resource::Faults, &Method::GET) => Ok(Reply::json(&self.state.lock().model.faults)),
            (Resource::Faults, &Method::PUT) => self.set_faults(&request),
            _ => Err(ErrorResponse::method_not_allowed()),
        }
    }
}

impl LogApplication {
    /// Appends a record, then applies the injected delay. A client that times out cannot tell
    /// whether the record was appended.
    async fn append(&self, stream: &str, request: &Incoming) -> HandlerResult {
        let data = request.body.to_vec();
        let outcome = self.append_now(stream, data);
        self.signals.wake(stream);
        self.delay().await;
        match outcome {
            AppendOutcome::Appended(offset) => Ok(Reply::json(&AppendResponse { offset })),
            AppendOutcome::AnswerLost(_) | AppendOutcome::Down => Ok(Reply::Disconnect),
            AppendOutcome::Full => Err(ErrorResponse::not_run(
                StatusCode::INSUFFICIENT_STORAGE,
                ErrorCode::Unavailable,
                "the log is full",
            )),
        }
    }

    fn append_now(&self, stream: &str, data: Vec<u8>) -> AppendOutcome {
        let mut guard = self.state.lock();
        let state = &mut *guard;
        state.model.request_append(stream, data, &mut state.rng)
    }

    async fn read(&self, stream: &str, request: &Incoming) -> HandlerResult {
        let query: ReadQuery = request.query()?;
        self.delay().await;
        let deadline = Instant::now() + Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS));
        let mut changes = self.signals.for_stream(stream).subscribe();
        loop {
            let Some(response) = self.read_now(stream, &query) else {
                return Ok(Reply::Disconnect);
            };
            if !response.records.is_empty() {
                return Ok(Reply::json(&response));
            }
            select! {
                () = next_change(&mut changes) => {}
                () = sleep_until(deadline) => return Ok(Reply::json(&response)),
            }
        }
    }

    fn read_now(&self, stream: &str, query: &ReadQuery) -> Option<ReadResponse> {
        let max_bytes = query.max_bytes.min(MAX_READ_BYTES);
        let state = self.state.lock();
        match state.model.request_read(stream, query.from, max_bytes) {
            ReadOutcome::Records(response) => Some(response),
            ReadOutcome::Down => None,
        }
    }

    async fn delay(&self) {
        let delay = self.state.lock().model.faults.delay();
        // Sleeping for zero would still wait for the next timer tick.
        if !delay.is_zero() {
            sleep(delay).await;
        }
    }

    fn set_faults(&self, request: &Incoming) -> HandlerResult {
        let faults: LogFaults = request.json()?;
        ::log::info!("log faults: {faults:?}");
        self.state.lock().model.faults = faults.clone();
        self.signals.wake_all();
        Ok(Reply::json(&faults))
    }
}
