//! Messages to named services, and their encoding.

use crate::{Error, Result, error::Kind};
use bincode::{
    Decode, Encode,
    config::{self, Configuration, Limit, LittleEndian, Varint},
};

/// Largest encoded value, in bytes: a caller's largest body with room around it.
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
    /// Name of the service that it is for.
    pub service: String,
    /// Content, as the service encodes it.
    pub body: Vec<u8>,
}

impl Message {
    /// A message whose body is an encoded value.
    pub fn encode<T: Encode>(service: &str, value: &T) -> Result<Self> {
        Ok(Self { service: service.to_owned(), body: encode(value)? })
    }

    /// The value in the body.
    pub fn decode<T: Decode<()>>(&self) -> Result<T> {
        decode(&self.body)
    }
}

fn config() -> Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE_BYTES>> {
    config::standard().with_limit::<MAX_MESSAGE_BYTES>()
}

/// Encodes a value.
///
/// # Errors
///
/// Fails if the value is larger than [`MAX_MESSAGE_BYTES`].
pub fn encode<T: Encode>(value: &T) -> Result<Vec<u8>> {
    let bytes = bincode::encode_to_vec(value, config())
        .map_err(|e| Error::new(Kind::Malformed, format!("value not encoded: {e}")))?;
    match bytes.len() <= MAX_MESSAGE_BYTES {
        true => Ok(bytes),
        false => Err(Error::new(Kind::TooLarge, format!("value of {} bytes", bytes.len()))),
    }
}

/// Decodes a value from exactly these bytes.
///
/// # Errors
///
/// Fails if the bytes are no such value or more than one.
pub fn decode<T: Decode<()>>(bytes: &[u8]) -> Result<T> {
    let (value, used) = bincode::decode_from_slice(bytes, config())
        .map_err(|e| Error::new(Kind::Malformed, format!("bytes not decoded: {e}")))?;
    match used == bytes.len() {
        true => Ok(value),
        false => {
            let extra = bytes.len() - used;
            Err(Error::new(Kind::Malformed, format!("{extra} bytes after the value")))
        }
    }
}
