//! Block hashes of planned runs, which have token counts but no text.

use elderworks_types::text::{BlockHash, TOKENS_PER_BLOCK};
use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::RunPlan;

/// Tokens per cache block.
pub const BLOCK_TOKENS: u64 = TOKENS_PER_BLOCK as u64;

/// Returns the hashes of all full blocks of a run's sequence: its segments, prompts and answers.
///
/// Two runs share the blocks of a segment if all segments up to and including it are equal. The
/// blocks after the segments are unique to the run with this `identity`.
pub fn run_block_hashes(plan: &RunPlan, identity: u64) -> Vec<BlockHash> {
    let mut chain = Vec::new();
    let mut parent = 0;
    for segment in &plan.segments {
        parent = extend(&mut chain, parent ^ segment.identity, segment.tokens);
    }
    let unshared_tokens: u64 = plan
        .turns
        .iter()
        .map(|turn| turn.prompt + turn.output)
        .sum();
    extend(&mut chain, parent ^ identity, unshared_tokens);
    chain
}

/// Appends the hashes of a segment; returns the seed for the next one.
fn extend(chain: &mut Vec<BlockHash>, seed: u64, tokens: u64) -> BlockHash {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    for _ in 0..tokens / BLOCK_TOKENS {
        chain.push(random.random());
    }
    random.next_u64()
}
