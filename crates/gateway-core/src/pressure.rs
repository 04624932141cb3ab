//! Load shedding when the memory buffered for callers, workers and peers runs out.
//!
//! Memory may be exhausted by callers that stop reading, workers that send faster than callers
//! read, or many large request bodies. Running work has precedence: request bodies are refused
//! before new streams, and new streams before running ones are aborted. A running stream is aborted
//! only if its caller has stopped reading.

use std::time::Duration;

/// Purpose of buffered memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BufferKind {
    /// Request bodies as received.
    Bodies,
    /// Response data that callers have not read yet.
    Callers,
    /// Worker responses that are being collected.
    Answers,
    /// Output of turns that will be stored.
    KeptTurns,
    /// Request bodies with the preceding conversation prepended.
    Conversations,
    /// Messages that other nodes have not received yet.
    Peers,
}

impl BufferKind {
    /// All purposes.
    pub const ALL: [Self; 6] = [
        Self::Bodies,
        Self::Callers,
        Self::Answers,
        Self::KeptTurns,
        Self::Conversations,
        Self::Peers,
    ];

    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Bodies => "bodies",
            Self::Callers => "callers",
            Self::Answers => "answers",
            Self::KeptTurns => "kept_turns",
            Self::Conversations => "conversations",
            Self::Peers => "peers",
        }
    }
}

/// Memory pressure of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Pressure {
    /// No restrictions apply.
    Normal,
    /// New request bodies are refused.
    NoNewBodies,
    /// New streams are refused as well.
    NoNewStreams,
    /// Reading from workers is paused, and a stream whose caller does not read is aborted.
    Full,
}

/// Maximum bytes of all request bodies on any machine.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Maximum percentage of the process's memory for request bodies. Each body is copied once more
/// when it is sent to a worker.
const BODIES_PERCENT: usize = 20;

/// Percentage of the process's memory from which request bodies are refused. The memory up to
/// [`FULL_PERCENT`] remains for streams, the rest for the process itself and its tables.
const NO_NEW_BODIES_PERCENT: usize = 25;

/// Percentage of the process's memory from which new streams are refused, so that running ones can
/// buffer their events.
const NO_NEW_STREAMS_PERCENT: usize = 32;

/// Percentage of the process's memory from which buffered data must be reduced.
const FULL_PERCENT: usize = 40;

/// Thresholds of buffered memory, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryThresholds {
    /// Maximum for request bodies.
    pub bodies: usize,
    /// Total from which request bodies are refused.
    pub no_new_bodies: usize,
    /// Total from which new streams are refused.
    pub no_new_streams: usize,
    /// Total from which streams whose callers do not read are aborted.
    pub full: usize,
}

impl MemoryThresholds {
    /// Returns the thresholds for a process with a memory limit of `process_bytes`.
    pub fn of(process_bytes: usize) -> Self {
        let percent = |percentage: usize| process_bytes / 100 * percentage;
        Self {
            bodies: percent(BODIES_PERCENT).min(MAX_BODY_BYTES),
            no_new_bodies: percent(NO_NEW_BODIES_PERCENT),
            no_new_streams: percent(NO_NEW_STREAMS_PERCENT),
            full: percent(FULL_PERCENT),
        }
    }

    /// Returns the pressure with `held` buffered bytes.
    pub fn pressure(&self, held: usize) -> Pressure {
        if held >= self.full {
            Pressure::Full
        } else if held >= self.no_new_streams {
            Pressure::NoNewStreams
        } else if held >= self.no_new_bodies {
            Pressure::NoNewBodies
        } else {
            Pressure::Normal
        }
    }

    /// Returns whether request bodies may use `more` bytes in addition to `bodies` of the total
    /// `held` bytes.
    pub fn takes_body(&self, bodies: usize, held: usize, more: usize) -> bool {
        bodies + more <= self.bodies && self.pressure(held + more) == Pressure::Normal
    }

    /// Returns whether another stream may start.
    pub fn takes_stream(&self, held: usize) -> bool {
        self.pressure(held) < Pressure::NoNewStreams
    }
}

/// Bytes of a collected response that are read regardless of pressure, so that small responses
/// always complete.
const SMALL_RESPONSE_BYTES: usize = 64 * 1024;

/// Returns whether to read more of a response that is collected before it is forwarded.
pub fn should_read_answer(collected: usize, pressure: Pressure) -> bool {
    collected < SMALL_RESPONSE_BYTES || pressure < Pressure::Full
}

/// Returns whether to read more of a stream from its worker while `unsent` bytes are buffered for
/// its caller. `buffer` is the maximum per stream. With 0, the worker waits for the caller.
pub fn should_read_stream(unsent: usize, buffer: usize, pressure: Pressure) -> bool {
    unsent == 0 || (unsent < buffer && pressure < Pressure::Full)
}

/// Maximum time for which a caller may read nothing while its worker waits. Callers that are still
/// there pause for much less, and workers abort responses that are not read for some seconds.
pub const MAX_STALL: Duration = Duration::from_secs(2);

/// Action for a stream whose worker waits for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallStep {
    /// Keep waiting.
    Wait,
    /// Release the worker. Another attempt resumes the stream once the caller has read the buffered
    /// data.
    ReleaseWorker,
    /// End the stream.
    GiveUp,
}

/// Returns the action for a stream whose caller has read nothing for `stalled`.
pub fn after_stall(stalled: Duration, is_resumable: bool) -> StallStep {
    if stalled < MAX_STALL {
        return StallStep::Wait;
    }
    match is_resumable {
        true => StallStep::ReleaseWorker,
        false => StallStep::GiveUp,
    }
}

/// Time without a read after which a caller counts as not reading when memory is full. Longer than
/// a packet retransmission takes.
const NOT_READING_TIMEOUT: Duration = Duration::from_millis(500);

/// Buffered data of one running stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamLoad {
    /// ID of the stream.
    pub id: u64,
    /// Bytes buffered for the caller.
    pub unsent: usize,
    /// Time since the caller last read, or since data became available if that was later.
    pub stalled: Duration,
}

/// Returns the stream to abort when memory is full: among those whose callers do not read, the one
/// with the most buffered bytes.
pub fn stream_to_abort(streams: impl IntoIterator<Item = StreamLoad>) -> Option<u64> {
    streams
        .into_iter()
        .filter(|stream| stream.unsent > 0 && stream.stalled >= NOT_READING_TIMEOUT)
        .max_by_key(|stream| (stream.unsent, stream.id))
        .map(|stream| stream.id)
}
