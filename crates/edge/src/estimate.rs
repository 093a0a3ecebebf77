//! Estimate of a prompt's number of tokens, and hashes of its prefix.
//!
//! Both are computed without the model's tokenizer.

use crate::call::PrefixHash;
use sha2::{Digest, Sha256};
use wire::Tokens;

/// Average number of ASCII bytes in a token of prose.
const ASCII_BYTES_PER_TOKEN: usize = 4;
/// Length of a hashed block, about 256 tokens.
const BLOCK_BYTES: usize = 1024;
/// Largest number of hashed blocks. Prompts that differ only after the first 16 KiB are similar
/// enough to be placed on the same engines.
const MAX_BLOCKS: usize = 16;

/// Estimates the number of tokens of a text: one for 4 ASCII bytes and one for any other character.
pub(crate) fn token_count(text: &str) -> Tokens {
    let ascii = count_ascii(text.as_bytes());
    let other_chars = text.chars().count() - ascii;
    (ascii.div_ceil(ASCII_BYTES_PER_TOKEN) + other_chars) as Tokens
}

/// Counts ASCII bytes in chunks whose count fits a `u8`, which lets the compiler emit vector code.
fn count_ascii(bytes: &[u8]) -> usize {
    let count = |chunk: &[u8]| chunk.iter().map(|b| u8::from(b.is_ascii())).sum::<u8>();
    bytes.chunks(usize::from(u8::MAX)).map(|chunk| usize::from(count(chunk))).sum()
}

/// Hashes the first full blocks of the concatenated texts; each hash covers the prompt from its
/// start to the end of a block. A partial last block is hashed only if there is no full one.
pub(crate) fn prefix_hashes<'a>(texts: impl Iterator<Item = &'a str>) -> Vec<PrefixHash> {
    let mut prefix = Vec::with_capacity(BLOCK_BYTES * MAX_BLOCKS);
    for text in texts {
        let remaining_bytes = BLOCK_BYTES * MAX_BLOCKS - prefix.len();
        prefix.extend_from_slice(&text.as_bytes()[..text.len().min(remaining_bytes)]);
        // Separator: the same bytes divided differently into texts are a different prompt.
        if prefix.len() < BLOCK_BYTES * MAX_BLOCKS {
            prefix.push(0);
        }
    }
    let blocks = prefix.chunks_exact(BLOCK_BYTES);
    if blocks.len() == 0 {
        return vec![truncated_digest(Sha256::new().chain_update(&prefix))];
    }
    let mut hasher = Sha256::new();
    blocks
        .map(|block| {
            hasher.update(block);
            truncated_digest(hasher.clone())
        })
        .collect()
}

/// First 8 bytes of the digest, big-endian.
fn truncated_digest(hasher: Sha256) -> PrefixHash {
    let digest = hasher.finalize();
    digest.iter().take(8).fold(0, |hash, b| hash << 8 | u64::from(*b))
}
