//! API keys of organisations and the token of operators. Only their hashes are kept.

use crate::{ApiError, Error, RequestHeaders, Result};
use sha2::{Digest, Sha256};
use std::path::Path;
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};
use wire::OrganisationId;

/// Length of a SHA-256 hash.
const HASH_BYTES: usize = 32;

/// SHA-256 hash of an API key or token.
pub type KeyHash = [u8; HASH_BYTES];

/// Hash of a key in the form in which it is stored and compared.
pub fn hash_key(key: &str) -> KeyHash {
    Sha256::digest(key.as_bytes()).into()
}

/// Parses a hash from 64 hexadecimal digits of either case.
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

/// Hashes of the API keys, with the organisation of each.
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
    entries: Vec<KeyEntry>,
}

#[derive(Clone, Debug)]
struct KeyEntry {
    hash: KeyHash,
    organisation: OrganisationId,
}

impl ApiKeys {
    /// Set of keys, each with the organisation that it belongs to.
    pub fn new(keys: impl IntoIterator<Item = (KeyHash, OrganisationId)>) -> Self {
        let entries =
            keys.into_iter().map(|(hash, organisation)| KeyEntry { hash, organisation }).collect();
        Self { entries }
    }

    /// Organisation of a key. Compares with every hash in constant time, so the duration
    /// reveals nothing about the stored keys.
    pub fn find(&self, key: &str) -> Option<&OrganisationId> {
        let hash = hash_key(key);
        let mut matching_index = u64::MAX;
        for (i, entry) in (0..).zip(&self.entries) {
            let equal: Choice = entry.hash.ct_eq(&hash);
            matching_index.conditional_assign(&i, equal);
        }
        let i = usize::try_from(matching_index).ok()?;
        self.entries.get(i).map(|e| &e.organisation)
    }

    /// Organisation of a request, from the key in its `Authorization` header.
    ///
    /// # Errors
    ///
    /// Refuses a missing key with 401 `missing_key` and an unknown one with 401 `unknown_key`.
    pub fn authenticate(
        &self,
        headers: &RequestHeaders,
    ) -> std::result::Result<&OrganisationId, ApiError> {
        let key = headers.api_key.as_deref().ok_or_else(missing_key)?;
        self.find(key).ok_or_else(unknown_key)
    }
}

/// Hash of the token that operators send as their key.
#[derive(Clone)]
pub struct OperatorToken {
    hash: KeyHash,
}

impl OperatorToken {
    /// Reads the token from the first line of a file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, its mode gives rights to anyone but its owner, or the token
    /// is shorter than 16 characters.
    pub fn read(path: &Path) -> Result<Self> {
        let token = wire::read_secret_file(path).map_err(|e| Error::config(e.to_string(), None))?;
        Ok(Self::new(&token))
    }

    /// Token given as text.
    pub fn new(token: &str) -> Self {
        Self { hash: hash_key(token) }
    }

    /// Checks the token in the `Authorization` header of a request, in constant time.
    ///
    /// # Errors
    ///
    /// Refuses a missing token with 401 `missing_key` and a wrong one with 401 `unknown_key`.
    pub fn authenticate(&self, headers: &RequestHeaders) -> std::result::Result<(), ApiError> {
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
