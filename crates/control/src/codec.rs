//! Binary encoding of messages, commands and snapshots.

use crate::error::{Error, Result};
use bincode::{
    Decode, Encode,
    config::{Configuration, Limit},
};

/// Maximum size of a message or snapshot that is decoded, in bytes.
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
/// Never for the types of this crate, because encoding them to memory cannot fail.
pub fn encode<T: Encode>(value: &T) -> Vec<u8> {
    bincode::encode_to_vec(value, CONFIG).expect("encoding to memory cannot fail")
}

/// Decodes a message or command.
///
/// # Errors
///
/// [`Error::is_malformed`] if the bytes are no encoding of the type, or if bytes
/// remain after it.
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
