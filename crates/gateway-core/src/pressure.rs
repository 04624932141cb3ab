//! What a node does when the memory that it holds for callers, workers and peers runs out.
//!
//! The load that it answers: callers that stop reading, workers that send fast, large bodies all at
//! once. What has begun goes first: bodies are refused before streams, new streams before running
//! ones end, and of these only one whose caller reads nothing.

use std::time::Duration;

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BufferKind {
    /// Bodies of requests, as they came.
    Bodies,
    /// Answers that callers have not taken yet.
    Callers,
    /// Answers of workers that are being collected.
    Answers,
    /// Output of turns that are to be kept.
    KeptTurns,
    /// Bodies that begin with a conversation.
    Conversations,
    /// Messages that other nodes have not taken yet.
    Peers,
}

impl BufferKind {
    /// All of them.
    pub const ALL: [Self; 6] = [
        Self::Bodies,
        Self::Callers,
        Self::Answers,
        Self::KeptTurns,
        Self::Conversations,
        Self::Peers,
    ];

    /// Its name in metrics.
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

/// How short of memory a node is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Pressure {
    /// There is room.
    Calm,
    /// Requests with further bodies are refused.
    NoNewBodies,
    /// New streams are refused too.
    NoNewStreams,
    /// Reading from workers pauses, and a stream that nobody reads is ended.
    Full,
}

/// Most bytes of all bodies at once, on whatever machine.
const MOST_BODIES: usize = 64 * 1024 * 1024;

/// Percent of the process's memory for bodies: each is held once more on its way to a worker.
const BODIES_PERCENT: usize = 20;

/// Percent from which bodies are refused. Running streams may still fill what is left up to the
/// last mark; the process itself and its tables need the rest.
const NO_NEW_BODIES_PERCENT: usize = 25;

/// Percent from which streams are refused: those that run need room for their events.
const NO_NEW_STREAMS_PERCENT: usize = 32;

/// Percent at which what is held must shrink.
const FULL_PERCENT: usize = 40;

/// Bytes at which each step is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryThresholds {
    /// Most bytes of bodies.
    pub bodies: usize,
    /// All that is held, from which bodies are refused.
    pub no_new_bodies: usize,
    /// The same for streams.
    pub no_new_streams: usize,
    /// The same for the end of what nobody reads.
    pub full: usize,
}

impl MemoryThresholds {
    /// For a process that is killed at so many bytes.
    pub fn of(process_bytes: usize) -> Self {
        let percent = |share: usize| process_bytes / 100 * share;
        Self {
            bodies: percent(BODIES_PERCENT).min(MOST_BODIES),
            no_new_bodies: percent(NO_NEW_BODIES_PERCENT),
            no_new_streams: percent(NO_NEW_STREAMS_PERCENT),
            full: percent(FULL_PERCENT),
        }
    }

    /// How short memory is with so many bytes held.
    pub fn pressure(&self, held: usize) -> Pressure {
        if held >= self.full {
            Pressure::Full
        } else if held >= self.no_new_streams {
            Pressure::NoNewStreams
        } else if held >= self.no_new_bodies {
            Pressure::NoNewBodies
        } else {
            Pressure::Calm
        }
    }

    /// Whether a body may take `more` bytes, with `bodies` of all `held` bytes taken by bodies.
    pub fn takes_body(&self, bodies: usize, held: usize, more: usize) -> bool {
        bodies + more <= self.bodies && self.pressure(held + more) == Pressure::Calm
    }

    /// Whether another stream may begin.
    pub fn takes_stream(&self, held: usize) -> bool {
        self.pressure(held) < Pressure::NoNewStreams
    }
}

/// Bytes that a collected answer holds before shortage pauses it, so that small ones always end.
const SMALL_ANSWER: usize = 64 * 1024;

/// Whether more of an answer that is passed on whole is read from its worker.
pub fn should_read_answer(collected: usize, pressure: Pressure) -> bool {
    collected < SMALL_ANSWER || pressure < Pressure::Full
}

/// Whether more of a stream is read from its worker, with `unsent` bytes left for its caller.
/// `buffer` is the room of one stream; without any, a worker waits for the caller.
pub fn should_read_stream(unsent: usize, buffer: usize, pressure: Pressure) -> bool {
    unsent == 0 || (unsent < buffer && pressure < Pressure::Full)
}

/// A caller that takes nothing for so long while its worker waits for it has left its stream: the
/// pauses that callers bear are far shorter, and workers cut answers off that stay unread for some
/// seconds.
pub const MAX_STALL: Duration = Duration::from_secs(2);

/// What becomes of a stream whose worker waits for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallStep {
    /// Both wait on.
    Wait,
    /// The worker is let go; another attempt goes on once the caller has read what is held.
    ReleaseWorker,
    /// The stream ends.
    GiveUp,
}

/// Decides on a stream whose caller has taken nothing for `stalled`.
pub fn after_stall(stalled: Duration, is_resumable: bool) -> StallStep {
    if stalled < MAX_STALL {
        return StallStep::Wait;
    }
    match is_resumable {
        true => StallStep::ReleaseWorker,
        false => StallStep::GiveUp,
    }
}

/// A caller that has taken nothing for so long counts as one that reads nothing when memory is
/// full; longer than a lost packet is repeated.
const READS_NOTHING: Duration = Duration::from_millis(500);

/// What one running stream holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamLoad {
    /// Names the stream.
    pub id: u64,
    /// Bytes for its caller.
    pub unsent: usize,
    /// Time since the caller took any, or since there was something to take.
    pub stalled: Duration,
}

/// The stream that is ended when memory is full: the one that holds most for a caller that reads
/// nothing.
pub fn stream_to_abort(streams: impl IntoIterator<Item = StreamLoad>) -> Option<u64> {
    streams
        .into_iter()
        .filter(|stream| stream.unsent > 0 && stream.stalled >= READS_NOTHING)
        .max_by_key(|stream| (stream.unsent, stream.id))
        .map(|stream| stream.id)
}
