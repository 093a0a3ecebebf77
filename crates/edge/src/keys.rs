//! API keys of organisations and tokens of operators.

use crate::{ApiError, Error, RequestHeaders, Result};
use sha2::{Digest, Sha256};
use std::path::Path;
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};
use wire::OrganisationId;

/// Bytes of a SHA-256 hash.
const HASH_BYTES: usize = 32;

/// SHA-256 of a key.
pub type KeyHash = [u8; HASH_BYTES];

/// The hash of a key, as it is stored.
pub fn hash_key(key: &str) -> KeyHash {
    Sha256::digest(key.as_bytes()).into()
}

/// Reads a hash from 64 hexadecimal digits.
///
/// ```
/// let text = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";
/// assert_eq!(edge::parse_key_hash(text), Some(edge::hash_key("test")));
/// assert_eq!(edge::parse_key_hash("9f86"), None);
/// ```
pub fn parse_key_hash(text: &str) -> Option<KeyHash> {
    let mut hash = [0; HASH_BYTES];
    if text.len() != 2 * HASH_BYTES || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    for (i, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(hash)
}

/// API keys by their hashes.
///
/// ```
/// use edge::{ApiKeys, hash_key};
///
/// let keys = ApiKeys::new([(hash_key("k1"), "pacifico".to_owned())]);
/// assert_eq!(keys.find("k1"), Some(&"pacifico".to_owned()));
/// assert_eq!(keys.find("k2"), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ApiKeys {
    entries: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    hash: KeyHash,
    organisation: OrganisationId,
}

impl ApiKeys {
    /// Keys with the organisation that each belongs to.
    pub fn new(keys: impl IntoIterator<Item = (KeyHash, OrganisationId)>) -> Self {
        let entries =
            keys.into_iter().map(|(hash, organisation)| Entry { hash, organisation }).collect();
        Self { entries }
    }

    /// The organisation of a key. Compares with every hash in constant time.
    pub fn find(&self, key: &str) -> Option<&OrganisationId> {
        let hash = hash_key(key);
        let mut found = u64::MAX;
        for (i, entry) in (0..).zip(&self.entries) {
            let equal: Choice = entry.hash.ct_eq(&hash);
            found.conditional_assign(&i, equal);
        }
        let i = usize::try_from(found).ok()?;
        self.entries.get(i).map(|e| &e.organisation)
    }

    /// The organisation of a request.
    ///
    /// # Errors
    ///
    /// A missing and an unknown key are refused with 401, under different codes.
    pub fn authorize(
        &self,
        headers: &RequestHeaders,
    ) -> std::result::Result<&OrganisationId, ApiError> {
        let key = headers.api_key.as_deref().ok_or_else(missing_key)?;
        self.find(key).ok_or_else(unknown_key)
    }
}

/// The token of operators.
#[derive(Clone)]
pub struct OperatorToken {
    hash: KeyHash,
}

impl OperatorToken {
    /// Reads the token from a file, whose first line it is.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, anyone but its owner has rights on
    /// it, or the token is shorter than 16 characters.
    pub fn read(path: &Path) -> Result<Self> {
        let token = wire::read_secret_file(path).map_err(|e| Error::config(e.to_string(), None))?;
        Ok(Self::new(&token))
    }

    /// A token.
    pub fn new(token: &str) -> Self {
        Self { hash: hash_key(token) }
    }

    /// Checks the token of a request, in constant time.
    ///
    /// # Errors
    ///
    /// A missing and a wrong token are refused with 401, under different codes.
    pub fn authorize(&self, headers: &RequestHeaders) -> std::result::Result<(), ApiError> {
        let key = headers.api_key.as_deref().ok_or_else(missing_key)?;
        match bool::from(self.hash.ct_eq(&hash_key(key))) {
            true => Ok(()),
            false => Err(unknown_key()),
        }
    }
}

fn missing_key() -> ApiError {
    ApiError::refusal(401, "missing_key", "expected `Authorization: Bearer` and a key")
}

fn unknown_key() -> ApiError {
    ApiError::refusal(401, "unknown_key", "the key is not known")
}
