//! Requests to an engine and its results.

use std::fmt;
use std::sync::Arc;

use elderworks_types::text::{BlockHash, TOKENS_PER_BLOCK, block_hashes, render_prompt};
use elderworks_types::{Message, ModelName, RunId, Tokens, Usage};

use crate::answer;

/// Id of a request at one engine. The caller chooses it, and uses it to resume or cancel the request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Arc<str>);

impl RequestId {
    /// Creates an id from a string.
    pub fn new(name: impl AsRef<str>) -> Self {
        Self(Arc::from(name.as_ref()))
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// A request to generate an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// The run that owns the blocks which the request adds to the cache.
    pub run: RunId,
    /// The model to use.
    pub model: ModelName,
    /// The prompt, with the source of its answer.
    pub work: Work,
    /// Maximum number of tokens of the answer.
    pub max_output: Tokens,
    /// Priority; requests with smaller values run first.
    pub priority: i64,
    /// Index of the first chunk of the answer.
    pub first_chunk: u32,
}

/// A prompt, as text or as sizes only.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// A prompt as text; the answer is a deterministic function of it.
    Text {
        /// The rendered prompt.
        prompt: String,
        /// Start of the answer that was generated before, or empty.
        continue_text: String,
    },
    /// Token counts and block hashes; no text is generated.
    Synthetic {
        /// Number of tokens in the prompt.
        prompt: Tokens,
        /// Number of tokens to generate.
        output: Tokens,
        /// Hashes of the full blocks of prompt and answer.
        chain: Arc<[BlockHash]>,
    },
}

impl Work {
    /// Renders messages as a text prompt.
    pub fn from_messages(messages: &[Message], continue_text: impl Into<String>) -> Self {
        Work::Text {
            prompt: render_prompt(messages),
            continue_text: continue_text.into(),
        }
    }

    pub(crate) fn plan(&self, max_output: Tokens) -> Plan {
        match self {
            Work::Text {
                prompt,
                continue_text,
            } => Plan::of_text(prompt, continue_text, max_output),
            Work::Synthetic {
                prompt,
                output,
                chain,
            } => Plan {
                prompt: prompt.0.max(1),
                output: output.0.min(max_output.0).max(1),
                chain: Arc::clone(chain),
                text: None,
            },
        }
    }
}

/// The work of a request in tokens.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// Number of prompt tokens.
    pub(crate) prompt: u64,
    /// Number of tokens to generate.
    pub(crate) output: u64,
    /// Hashes of the full blocks of prompt and answer.
    pub(crate) chain: Arc<[BlockHash]>,
    /// The text to generate; `None` without text.
    pub(crate) text: Option<String>,
}

impl Plan {
    fn of_text(prompt: &str, continue_text: &str, max_output: Tokens) -> Self {
        let full_answer = answer::answer_text(prompt, max_output);
        let rest = answer::continuation(&full_answer, continue_text);
        let sequence = answer::rendered_sequence(prompt, &full_answer);
        let prompt_bytes = sequence.len() - rest.len();
        Self {
            prompt: answer::tokens_of(prompt_bytes).max(1),
            output: answer::tokens_of(rest.len()).max(1),
            chain: block_hashes(&sequence).into(),
            text: Some(rest),
        }
    }

    /// Returns the number of blocks that prompt and answer need at most.
    pub(crate) fn max_blocks(&self) -> usize {
        let tokens = self.prompt + self.output;
        tokens.div_ceil(TOKENS_PER_BLOCK as u64) as usize
    }
}

/// The reason why a request was rejected. A rejected request is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// The queue is full.
    QueueFull,
    /// The model is not loaded.
    ModelNotLoaded,
    /// Prompt and answer exceed the engine's memory.
    TooLong,
    /// The engine is draining.
    NotServing,
    /// A request with this id is open, or its answer is retained.
    Duplicate,
}

/// A numbered chunk of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NumberedChunk {
    /// Index of the chunk, counted from the request's `first_chunk`.
    pub index: u32,
    /// The generated text.
    pub text: String,
}

/// The completion of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Id of the request.
    pub id: RequestId,
    /// Consumed tokens. `cached` counts the prompt tokens that were cached at the first admission.
    pub usage: Usage,
    /// Number of tokens prefilled, including those repeated after preemptions.
    pub prefilled: Tokens,
    /// Number of chunks sent, without those before the request's `first_chunk`.
    pub chunks: u32,
}

/// A result of [`Engine::advance`](crate::Engine::advance).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The first token of a request was generated.
    FirstToken {
        /// Id of the request.
        id: RequestId,
    },
    /// A chunk of an answer was generated; only for text requests.
    Chunk {
        /// Id of the request.
        id: RequestId,
        /// The chunk.
        chunk: NumberedChunk,
    },
    /// A request completed.
    Completed(Completion),
    /// An import completed; its blocks are cached.
    Imported {
        /// The run of the blocks.
        run: RunId,
    },
    /// A fenced command took effect.
    CommandDone {
        /// The command's fencing token.
        token: u64,
    },
}

/// The state of a resumed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resumed {
    /// Existing chunks from the requested one on; later ones follow as [`Output::Chunk`].
    pub chunks: Vec<NumberedChunk>,
    /// The completion, if the request has completed.
    pub completion: Option<Completion>,
}

/// Blocks of a run to transfer to another engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExportedBlocks {
    /// The run that owns the blocks.
    pub run: RunId,
    /// Hashes of the blocks, from the start of the chain.
    pub blocks: Vec<BlockHash>,
}
