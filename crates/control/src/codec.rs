//! Binary form of messages and snapshots.

use crate::error::{Error, Result};
use bincode::{
    Decode, Encode,
    config::{Configuration, Limit},
};

/// Longest message or snapshot that is decoded, in bytes.
const MAX_BYTES: usize = 512 * 1024 * 1024;

const CONFIG: Configuration<
    bincode::config::LittleEndian,
    bincode::config::Varint,
    Limit<MAX_BYTES>,
> = bincode::config::standard().with_limit::<MAX_BYTES>();

/// Encodes a message or command.
///
/// # Panics
///
/// Never for the types of this crate: encoding to memory has no error of its own.
pub fn encode<T: Encode>(value: &T) -> Vec<u8> {
    bincode::encode_to_vec(value, CONFIG).expect("types of this crate always encode to memory")
}

/// Decodes a message or command; bytes left over are an error.
///
/// ```
/// use control::{Command, decode, encode};
///
/// let cmd = Command::Tick { at_ms: 5 };
/// assert_eq!(decode::<Command>(&encode(&cmd)).unwrap(), cmd);
/// assert!(decode::<Command>(&[255]).unwrap_err().is_malformed());
/// ```
pub fn decode<T: Decode<()>>(buf: &[u8]) -> Result<T> {
    let (value, used) = bincode::decode_from_slice(buf, CONFIG).map_err(Error::malformed)?;
    if used != buf.len() {
        return Err(Error::malformed(format!("{} bytes left over", buf.len() - used)));
    }
    Ok(value)
}
