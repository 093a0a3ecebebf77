//! Requests that must not be dropped.
//!
//! When tiny_http drops a request, it makes room for all of the body that was
//! declared and not yet read. A caller that declares a body larger than the
//! memory would end the process. Such a request is answered and then kept, with
//! its connection, until the process ends.

use crate::{ApiError, reply::VERDICT_HEADER};
use std::{
    io::{self, Read},
    sync::atomic::{AtomicU64, Ordering},
    thread,
};
use tiny_http::{Header, Request, Response, StatusCode};

/// Largest declared body that tiny_http may read and throw away. It maps that
/// much memory, but touches no more than one read from the socket.
const MAX_DRAIN_BYTES: usize = 256 << 20;
/// Most bytes of a chunked body over the limit that are read and thrown away.
const MAX_CHUNKED_DRAIN_BYTES: u64 = 256 << 20;
/// Length that makes tiny_http write a body at once, past its buffer.
const UNBUFFERED_BYTES: usize = 2048;

/// Whether a refused request may be dropped. Reads the rest of a chunked body
/// that is too large, which would otherwise be taken for the next request.
pub(crate) fn may_drop(request: &mut Request, e: &ApiError) -> bool {
    match request.body_length() {
        Some(n) => n <= MAX_DRAIN_BYTES,
        None if e.status == 413 => drain(request.as_reader()),
        None => true,
    }
}

/// Reads to the end of a body, and says whether it came.
fn drain(reader: &mut dyn Read) -> bool {
    let read = io::copy(&mut reader.take(MAX_CHUNKED_DRAIN_BYTES), &mut io::sink());
    read.is_ok_and(|n| n < MAX_CHUNKED_DRAIN_BYTES)
}

/// Answers a request and keeps it for good.
pub(crate) fn respond(request: Request, e: &ApiError, count: &AtomicU64) {
    count.fetch_add(1, Ordering::Relaxed);
    metrics::counter!("edge_quarantined").increment(1);
    log::warn!("a request that declares {:?} bytes is kept", request.body_length());
    let mut body = e.to_json().into_bytes();
    body.resize(body.len().max(UNBUFFERED_BYTES), b' ');
    let length = body.len();
    let headers = [("Content-Type", "application/json"), (VERDICT_HEADER, e.verdict.as_str())]
        .into_iter()
        .filter_map(|(name, value)| Header::from_bytes(name, value).ok())
        .collect();
    let reader = ThenForever(io::Cursor::new(body));
    let response = Response::new(StatusCode(e.status), headers, reader, Some(length), None)
        .with_chunked_threshold(usize::MAX);
    let keep = move || drop(request.respond(response));
    if let Err(e) = thread::Builder::new().name("edge-quarantine".to_owned()).spawn(keep) {
        // The request went down with the thread; nothing better is left to do.
        log::error!("a thread for a kept request did not start: {e}");
    }
}

/// Gives its bytes, and after them never returns, which keeps the request.
struct ThenForever(io::Cursor<Vec<u8>>);

impl Read for ThenForever {
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
