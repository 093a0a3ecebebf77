//! A hash function whose values are the same in all builds, on all hosts and in
//! all releases.

/// Initial value of 64-bit FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Multiplier of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes all parts with 64-bit FNV-1a, followed by a mixing step so that similar
/// names spread evenly.
///
/// Each part is followed by the byte `0xff`, which UTF-8 never contains, so that
/// different splits of the same text have different hashes.
///
/// The owner of an upstream and the relay of a data centre are chosen by this
/// hash, so all releases must compute the same values.
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
        .fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    mix(hash)
}

/// The finalizer of splitmix64, in which every input bit affects every output bit.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
