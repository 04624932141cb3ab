//! A model engine: the OpenAI chat completions API with extensions, and interfaces for the engine's load,
//! memory and state.
//!
//! A streamed answer consists of server-sent events. The `id` of an event is the chunk's number, counted
//! from the request's `first_chunk`, and its data is a [`ChatChunk`]. The last chunk has no text, but
//! the finish reason and the usage; it is followed by an event with the data `[DONE]`. A broken stream
//! can be resumed at any chunk with `GET /v1/streams/{request_id}?from=N`. A request without a reader is
//! cancelled after [`RESUME_GRACE_MS`]. The stream of a cancelled request ends without a finish reason.

mod chat;
mod command;
mod memory;

pub use chat::{
    CancelResponse, ChatChunk, ChatCompletion, ChatRequest, ChatUsage, ChunkChoice,
    CompletionChoice, DONE_MARKER, Delta, FinishReason, PromptTokensDetails, RESUME_GRACE_MS,
    ResumeQuery,
};
pub use command::{Command, CommandResponse, EngineRole, EngineState, FencedCommand, ServingState};
pub use memory::{
    CacheChange, CacheEvent, CacheEventsQuery, CacheEventsResponse, EngineLoad, Holding,
    HoldingsResponse, ImportResponse, KvExport, MAX_CACHE_EVENTS, MAX_LEASE_MS, ReleaseResponse,
    RetentionRequest,
};
