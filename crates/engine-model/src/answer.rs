//! Answers of the text mode: a deterministic function of the prompt.

use elderworks_types::Tokens;
use elderworks_types::text::BYTES_PER_TOKEN;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

/// Opens the assistant's turn in the rendered sequence, as `types::text::render_prompt` does.
const ASSISTANT_MARKER: &str = "<|assistant|>";

const SHORTEST_ANSWER_TOKENS: u64 = 24;
const LONGEST_ANSWER_TOKENS: u64 = 160;

/// Words of which answers are made.
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

/// The whole answer to a rendered prompt, of at most `max_output` tokens.
pub fn answer_text(prompt: &str, max_output: Tokens) -> String {
    let mut random = ChaCha8Rng::seed_from_u64(xxh3_64(prompt.as_bytes()));
    let tokens = random.random_range(SHORTEST_ANSWER_TOKENS..=LONGEST_ANSWER_TOKENS);
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

/// What is left of `whole` after `continue_text`, by length.
pub fn continuation(whole: &str, continue_text: &str) -> String {
    whole
        .get(continue_text.len()..)
        .unwrap_or_default()
        .to_owned()
}

/// Prompt and answer as one sequence; a prompt that repeats both as history begins with it.
pub fn rendered_sequence(prompt: &str, answer: &str) -> String {
    format!("{prompt}{ASSISTANT_MARKER}{answer}")
}

/// Tokens that so many bytes count as, rounded up.
pub fn tokens_of(bytes: usize) -> u64 {
    bytes.div_ceil(BYTES_PER_TOKEN) as u64
}
