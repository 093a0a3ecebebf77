//! Messages to named services of other daemons, and their `bincode` encoding.

use crate::{Error, Result, error::Kind};
use bincode::{
    Decode, Encode,
    config::{self, Configuration, Limit, LittleEndian, Varint},
};

/// Largest size of an encoded value, in bytes. It exceeds the largest request body of a caller,
/// so that a message can carry such a body together with its other fields.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// A message to a named service of another daemon.
///
/// ```
/// use bincode::{Decode, Encode};
/// use wire::Message;
///
/// #[derive(Debug, Decode, Encode, PartialEq)]
/// struct Renew {
///     epoch: u64,
/// }
///
/// let message = Message::encode("lease", &Renew { epoch: 7 })?;
/// assert_eq!(message.service, "lease");
/// assert_eq!(message.decode::<Renew>()?, Renew { epoch: 7 });
/// # Ok::<(), wire::Error>(())
/// ```
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Message {
    /// Name of the link service (handler) on the receiving daemon; not a plain service.
    pub service: String,
    /// Content, in the encoding of the service.
    pub body: Vec<u8>,
}

impl Message {
    /// Creates a message whose body is the encoding of `value`.
    ///
    /// # Errors
    ///
    /// Fails if the encoding is larger than [`MAX_MESSAGE_BYTES`].
    pub fn encode<T: Encode>(service: &str, value: &T) -> Result<Self> {
        Ok(Self { service: service.to_owned(), body: encode(value)? })
    }

    /// Decodes the body.
    ///
    /// # Errors
    ///
    /// Fails if the body is not exactly one encoded `T`.
    pub fn decode<T: Decode<()>>(&self) -> Result<T> {
        decode(&self.body)
    }
}

fn bincode_config() -> Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE_BYTES>> {
    config::standard().with_limit::<MAX_MESSAGE_BYTES>()
}

/// Encodes a value with variable-length, little-endian integers.
///
/// # Errors
///
/// Fails if the encoding is larger than [`MAX_MESSAGE_BYTES`].
pub fn encode<T: Encode>(value: &T) -> Result<Vec<u8>> {
    let bytes = bincode::encode_to_vec(value, bincode_config())
        .map_err(|e| Error::new(Kind::Malformed, format!("value not encoded: {e}")))?;
    match bytes.len() <= MAX_MESSAGE_BYTES {
        true => Ok(bytes),
        false => Err(Error::new(Kind::TooLarge, format!("value of {} bytes", bytes.len()))),
    }
}

/// Decodes a value that occupies all of `bytes`.
///
/// # Errors
///
/// Fails if the bytes do not encode a `T`, or if bytes follow the value.
pub fn decode<T: Decode<()>>(bytes: &[u8]) -> Result<T> {
    let (value, used) = bincode::decode_from_slice(bytes, bincode_config())
        .map_err(|e| Error::new(Kind::Malformed, format!("bytes not decoded: {e}")))?;
    match used == bytes.len() {
        true => Ok(value),
        false => {
            let extra = bytes.len() - used;
            Err(Error::new(Kind::Malformed, format!("{extra} bytes after the value")))
        }
    }
}
