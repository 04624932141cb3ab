//! Generated answers of text requests, a deterministic function of the prompt.

use elderworks_types::Tokens;
use elderworks_types::text::BYTES_PER_TOKEN;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

/// Start of the assistant's message in a rendered sequence. It must match
/// `types::text::render_prompt`.
const ASSISTANT_MARKER: &str = "<|assistant|>";

const MIN_ANSWER_TOKENS: u64 = 24;
const MAX_ANSWER_TOKENS: u64 = 160;

/// Vocabulary of the answers.
const WORDS: [&str; 16] = [
    "the",
    "parcel",
    "boundary",
    "menu",
    "plan",
    "revised",
    "for",
    "north",
    "with",
    "resident",
    "corrected",
    "by",
    "declared",
    "area",
    "meal",
    "checked",
];

/// Returns the complete answer to a rendered prompt, of at most `max_output` tokens.
pub fn answer_text(prompt: &str, max_output: Tokens) -> String {
    let mut random = ChaCha8Rng::seed_from_u64(xxh3_64(prompt.as_bytes()));
    let tokens = random.random_range(MIN_ANSWER_TOKENS..=MAX_ANSWER_TOKENS);
    let tokens = usize::try_from(tokens.min(max_output.0.max(1))).unwrap_or(usize::MAX);
    let bytes = tokens.saturating_mul(BYTES_PER_TOKEN);
    let mut text = String::with_capacity(bytes);
    while text.len() < bytes {
        text.push_str(WORDS[random.random_range(0..WORDS.len())]);
        text.push(' ');
    }
    text.truncate(bytes);
    text
}

/// Returns the rest of `full_answer` after the first `continue_text.len()` bytes.
pub fn continuation(full_answer: &str, continue_text: &str) -> String {
    full_answer
        .get(continue_text.len()..)
        .unwrap_or_default()
        .to_owned()
}

/// Returns prompt and answer as one sequence. A later prompt with both in its history starts with it.
pub fn rendered_sequence(prompt: &str, answer: &str) -> String {
    format!("{prompt}{ASSISTANT_MARKER}{answer}")
}

/// Returns the number of tokens for a number of bytes, rounded up.
pub fn tokens_of(bytes: usize) -> u64 {
    bytes.div_ceil(BYTES_PER_TOKEN) as u64
}
