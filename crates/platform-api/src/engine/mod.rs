//! A model engine: chat completions in the OpenAI form, with extensions, and the engine's own
//! resources.
//!
//! A streamed answer is a server-sent event stream. Each event's `id` is the chunk's number,
//! counted from the request's `first_chunk`, and its data a [`ChatChunk`]. The last chunk carries no
//! text but the finish reason and usage, and the event after it is `[DONE]`. A broken stream is resumed
//! at any chunk by `GET /v1/streams/{request_id}?from=N`. A request that nobody reads is cancelled
//! after [`RESUME_GRACE_MS`]; the stream of a cancelled request ends without a finish reason.

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
