//! What the gateway needs of the platform that it runs on. An adapter translates.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{Method, ResponseHead, Uri};
use bytes::Bytes;
use elderworks_gateway_core::call::CallAttributes;
use elderworks_gateway_core::config::ServingConfig;
use elderworks_gateway_core::engines::{
    EngineReport, MemoryEvents, MemoryListing, MoveOutcome, PromptSource, RunMove,
};
use elderworks_gateway_core::log_streams::Stream;
use elderworks_gateway_core::workers::WorkerRecord;
use elderworks_types::Offset;
use futures_util::future::LocalBoxFuture;

/// Why a call to the platform's log failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// Nothing was done.
    #[error("the log refused the call: {0}")]
    Unavailable(String),
    /// No answer came: the call may have been carried out, or may be later.
    #[error("no answer from the log: {0}")]
    Unknown(String),
    /// The stream does not end where the caller said; nothing was done.
    #[error("the stream ends at {end}")]
    Conflict {
        /// Where it ends.
        end: Offset,
    },
    /// Records at the asked offset are no longer kept.
    #[error("records before {first} are gone")]
    Gone {
        /// The first offset kept.
        first: Offset,
    },
}

/// How long a read may take and how much it may bring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadLimits {
    /// How long to wait for a record to come.
    pub wait: Duration,
    /// No answer within this time beyond the wait is [`StoreError::Unknown`].
    pub timeout: Duration,
    /// Most bytes of records, in steps of the platform's; `None` for as many as the platform sends.
    pub most_bytes: Option<usize>,
}

/// Records read from one stream.
#[derive(Clone, Debug, Default)]
pub struct ReadBatch {
    /// In order, from the asked offset on.
    pub records: Vec<StreamRecord>,
    /// Where the stream ended.
    pub end: Offset,
}

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamRecord {
    /// Its position.
    pub offset: Offset,
    /// Its key, in streams that have keys.
    pub key: Option<String>,
    /// Its content; empty in a keyed stream if the key was dropped.
    pub value: Bytes,
}

/// Some of the newest records of a keyed stream, one of each key, in the order of the keys.
#[derive(Clone, Debug, Default)]
pub struct NewestPage {
    /// Those that can be read.
    pub records: Vec<StreamRecord>,
    /// The last key of the page, behind which the next one begins; `None` if this is the last page.
    pub next_after: Option<String>,
    /// Where the stream ended before the page was made. What changes while pages are read lies
    /// behind the first page's end.
    pub end: Offset,
}

/// What a record of [`Stream::Configuration`] says.
#[derive(Clone, Debug, PartialEq)]
pub enum Publication {
    /// The configuration, whole.
    Configuration(ServingConfig),
    /// Whether the workers of a zone are to get nothing more.
    Evacuation {
        /// The zone.
        zone: String,
        /// Whether they are.
        is_on: bool,
    },
    /// Something that does not concern this system.
    Other,
}

/// A published entry that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct FormatError(pub String);

/// Headers that the gateway adds to a request for a worker.
#[derive(Clone, Debug)]
pub struct WorkerHeaders<'a> {
    /// The worker that must be the one to answer.
    pub worker_id: &'a str,
    /// Time left to the request.
    pub time_left: Duration,
    /// Rank among the requests that wait at an engine; 0 is the most urgent.
    pub priority: Option<u8>,
    /// The tenant whose request it is.
    pub tenant: Option<&'a str>,
    /// Last event passed on, if the request goes on with a stream.
    pub last_event_id: Option<&'a str>,
    /// Where an engine takes the prompt from.
    pub prompt_source: &'a PromptSource,
    /// The engine to which the run's memory is copied while it runs.
    pub backup_at: Option<SocketAddr>,
    /// How long an engine keeps what the request has read and made from giving way.
    pub pin: Option<Duration>,
}

