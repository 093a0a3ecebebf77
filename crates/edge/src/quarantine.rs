//! Refused requests that can't be dropped safely. Not related to the quarantine of requests that
//! crash upstreams.
//!
//! When `tiny_http` drops a request, it allocates a buffer for the part of the declared body that
//! has not been read. A caller that declares a body larger than the memory would abort the process.
//! Such a request gets its response and is then kept, with its connection, until the process ends.

use crate::{ApiError, response::VERDICT_HEADER};
use std::{
    io::{self, Read},
    sync::atomic::{AtomicU64, Ordering},
    thread,
};
use tiny_http::{Header, Request, Response, StatusCode};

/// Largest declared body that `tiny_http` may read and discard. It reserves that much address
/// space, but touches only as much memory as one read from the socket fills.
const MAX_DRAIN_BYTES: usize = 256 << 20;
/// Largest part of a chunked body over the limit that is read and discarded.
const MAX_CHUNKED_DRAIN_BYTES: u64 = 256 << 20;
/// Smallest body that `tiny_http` writes at once instead of holding it in its output buffer.
const MIN_UNBUFFERED_BYTES: usize = 2048;

/// Whether a refused request may be dropped. Reads the rest of a chunked body that is too large,
/// which would otherwise be parsed as the next request on the connection.
pub(crate) fn may_drop(request: &mut Request, e: &ApiError) -> bool {
    match request.body_length() {
        Some(n) => n <= MAX_DRAIN_BYTES,
        None if e.status == 413 => drain(request.as_reader()),
        None => true,
    }
}

/// Reads and discards the rest of a body. Returns whether its end came within the limit.
fn drain(reader: &mut dyn Read) -> bool {
    let read = io::copy(&mut reader.take(MAX_CHUNKED_DRAIN_BYTES), &mut io::sink());
    read.is_ok_and(|n| n < MAX_CHUNKED_DRAIN_BYTES)
}

/// Sends the refusal and keeps the request, on a thread of its own, until the process ends.
/// `quarantined_connections` counts these requests.
pub(crate) fn respond(request: Request, e: &ApiError, quarantined_connections: &AtomicU64) {
    quarantined_connections.fetch_add(1, Ordering::Relaxed);
    metrics::counter!("edge_quarantined").increment(1);
    log::warn!(
        "keeping a refused request that declares {:?} bytes until the process ends",
        request.body_length()
    );
    let mut body = e.to_json().into_bytes();
    body.resize(body.len().max(MIN_UNBUFFERED_BYTES), b' ');
    let length = body.len();
    let headers = [("Content-Type", "application/json"), (VERDICT_HEADER, e.verdict.as_str())]
        .into_iter()
        .filter_map(|(name, value)| Header::from_bytes(name, value).ok())
        .collect();
    let reader = BlockAtEnd(io::Cursor::new(body));
    let response = Response::new(StatusCode(e.status), headers, reader, Some(length), None)
        .with_chunked_threshold(usize::MAX);
    let respond_and_block = move || drop(request.respond(response));
    if let Err(e) =
        thread::Builder::new().name("edge-quarantine".to_owned()).spawn(respond_and_block)
    {
        // The request has been dropped with the closure; nothing more can be done about it here.
        log::error!("could not start a thread for a quarantined request: {e}");
    }
}

/// Reader that returns its bytes and then blocks forever, so that `tiny_http` never drops the
/// request.
struct BlockAtEnd(io::Cursor<Vec<u8>>);

impl Read for BlockAtEnd {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let n = self.0.read(buf)?;
        if n > 0 {
            return Ok(n);
        }
        loop {
            thread::park();
        }
    }
}
