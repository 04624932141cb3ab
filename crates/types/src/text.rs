//! Counting tokens and hashing prompt prefixes.
//!
//! Engines publish the contents of their prefix cache as chained block hashes. Nodes compute the same
//! hashes to find out how much of a prompt an engine has cached. The stand-in engines count one token
//! per [`BYTES_PER_TOKEN`] bytes of rendered prompt; a real deployment replaces this module with the
//! model's tokenizer.

use std::collections::{HashMap, HashSet};
use std::hash::{BuildHasherDefault, Hasher};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Message, Role, Tokens};

/// Number of bytes of rendered prompt that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Number of tokens in one block of an engine's prefix cache.
pub const TOKENS_PER_BLOCK: usize = 16;

/// Hash of a full block and all blocks before it.
pub type BlockHash = u64;

/// Returns the number of tokens in `text`, rounded up.
pub fn token_count(text: &str) -> Tokens {
    Tokens(text.len().div_ceil(BYTES_PER_TOKEN) as u64)
}

/// Renders messages as the prompt text that engines process.
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

/// Returns the chained hashes of the full blocks of a rendered prompt. A trailing partial block has no
/// hash.
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

/// A map keyed by block hash.
pub type BlockMap<V> = HashMap<BlockHash, V, BuildHasherDefault<BlockHasher>>;

/// A set of block hashes.
pub type BlockSet = HashSet<BlockHash, BuildHasherDefault<BlockHasher>>;

/// A [`Hasher`] that returns block hashes unchanged, since they are already uniformly distributed.
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
