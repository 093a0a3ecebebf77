//! Mutual authentication by the region secret, and negotiation of the protocol version.
//!
//! The first stream of a connection carries four frames: the client's hello, the server's hello
//! with its proof, the client's proof, and the server's acceptance. A proof is an HMAC under the
//! region secret. It covers both nonces, both names, the version and a context that differs
//! between client and server, so a proof can be neither replayed nor reflected.

use super::{
    config::{LinkConfig, VersionRange},
    exchange::{FrameReader, encode_frame, send_all},
};
use crate::{DaemonId, Error, Result, error::Kind, secret::PROOF_BYTES};
use bincode::{Decode, Encode};
use bytes::Bytes;
use h2::SendStream;

/// Limit on a handshake value, in bytes; its frame may be up to `ENVELOPE_BYTES` larger.
pub(crate) const MAX_HELLO_BYTES: usize = 4096;
/// Size of a nonce.
const NONCE_BYTES: usize = 32;

type Nonce = [u8; NONCE_BYTES];
type Proof = [u8; PROOF_BYTES];

/// First frame. Its encoding never changes, so that any two versions can negotiate.
#[derive(Debug, Decode, Encode)]
pub(crate) struct ClientHello {
    id: DaemonId,
    min_version: u32,
    max_version: u32,
    nonce: Nonce,
}

/// Second frame: the reply to the first.
#[derive(Debug, Decode, Encode)]
pub(crate) enum ServerHello {
    /// Highest common version, and the proof of the server.
    Proof { id: DaemonId, version: u32, nonce: Nonce, proof: Proof },
    /// There is no common version; the range that the server supports.
    NoVersion { min_version: u32, max_version: u32 },
}

/// Third frame, sent after the client has verified the proof of the server.
#[derive(Debug, Decode, Encode)]
pub(crate) struct ClientProof {
    proof: Proof,
}

/// Last frame: the result of verifying the proof of the client.
#[derive(Debug, Decode, Encode)]
pub(crate) enum HandshakeOutcome {
    Accepted,
    AuthenticationFailed,
}

/// The other end of an open link, and the negotiated protocol version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Peer {
    pub(crate) id: DaemonId,
    pub(crate) version: u32,
}

/// Values that a proof covers, besides its context.
struct Transcript<'a> {
    client: &'a str,
    server: &'a str,
    version: u32,
    client_nonce: &'a Nonce,
    server_nonce: &'a Nonce,
}

impl Transcript<'_> {
    fn prove(&self, cfg: &LinkConfig, context: &str) -> Proof {
        self.with_parts(context, |parts| cfg.secret.prove(parts))
    }

    fn verify(&self, cfg: &LinkConfig, context: &str, proof: &Proof) -> bool {
        self.with_parts(context, |parts| cfg.secret.verify(parts, proof))
    }

    fn with_parts<T>(&self, context: &str, f: impl FnOnce(&[&[u8]]) -> T) -> T {
        f(&[
            context.as_bytes(),
            self.client.as_bytes(),
            self.server.as_bytes(),
            &self.version.to_le_bytes(),
            self.client_nonce,
            self.server_nonce,
        ])
    }
}

/// Context of the proof of the client.
const CLIENT_CONTEXT: &str = "client";
/// Context of the proof of the server.
const SERVER_CONTEXT: &str = "server";

/// Performs the client's side of the handshake.
///
/// # Errors
///
/// Fails if either end rejects the other's proof, if there is no common version, or if the stream
/// fails.
pub(crate) async fn connect(
    cfg: &LinkConfig,
    tx: &mut SendStream<Bytes>,
    rx: &mut FrameReader,
) -> Result<Peer> {
    let client_nonce = random_nonce()?;
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
            return Err(version_mismatch_error(cfg, &(min_version..=max_version)));
        }
    };
    let transcript = Transcript {
        client: &cfg.id,
        server: &id,
        version,
        client_nonce: &client_nonce,
        server_nonce: &server_nonce,
    };
    if !cfg.versions.contains(&version) || !transcript.verify(cfg, SERVER_CONTEXT, &proof) {
        return Err(authentication_error(&id));
    }
    send(tx, &ClientProof { proof: transcript.prove(cfg, CLIENT_CONTEXT) }).await?;
    match receive(rx).await? {
        HandshakeOutcome::Accepted => Ok(Peer { id, version }),
        HandshakeOutcome::AuthenticationFailed => Err(authentication_error(&id)),
    }
}

/// Performs the server's side of the handshake, except for the last frame, which
/// [`send_outcome`] sends.
///
/// # Errors
///
/// As for [`connect`].
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
        return Err(version_mismatch_error(cfg, &offered));
    };
    let server_nonce = random_nonce()?;
    let transcript = Transcript {
        client: &hello.id,
        server: &cfg.id,
        version,
        client_nonce: &hello.nonce,
        server_nonce: &server_nonce,
    };
    let proof = transcript.prove(cfg, SERVER_CONTEXT);
    let id = cfg.id.clone();
    send(tx, &ServerHello::Proof { id, version, nonce: server_nonce, proof }).await?;
    let client_proof: ClientProof = receive(rx).await?;
    match transcript.verify(cfg, CLIENT_CONTEXT, &client_proof.proof) {
        true => Ok(Peer { id: hello.id, version }),
        false => Err(authentication_error(&hello.id)),
    }
}

/// Sends the last frame. The server must be ready to accept streams before this call, as the
/// client opens them as soon as it receives the frame.
pub(crate) async fn send_outcome(tx: &mut SendStream<Bytes>, accepted: bool) -> Result<()> {
    match accepted {
        true => send(tx, &HandshakeOutcome::Accepted).await,
        false => send(tx, &HandshakeOutcome::AuthenticationFailed).await,
    }
}

fn highest_common(ours: &VersionRange, theirs: &VersionRange) -> Option<u32> {
    let highest = *ours.end().min(theirs.end());
    let lowest = *ours.start().max(theirs.start());
    (lowest <= highest).then_some(highest)
}

async fn send<T: Encode>(tx: &mut SendStream<Bytes>, value: &T) -> Result<()> {
    let frame = encode_frame(value, MAX_HELLO_BYTES)?.freeze();
    send_all(tx, frame, false).await
}

async fn receive<T: Decode<()>>(rx: &mut FrameReader) -> Result<T> {
    let value = rx.next().await?;
    value.ok_or_else(|| Error::new(Kind::Lost, "stream ended within the handshake"))
}

fn random_nonce() -> Result<Nonce> {
    let mut nonce = [0; NONCE_BYTES];
    getrandom::fill(&mut nonce)
        .map_err(|e| Error::new(Kind::Unreachable, format!("no random bytes: {e}")))?;
    Ok(nonce)
}

fn authentication_error(id: &str) -> Error {
    Error::new(
        Kind::AuthenticationFailed,
        format!("daemon {id:?} does not share the region secret"),
    )
}

fn version_mismatch_error(cfg: &LinkConfig, theirs: &VersionRange) -> Error {
    let context = format!("no common protocol version: {:?} here, {theirs:?} there", cfg.versions);
    Error::new(Kind::VersionMismatch, context)
}
