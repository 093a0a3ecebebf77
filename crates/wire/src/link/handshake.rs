//! Proof of the region secret on both sides, and the choice of a version.
//!
//! The first stream of a connection carries four frames: the client's hello,
//! the server's hello with its proof, the client's proof, and the server's
//! acceptance. Proofs cover both nonces, both names and the version, and differ
//! by side, so none can be replayed or reflected.

use super::{
    config::{LinkConfig, VersionRange},
    exchange::{FrameReader, frame_of, send_all},
};
use crate::{DaemonId, Error, Result, error::Kind, secret::PROOF_BYTES};
use bincode::{Decode, Encode};
use bytes::Bytes;
use h2::SendStream;

/// Largest frame of the handshake, in bytes.
pub(crate) const MAX_HELLO_BYTES: usize = 4096;
/// Bytes of a nonce.
const NONCE_BYTES: usize = 32;

type Nonce = [u8; NONCE_BYTES];
type Proof = [u8; PROOF_BYTES];

/// First frame. Its encoding never changes, so that any two versions can talk.
#[derive(Debug, Decode, Encode)]
pub(crate) struct ClientHello {
    id: DaemonId,
    min_version: u32,
    max_version: u32,
    nonce: Nonce,
}

/// Answer to the first frame.
#[derive(Debug, Decode, Encode)]
pub(crate) enum ServerHello {
    Proof { id: DaemonId, version: u32, nonce: Nonce, proof: Proof },
    NoVersion { min_version: u32, max_version: u32 },
}

/// Third frame.
#[derive(Debug, Decode, Encode)]
pub(crate) struct ClientProof {
    proof: Proof,
}

/// Last frame.
#[derive(Debug, Decode, Encode)]
pub(crate) enum Verdict {
    Accepted,
    AuthenticationFailed,
}

/// The other end of an open link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Peer {
    pub(crate) id: DaemonId,
    pub(crate) version: u32,
}

/// Everything that a proof covers.
struct Transcript<'a> {
    client: &'a str,
    server: &'a str,
    version: u32,
    client_nonce: &'a Nonce,
    server_nonce: &'a Nonce,
}

impl Transcript<'_> {
    fn prove(&self, cfg: &LinkConfig, side: &str) -> Proof {
        self.with_parts(side, |parts| cfg.secret.prove(parts))
    }

    fn verify(&self, cfg: &LinkConfig, side: &str, proof: &Proof) -> bool {
        self.with_parts(side, |parts| cfg.secret.verify(parts, proof))
    }

    fn with_parts<T>(&self, side: &str, f: impl FnOnce(&[&[u8]]) -> T) -> T {
        f(&[
            side.as_bytes(),
            self.client.as_bytes(),
            self.server.as_bytes(),
            &self.version.to_le_bytes(),
            self.client_nonce,
            self.server_nonce,
        ])
    }
}

const CLIENT: &str = "client";
const SERVER: &str = "server";

/// The client's side of the handshake.
pub(crate) async fn connect(
    cfg: &LinkConfig,
    tx: &mut SendStream<Bytes>,
    rx: &mut FrameReader,
) -> Result<Peer> {
    let client_nonce = nonce()?;
    let hello = ClientHello {
        id: cfg.id.clone(),
        min_version: *cfg.versions.start(),
        max_version: *cfg.versions.end(),
        nonce: client_nonce,
    };
    send(tx, &hello).await?;
    let (id, version, server_nonce, proof) = match receive(rx).await? {
        ServerHello::Proof { id, version, nonce, proof } => (id, version, nonce, proof),
        ServerHello::NoVersion { min_version, max_version } => {
            return Err(no_version(cfg, &(min_version..=max_version)));
        }
    };
    let transcript = Transcript {
        client: &cfg.id,
        server: &id,
        version,
        client_nonce: &client_nonce,
        server_nonce: &server_nonce,
    };
    if !cfg.versions.contains(&version) || !transcript.verify(cfg, SERVER, &proof) {
        return Err(unproven(&id));
    }
    send(tx, &ClientProof { proof: transcript.prove(cfg, CLIENT) }).await?;
    match receive(rx).await? {
        Verdict::Accepted => Ok(Peer { id, version }),
        Verdict::AuthenticationFailed => Err(unproven(&id)),
    }
}

/// The server's side of the handshake, up to [`conclude`].
pub(crate) async fn accept(
    cfg: &LinkConfig,
    tx: &mut SendStream<Bytes>,
    rx: &mut FrameReader,
) -> Result<Peer> {
    let hello: ClientHello = receive(rx).await?;
    let offered = hello.min_version..=hello.max_version;
    let Some(version) = highest_common(&cfg.versions, &offered) else {
        let (min_version, max_version) = (*cfg.versions.start(), *cfg.versions.end());
        send(tx, &ServerHello::NoVersion { min_version, max_version }).await?;
        return Err(no_version(cfg, &offered));
    };
    let server_nonce = nonce()?;
    let transcript = Transcript {
        client: &hello.id,
        server: &cfg.id,
        version,
        client_nonce: &hello.nonce,
        server_nonce: &server_nonce,
    };
    let proof = transcript.prove(cfg, SERVER);
    let id = cfg.id.clone();
    send(tx, &ServerHello::Proof { id, version, nonce: server_nonce, proof }).await?;
    let answer: ClientProof = receive(rx).await?;
    match transcript.verify(cfg, CLIENT, &answer.proof) {
        true => Ok(Peer { id: hello.id, version }),
        false => Err(unproven(&hello.id)),
    }
}

/// Tells the client how the handshake ended. The server must be ready for
/// further streams before this, as the client opens them at once.
pub(crate) async fn conclude(tx: &mut SendStream<Bytes>, accepted: bool) -> Result<()> {
    match accepted {
        true => send(tx, &Verdict::Accepted).await,
        false => send(tx, &Verdict::AuthenticationFailed).await,
    }
}

fn highest_common(ours: &VersionRange, theirs: &VersionRange) -> Option<u32> {
    let highest = *ours.end().min(theirs.end());
    let lowest = *ours.start().max(theirs.start());
    (lowest <= highest).then_some(highest)
}

async fn send<T: Encode>(tx: &mut SendStream<Bytes>, value: &T) -> Result<()> {
    let frame = frame_of(value, MAX_HELLO_BYTES)?.freeze();
    send_all(tx, frame, false).await
}

async fn receive<T: Decode<()>>(rx: &mut FrameReader) -> Result<T> {
    let value = rx.next().await?;
    value.ok_or_else(|| Error::new(Kind::Lost, "stream ended within the handshake"))
}

fn nonce() -> Result<Nonce> {
    let mut nonce = [0; NONCE_BYTES];
    getrandom::fill(&mut nonce)
        .map_err(|e| Error::new(Kind::Unreachable, format!("no random bytes: {e}")))?;
    Ok(nonce)
}

fn unproven(id: &str) -> Error {
    Error::new(
        Kind::AuthenticationFailed,
        format!("daemon {id:?} does not share the region secret"),
    )
}

fn no_version(cfg: &LinkConfig, theirs: &VersionRange) -> Error {
    let context = format!("no common protocol version: {:?} here, {theirs:?} there", cfg.versions);
    Error::new(Kind::VersionMismatch, context)
}
