//! The length of a prompt and the hashes of its leading blocks, as engines report them.

/// Mean number of bytes that one token of a prompt stands for.
const BYTES_PER_TOKEN: usize = 4;

/// Size of a prefix block, in bytes.
const BLOCK_BYTES: usize = 1_024;

/// Largest number of leading blocks that are hashed.
const BLOCK_LIMIT: usize = 64;

/// Estimates the length of a prompt, in tokens.
#[must_use]
pub fn token_estimate(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Hashes the leading blocks of a prompt; each hash covers all blocks up to its own.
#[must_use]
pub fn prefix_blocks(prompt: &str) -> Vec<u64> {
    let mut covered = 0;
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .take(BLOCK_LIMIT)
        .map(|block| {
            covered = xxhash_rust::xxh3::xxh3_64_with_seed(block, covered);
            covered
        })
        .collect()
}
