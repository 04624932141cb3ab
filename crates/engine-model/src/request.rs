//! What an engine is asked and what it answers.

use std::fmt;
use std::sync::Arc;

use elderworks_types::text::{BlockHash, TOKENS_PER_BLOCK, block_hashes, render_prompt};
use elderworks_types::{Message, ModelName, RunId, Tokens, Usage};

use crate::answer;

/// Names a request towards one engine; the caller chooses it and may resume or cancel by it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Arc<str>);

impl RequestId {
    /// Wraps a name.
    pub fn new(name: impl AsRef<str>) -> Self {
        Self(Arc::from(name.as_ref()))
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// A request to generate.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Names it.
    pub id: RequestId,
    /// The run that will own the blocks it leaves in the cache.
    pub run: RunId,
    /// The model.
    pub model: ModelName,
    /// Prompt and answer.
    pub work: Work,
    /// Most tokens to generate.
    pub max_output: Tokens,
    /// Smaller goes first.
    pub priority: i64,
    /// Number of the first chunk of the answer.
    pub first_chunk: u32,
}

/// The prompt, and how its answer comes about.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// A prompt in words; the answer is a function of it.
    Text {
        /// The rendered prompt.
        prompt: String,
        /// The beginning of the answer, if it was generated before.
        continue_text: String,
    },
    /// Only sizes and block hashes; no text is made.
    Synthetic {
        /// Tokens in the prompt.
        prompt: Tokens,
        /// Tokens that will be generated.
        output: Tokens,
        /// Hashes of the full blocks of the prompt followed by the answer.
        chain: Arc<[BlockHash]>,
    },
}

impl Work {
    /// A prompt of these messages.
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

/// A request's work in tokens.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) prompt: u64,
    pub(crate) output: u64,
    pub(crate) chain: Arc<[BlockHash]>,
    /// What is still to be generated, in text mode.
    pub(crate) text: Option<String>,
}

impl Plan {
    fn of_text(prompt: &str, continue_text: &str, max_output: Tokens) -> Self {
        let whole = answer::answer_text(prompt, max_output);
        let rest = answer::continuation(&whole, continue_text);
        let sequence = answer::rendered_sequence(prompt, &whole);
        let prompt_bytes = sequence.len() - rest.len();
        Self {
            prompt: answer::tokens_of(prompt_bytes).max(1),
            output: answer::tokens_of(rest.len()).max(1),
            chain: block_hashes(&sequence).into(),
            text: Some(rest),
        }
    }

    pub(crate) fn blocks_at_most(&self) -> usize {
        let tokens = self.prompt + self.output;
        tokens.div_ceil(TOKENS_PER_BLOCK as u64) as usize
    }
}

/// Why a request was not taken. A rejected request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// The queue is full.
    QueueFull,
    /// The model is not loaded.
    ModelNotLoaded,
    /// Prompt and answer do not fit into the engine's memory.
    TooLong,
    /// The engine's role does not take work.
    NotServing,
    /// A request of this id is open or remembered.
    Duplicate,
}

/// A numbered piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NumberedChunk {
    /// Its number; the first is the request's `first_chunk`.
    pub index: u32,
    /// The text.
    pub text: String,
}

/// The end of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Which request.
    pub id: RequestId,
    /// What it consumed. `cached` is what the cache held when the request first ran.
    pub usage: Usage,
    /// Tokens prefilled for it, those repeated after a preemption included.
    pub prefilled: Tokens,
    /// Chunks sent in all, counted from the request's `first_chunk`.
    pub chunks: u32,
}

/// Something that the engine did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The first token of a request was generated.
    FirstToken {
        /// Which request.
        id: RequestId,
    },
    /// A piece of an answer; only in text mode.
    Chunk {
        /// Of which request.
        id: RequestId,
        /// The piece.
        chunk: NumberedChunk,
    },
    /// A request ended.
    Completed(Completion),
    /// Imported blocks are in the cache.
    Imported {
        /// Of which run.
        run: RunId,
    },
    /// A fenced command took effect.
    CommandDone {
        /// Its fencing token.
        token: u64,
    },
}

/// The state of a request that is taken up again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resumed {
    /// Chunks from the asked one on that exist already; later ones follow as [`Output::Chunk`].
    pub chunks: Vec<NumberedChunk>,
    /// Its completion, if it has ended.
    pub completion: Option<Completion>,
}

/// Blocks of a run on their way to another engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExportedBlocks {
    /// Whose.
    pub run: RunId,
    /// From the start of the chain on.
    pub blocks: Vec<BlockHash>,
}