/// Why a call to an engine's own interface has brought nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// Nothing was done.
    #[error("the engine refused the call: {0}")]
    Refused(String),
    /// No connection could be made: nothing was done, and nobody serves at the address or the way
    /// there is cut.
    #[error("the engine cannot be reached: {0}")]
    NotReached(String),
    /// No answer came in time: what was asked for may have been done.
    #[error("no answer from the engine: {0}")]
    Unknown(String),
    /// The answer cannot be read.
    #[error("the engine's answer cannot be read: {0}")]
    Format(String),
}

/// A call to the gateway's own addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointRequest {
    /// Is this node ready?
    Ready,
    /// Which nodes take requests?
    Resolve {
        /// Zone of the asker.
        zone: Option<String>,
    },
    /// Nothing that this system answers.
    Unknown,
}

/// The platform as the gateway sees it.
pub trait Platform {
    /// Appends records, all or none, if the stream ends at `at`. Returns the offset of the first.
    /// No answer within `timeout` is [`StoreError::Unknown`].
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

    /// Reads records from an offset on.
    fn read(
        &self,
        stream: Stream,
        from: Offset,
        limits: ReadLimits,
    ) -> LocalBoxFuture<'_, Result<ReadBatch, StoreError>>;

    /// Reads the newest record of each key behind `after`, or else from the first on.
    fn read_newest<'a>(
        &'a self,
        stream: Stream,
        after: Option<&'a str>,
    ) -> LocalBoxFuture<'a, Result<NewestPage, StoreError>>;

    /// What a record of [`Stream::Configuration`] publishes.
    fn parse_publication(&self, record: &StreamRecord) -> Result<Publication, FormatError>;

    /// The worker that a record of [`Stream::Workers`] describes.
    fn parse_worker(&self, record: &StreamRecord) -> Result<WorkerRecord, FormatError>;

    /// What a request's headers say of it.
    fn call_attributes(&self, headers: &HeaderMap) -> CallAttributes;

    /// Removes what only the system may tell workers, whatever the caller sent, and, where the
    /// configuration has tenants, the caller's key.
    fn remove_system_headers(&self, headers: &mut HeaderMap, has_tenants: bool);

    /// Sets the headers that a request for a worker bears beyond those of the caller.
    fn set_worker_headers(&self, headers: &mut HeaderMap, values: &WorkerHeaders<'_>);

    /// Whether an answer says that the worker did not run the request.
    fn was_not_run(&self, answer: &ResponseHead) -> bool;

    /// The request id that an answer bears.
    fn response_request_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// What a call to one of the gateway's own addresses asks.
    fn parse_endpoint_request(&self, method: &Method, uri: &Uri) -> EndpointRequest;

    /// Body of the answer to [`EndpointRequest::Resolve`]; JSON.
    fn resolve_response(&self, addresses: &[SocketAddr], valid_for: Duration) -> Bytes;

    /// What an engine reports of itself.
    fn engine_report(
        &self,
        engine: SocketAddr,
    ) -> LocalBoxFuture<'_, Result<EngineReport, EngineError>>;

    /// Changes of what an engine keeps, behind those that `since` (the last `next`) names. The
    /// engine holds the call for up to `wait` until there are any.
    fn memory_events(
        &self,
        engine: SocketAddr,
        since: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<MemoryEvents, EngineError>>;

    /// Everything that an engine keeps; holds the engine up.
    fn memory_listing(
        &self,
        engine: SocketAddr,
    ) -> LocalBoxFuture<'_, Result<MemoryListing, EngineError>>;

    /// Has a run's memory copied; answered once the copy is whole. No answer within `timeout` is
    /// [`EngineError::Unknown`].
    fn move_run<'a>(
        &'a self,
        engine: SocketAddr,
        wanted: &'a RunMove,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<MoveOutcome, EngineError>>;

    /// Frees a copy at the engine that it was made from, and at the one that holds it.
    fn free_copy<'a>(
        &'a self,
        engine: SocketAddr,
        handle: &'a str,
    ) -> LocalBoxFuture<'a, Result<(), EngineError>>;
}
