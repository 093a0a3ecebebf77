//! Estimates of a prompt's tokens, and hashes of its prefix.

use crate::call::PrefixHash;
use sha2::{Digest, Sha256};
use wire::Tokens;

/// ASCII bytes of one token, on average over prose.
const ASCII_BYTES_PER_TOKEN: usize = 4;
/// Bytes of one block, about 256 tokens.
const BLOCK_BYTES: usize = 1024;
/// Blocks that are hashed. Prompts that differ only later share engines well enough.
const MAX_BLOCKS: usize = 16;

/// Estimates the tokens of a text: one for 4 ASCII bytes, one for any other character.
pub(crate) fn tokens(text: &str) -> Tokens {
    let ascii = count_ascii(text.as_bytes());
    let others = text.chars().count() - ascii;
    (ascii.div_ceil(ASCII_BYTES_PER_TOKEN) + others) as Tokens
}

/// Counts in chunks whose count fits a byte, which compiles to vector code.
fn count_ascii(bytes: &[u8]) -> usize {
    let count = |chunk: &[u8]| chunk.iter().map(|b| u8::from(b.is_ascii())).sum::<u8>();
    bytes.chunks(usize::from(u8::MAX)).map(|chunk| usize::from(count(chunk))).sum()
}

/// Hashes the first full blocks of the texts put together. The last, partial
/// block counts only if there is no full one.
pub(crate) fn prefix_hashes<'a>(texts: impl Iterator<Item = &'a str>) -> Vec<PrefixHash> {
    let mut start = Vec::with_capacity(BLOCK_BYTES * MAX_BLOCKS);
    for text in texts {
        let room = BLOCK_BYTES * MAX_BLOCKS - start.len();
        start.extend_from_slice(&text.as_bytes()[..text.len().min(room)]);
        // Parts joined otherwise are another prompt.
        if start.len() < BLOCK_BYTES * MAX_BLOCKS {
            start.push(0);
        }
    }
    let blocks = start.chunks_exact(BLOCK_BYTES);
    if blocks.len() == 0 {
        return vec![finish(Sha256::new().chain_update(&start))];
    }
    let mut hasher = Sha256::new();
    blocks
        .map(|block| {
            hasher.update(block);
            finish(hasher.clone())
        })
        .collect()
}

fn finish(hasher: Sha256) -> PrefixHash {
    let digest = hasher.finalize();
    digest.iter().take(8).fold(0, |hash, b| hash << 8 | u64::from(*b))
}
