//! The region secret, and proofs of knowledge of it.

use crate::{Error, Result, error::Kind};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::{fmt, fs, os::unix::fs::PermissionsExt, path::Path};

/// Size of a proof, an HMAC-SHA-256 tag.
pub(crate) const PROOF_BYTES: usize = 32;
/// Smallest number of characters in a secret.
const MIN_SECRET_CHARS: usize = 16;
/// Permission bits of a file for its group and for others.
const GROUP_AND_OTHER_BITS: u32 = 0o077;

/// Secret shared by all daemons of a region. Its `Debug` output does not contain the secret.
#[derive(Clone)]
pub struct RegionSecret {
    key: Vec<u8>,
}

impl RegionSecret {
    /// Creates a secret from its text.
    ///
    /// # Errors
    ///
    /// Fails if it has fewer than 16 characters.
    pub fn new(text: &str) -> Result<Self> {
        check_length(text, "region secret")?;
        Ok(Self { key: text.as_bytes().to_vec() })
    }

    /// Reads the secret with [`read_secret_file`].
    ///
    /// # Errors
    ///
    /// As for [`read_secret_file`].
    pub fn read(path: &Path) -> Result<Self> {
        Ok(Self { key: read_secret_file(path)?.into_bytes() })
    }

    /// Computes a proof of knowledge of the secret over `parts`. Each part is preceded by its
    /// length, so that different lists of parts never give the same input.
    pub(crate) fn prove(&self, parts: &[&[u8]]) -> [u8; PROOF_BYTES] {
        let mut mac = self.new_mac();
        parts.iter().for_each(|p| update_with_length(&mut mac, p));
        mac.finalize().into_bytes().into()
    }

    /// Whether `proof` is the proof over `parts`. Compares in constant time.
    pub(crate) fn verify(&self, parts: &[&[u8]], proof: &[u8]) -> bool {
        let mut mac = self.new_mac();
        parts.iter().for_each(|p| update_with_length(&mut mac, p));
        mac.verify_slice(proof).is_ok()
    }

    #[allow(clippy::expect_used)]
    fn new_mac(&self) -> Hmac<Sha256> {
        Hmac::new_from_slice(&self.key).expect("a key of any length fits")
    }
}

impl fmt::Debug for RegionSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RegionSecret")
    }
}

fn update_with_length(mac: &mut Hmac<Sha256>, part: &[u8]) {
    mac.update(&(part.len() as u64).to_le_bytes());
    mac.update(part);
}

/// Reads a secret: the first line of a file that only its owner can access, without surrounding
/// white space.
///
/// # Errors
///
/// Fails if the file can't be read, grants permissions to its group or to others, or if the secret
/// has fewer than 16 characters. The error contains the path of the file and never its content.
pub fn read_secret_file(path: &Path) -> Result<String> {
    let name = path.display();
    let io = |e| Error::io(Kind::Config, format!("secret file {name}"), e);
    let mode = fs::metadata(path).map_err(io)?.permissions().mode();
    if mode & GROUP_AND_OTHER_BITS != 0 {
        let reason = format!("secret file {name} gives rights to others than its owner");
        return Err(Error::new(Kind::Config, reason));
    }
    let text = fs::read_to_string(path).map_err(io)?;
    let secret = text.lines().next().unwrap_or_default().trim();
    check_length(secret, &format!("secret in {name}"))?;
    Ok(secret.to_owned())
}

fn check_length(secret: &str, what: &str) -> Result<()> {
    match secret.chars().count() >= MIN_SECRET_CHARS {
        true => Ok(()),
        false => {
            let reason = format!("{what} has fewer than {MIN_SECRET_CHARS} characters");
            Err(Error::new(Kind::Config, reason))
        }
    }
}
