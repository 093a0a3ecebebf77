//! A hash that never changes between builds, machines or releases.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a over all parts, with a final mix so that near names spread evenly.
///
/// Ownership depends on it, so all releases must agree on its values.
///
/// ```
/// use control::stable_hash;
///
/// assert_eq!(stable_hash(&["a", "b"]), stable_hash(&["a", "b"]));
/// assert_ne!(stable_hash(&["ab", ""]), stable_hash(&["a", "b"]));
/// ```
pub fn stable_hash(parts: &[&str]) -> u64 {
    let hash = parts
        .iter()
        .flat_map(|part| part.bytes().chain([0xff]))
        .fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    mix(hash)
}

/// The finalizer of splitmix64: every input bit reaches every output bit.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
