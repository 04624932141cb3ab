//! The interface between the gateway and the platform that it runs on, which an adapter implements.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{Method, ResponseHead, Uri};
use bytes::Bytes;
use elderworks_gateway_core::answers::AnswerHead;
use elderworks_gateway_core::call::CallAttributes;
use elderworks_gateway_core::config::ServingConfig;
use elderworks_gateway_core::engines::{
    EngineReport, MemoryEvents, MemoryListing, MoveOutcome, PromptSource, RunMove,
};
use elderworks_gateway_core::log_streams::Stream;
use elderworks_gateway_core::worker_ends::investigation::Finding;
use elderworks_gateway_core::workers::WorkerRecord;
use elderworks_types::Offset;
use futures_util::future::LocalBoxFuture;

/// The error of a call to the platform's log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The call was refused and had no effect.
    #[error("the log refused the call: {0}")]
    Unavailable(String),
    /// No response arrived: the call may have taken effect, or may do so later.
    #[error("no response from the log: {0}")]
    Unknown(String),
    /// The stream doesn't end at the expected offset; the call had no effect.
    #[error("the stream ends at offset {end}")]
    Conflict {
        /// End offset of the stream.
        end: Offset,
    },
    /// The records at the requested offset were deleted.
    #[error("records before offset {first} were deleted")]
    Gone {
        /// The first offset that still exists.
        first: Offset,
    },
}

/// Limits of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadLimits {
    /// How long the log waits for new records.
    pub wait: Duration,
    /// Time beyond `wait` after which a read without a response fails with [`StoreError::Unknown`].
    pub timeout: Duration,
    /// Maximum size of the returned records in bytes, rounded up to the platform's granularity;
    /// `None` for the platform's maximum.
    pub most_bytes: Option<usize>,
}

/// Records read from a stream.
#[derive(Clone, Debug, Default)]
pub struct ReadBatch {
    /// The records in order, starting at the requested offset.
    pub records: Vec<StreamRecord>,
    /// End offset of the stream at the time of the read.
    pub end: Offset,
}

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// Key of the record; `None` in streams without keys.
    pub key: Option<String>,
    /// Content of the record; empty in a keyed stream if the key was deleted.
    pub value: Bytes,
}

/// A page of the newest records of a keyed stream: one per key, in key order.
#[derive(Clone, Debug, Default)]
pub struct NewestPage {
    /// The records that could be read.
    pub records: Vec<StreamRecord>,
    /// The last key of the page, after which the next page starts; `None` if this is the last page.
    pub next_after: Option<String>,
    /// End offset of the stream before the page was built. Changes made while the pages are read
    /// have offsets of at least the first page's end.
    pub end: Offset,
}

/// Content of a record of [`Stream::Configuration`].
#[derive(Clone, Debug, PartialEq)]
pub enum Publication {
    /// A complete configuration.
    Configuration(ServingConfig),
    /// Whether a zone is evacuated: its workers get no new requests.
    Evacuation {
        /// Name of the zone.
        zone: String,
        /// Whether the zone is evacuated.
        is_on: bool,
    },
    /// Content that the gateway doesn't use.
    Other,
}

/// The error of a stream entry that can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct FormatError(pub String);

/// Headers that the gateway adds to a request for a worker.
#[derive(Clone, Debug)]
pub struct WorkerHeaders<'a> {
    /// Id of the worker that must handle the request.
    pub worker_id: &'a str,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Priority among the requests queued at an engine; 0 is the most urgent.
    pub priority: Option<u8>,
    /// The tenant that sent the request.
    pub tenant: Option<&'a str>,
    /// Id of the last event forwarded, if the request resumes a stream.
    pub last_event_id: Option<&'a str>,
    /// Where an engine gets the prompt's cached state from.
    pub prompt_source: &'a PromptSource,
    /// The engine to which the run's memory is copied while the run is in progress.
    pub backup_at: Option<SocketAddr>,
    /// How long an engine must keep the request's prompt and output in its cache.
    pub pin: Option<Duration>,
}

/// The error of a call to an engine's own interface.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// The call was refused and had no effect.
    #[error("the engine refused the call: {0}")]
    Refused(String),
    /// No connection could be made, so the call had no effect: nothing listens at the address, or
    /// the network path is interrupted.
    #[error("the engine cannot be reached: {0}")]
    NotReached(String),
    /// The call wasn't sent for any other reason, so it had no effect. The engine may be running.
    #[error("the call wasn't sent to the engine: {0}")]
    NotSent(String),
    /// No response arrived in time: the call may have taken effect.
    #[error("no response from the engine: {0}")]
    Unknown(String),
    /// The response can't be parsed.
    #[error("invalid response from the engine: {0}")]
    Format(String),
}

