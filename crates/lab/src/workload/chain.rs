//! Block hashes of a run's token sequence, without any text.

use elderworks_types::text::{BlockHash, TOKENS_PER_BLOCK};
use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::RunPlan;

/// Tokens in a block, as the plans count them.
pub const BLOCK_TOKENS: u64 = TOKENS_PER_BLOCK as u64;

/// Hashes of every full block of the run's whole sequence: its segments, prompts and answers.
///
/// Blocks of a segment are equal wherever the segments before it are equal too; all later blocks
/// belong to the run named by `identity` alone.
pub fn block_chain(plan: &RunPlan, identity: u64) -> Vec<BlockHash> {
    let mut chain = Vec::new();
    let mut parent = 0;
    for segment in &plan.segments {
        parent = extend(&mut chain, parent ^ segment.identity, segment.tokens);
    }
    let own: u64 = plan
        .turns
        .iter()
        .map(|turn| turn.prompt + turn.output)
        .sum();
    extend(&mut chain, parent ^ identity, own);
    chain
}

fn extend(chain: &mut Vec<BlockHash>, seed: u64, tokens: u64) -> BlockHash {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    for _ in 0..tokens / BLOCK_TOKENS {
        chain.push(random.random());
    }
    random.next_u64()
}
