//! Counting tokens and hashing prompt prefixes.
//!
//! Engines publish their cache contents as chained block hashes. To compare a prompt with those
//! events, nodes compute the same hashes. The stand-in engines count one token per
//! [`BYTES_PER_TOKEN`] bytes of rendered prompt; a real deployment replaces this module by the
//! model's tokenizer.

use std::collections::{HashMap, HashSet};
use std::hash::{BuildHasherDefault, Hasher};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Message, Role, Tokens};

/// Bytes of rendered prompt counted as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Tokens in one block of an engine's prefix cache.
pub const TOKENS_PER_BLOCK: usize = 16;

/// Hash of one full block and everything before it.
pub type BlockHash = u64;

/// Tokens that `text` counts as, rounded up.
pub fn token_count(text: &str) -> Tokens {
    Tokens(text.len().div_ceil(BYTES_PER_TOKEN) as u64)
}

/// The prompt as an engine sees it.
pub fn render_prompt(messages: &[Message]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(role_marker(message.role));
        prompt.push_str(&message.content);
        prompt.push('\n');
    }
    prompt
}

fn role_marker(role: Role) -> &'static str {
    match role {
        Role::System => "<|system|>",
        Role::User => "<|user|>",
        Role::Assistant => "<|assistant|>",
        Role::Tool => "<|tool|>",
    }
}

/// Chained hashes of the full blocks of a rendered prompt; a trailing partial block has none.
pub fn block_hashes(prompt: &str) -> Vec<BlockHash> {
    let block_bytes = BYTES_PER_TOKEN * TOKENS_PER_BLOCK;
    let mut parent = 0;
    prompt
        .as_bytes()
        .chunks_exact(block_bytes)
        .map(|block| {
            parent = xxh3_64_with_seed(block, parent);
            parent
        })
        .collect()
}

/// A map by block hash.
pub type BlockMap<V> = HashMap<BlockHash, V, BuildHasherDefault<BlockHasher>>;

/// A set of block hashes.
pub type BlockSet = HashSet<BlockHash, BuildHasherDefault<BlockHasher>>;

/// Passes a block hash through: it is a hash already.
#[derive(Clone, Copy, Debug, Default)]
pub struct BlockHasher(u64);

impl Hasher for BlockHasher {
    fn write(&mut self, bytes: &[u8]) {
        self.0 = xxh3_64_with_seed(bytes, self.0);
    }

    fn write_u64(&mut self, hash: u64) {
        self.0 = hash;
    }

    fn finish(&self) -> u64 {
        self.0
    }
}