/// The question who listens at a worker's address.
#[derive(Clone, Copy, Debug)]
pub struct IdentityProbe<'a> {
    /// Id of the worker that should listen there.
    pub worker_id: &'a str,
    /// The address.
    pub address: SocketAddr,
    /// Path that answers without running anything.
    pub health_path: &'a str,
}

/// A request to one of the gateway's own endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointRequest {
    /// Asks whether this node is ready.
    Ready,
    /// Asks for the addresses of nodes that accept requests.
    Resolve {
        /// Zone of the client.
        zone: Option<String>,
    },
    /// Any other request.
    Unknown,
}

/// The platform that the gateway runs on.
pub trait Platform {
    /// Appends records atomically if the stream ends at `at`. Returns the offset of the first.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Conflict`] if the stream ends elsewhere, and with
    /// [`StoreError::Unknown`] if no response arrives within `timeout`.
    fn append(
        &self,
        stream: Stream,
        at: Offset,
        records: Vec<Bytes>,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<Offset, StoreError>>;

    /// Writes the newest value of a key in a keyed stream. Returns the record's offset.
    fn put<'a>(
        &'a self,
        stream: Stream,
        key: &'a str,
        value: Bytes,
    ) -> LocalBoxFuture<'a, Result<Offset, StoreError>>;

    /// Reads records starting at an offset.
    fn read(
        &self,
        stream: Stream,
        from: Offset,
        limits: ReadLimits,
    ) -> LocalBoxFuture<'_, Result<ReadBatch, StoreError>>;

    /// Reads a page of the newest record of each key, in key order, starting after the key `after`.
    fn read_newest<'a>(
        &'a self,
        stream: Stream,
        after: Option<&'a str>,
    ) -> LocalBoxFuture<'a, Result<NewestPage, StoreError>>;

    /// Parses a record of [`Stream::Configuration`].
    fn parse_publication(&self, record: &StreamRecord) -> Result<Publication, FormatError>;

    /// Parses a record of [`Stream::Workers`].
    fn parse_worker(&self, record: &StreamRecord) -> Result<WorkerRecord, FormatError>;

    /// Parses the headers of a request.
    fn call_attributes(&self, headers: &HeaderMap) -> CallAttributes;

    /// Removes the headers that only the system may send to workers, and, if the configuration has
    /// tenants, the caller's key.
    fn remove_system_headers(&self, headers: &mut HeaderMap, has_tenants: bool);

    /// Sets the headers that are added to a request for a worker.
    fn set_worker_headers(&self, headers: &mut HeaderMap, values: &WorkerHeaders<'_>);

    /// Returns what a response's head says about the request that it belongs to.
    fn answer_head<'a>(&self, response: &'a ResponseHead) -> AnswerHead<'a>;

    /// Parses a request to one of the gateway's own endpoints.
    fn parse_endpoint_request(&self, method: &Method, uri: &Uri) -> EndpointRequest;

    /// Returns the JSON body of the response to [`EndpointRequest::Resolve`].
    fn resolve_response(&self, addresses: &[SocketAddr], valid_for: Duration) -> Bytes;

    /// Finds out whether a worker still listens at its address.
    fn identify<'a>(&'a self, probe: &'a IdentityProbe<'a>) -> LocalBoxFuture<'a, Finding>;

    /// Returns an engine's report of its own state.
    fn engine_report(
        &self,
        engine: SocketAddr,
    ) -> LocalBoxFuture<'_, Result<EngineReport, EngineError>>;

    /// Returns the changes of an engine's cache contents after `since`, the `next` of the previous
    /// call. The engine holds the call for up to `wait` until there are any.
    fn memory_events(
        &self,
        engine: SocketAddr,
        since: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<MemoryEvents, EngineError>>;

    /// Returns an engine's complete cache contents. The call blocks the engine while it builds the
    /// list.
    fn memory_listing(
        &self,
        engine: SocketAddr,
    ) -> LocalBoxFuture<'_, Result<MemoryListing, EngineError>>;

    /// Requests a copy of a run's memory; returns once the copy is complete.
    ///
    /// # Errors
    ///
    /// Fails with [`EngineError::Unknown`] if no response arrives within `timeout`.
    fn move_run<'a>(
        &'a self,
        engine: SocketAddr,
        wanted: &'a RunMove,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<MoveOutcome, EngineError>>;

    /// Frees a copy at the engine that it was made from and at the engine that holds it.
    fn free_copy<'a>(
        &'a self,
        engine: SocketAddr,
        handle: &'a str,
    ) -> LocalBoxFuture<'a, Result<(), EngineError>>;
}
