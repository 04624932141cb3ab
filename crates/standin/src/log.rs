//! The log service.

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

use crate::http::{Handled, Incoming, Refusal, Reply};
use crate::server::{self, Application, ServerHandle};
use crate::shared::{Shared, next_change};

/// Signals that all streams share.
const SIGNAL_BUCKETS: usize = 256;

/// How a log stand-in is set up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Bytes of records that it holds; appends beyond are refused.
    pub capacity_bytes: u64,
    /// Seed of the choices of which answers are lost.
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

/// Serves an empty log; must be called within an actix runtime.
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

/// Wakes readers that wait for records. Streams share a bounded number of signals, so that an
/// append wakes few readers of other streams.
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
    fn of(&self, stream: &str) -> &watch::Sender<()> {
        let bucket = xxh3_64(stream.as_bytes()) % SIGNAL_BUCKETS as u64;
        &self.buckets[bucket as usize]
    }

    fn wake(&self, stream: &str) {
        self.of(stream).send_replace(());
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
    async fn respond(&self, request: Incoming) -> Handled {
        let path = request.path();
        let resource = resource(&path).ok_or_else(Refusal::not_found)?;
        match (resource, &request.method) {
            (Resource::Records(stream), &Method::POST) => self.append(stream, &request).await,
            (Resource::Records(stream), &Method::GET) => self.read(stream, &request).await,
            (Resource::Faults, &Method::GET) => Ok(Reply::json(&self.state.lock().model.faults)),
            (Resource::Faults, &Method::PUT) => self.set_faults(&request),
            _ => Err(Refusal::method_not_allowed()),
        }
    }
}

impl LogApplication {
    /// Takes effect first and is slow afterwards: a client that gives up waiting cannot know.
    async fn append(&self, stream: &str, request: &Incoming) -> Handled {
        let data = request.body.to_vec();
        let outcome = self.append_now(stream, data);
        self.signals.wake(stream);
        self.delay().await;
        match outcome {
            AppendOutcome::Appended(offset) => Ok(Reply::json(&AppendResponse { offset })),
            AppendOutcome::AnswerLost(_) | AppendOutcome::Down => Ok(Reply::Disconnect),
            AppendOutcome::Full => Err(Refusal::not_run(
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

    async fn read(&self, stream: &str, request: &Incoming) -> Handled {
        let query: ReadQuery = request.query()?;
        self.delay().await;
        let deadline = Instant::now() + Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS));
        let mut changes = self.signals.of(stream).subscribe();
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
        // Even a sleep of no length costs a tick of the timer.
        if !delay.is_zero() {
            sleep(delay).await;
        }
    }

    fn set_faults(&self, request: &Incoming) -> Handled {
        let faults: LogFaults = request.json()?;
        ::log::info!("log faults: {faults:?}");
        self.state.lock().model.faults = faults.clone();
        self.signals.wake_all();
        Ok(Reply::json(&faults))
    }
}
