//! Helpers for `tiny_http`: responses, refusals and server-sent events.

use serde::Serialize;
use std::{
    io::{self, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener},
};
use tiny_http::{Header, Request, Response, Server};
use wire::Verdict;

/// Header of a refusal, which tells whether the request may have run.
const VERDICT_HEADER: &str = "toucansill-verdict";
/// Header with the id of the request.
pub(crate) const REQUEST_ID_HEADER: &str = "toucansill-request-id";

/// Opens a server on a free port of 127.0.0.1.
///
/// Accepted sockets inherit `TCP_NODELAY` from the listener, so that small flushed writes are
/// sent immediately.
pub(crate) fn bind() -> io::Result<(Server, SocketAddr)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
    let address = listener.local_addr()?;
    let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
    Ok((server, address))
}

/// Value of a header of a request, whose name is compared without case.
pub(crate) fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.headers()
        .iter()
        .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name))
        .map(|h| h.value.as_str())
}

/// Reads the body of a request.
pub(crate) fn read_body(req: &mut Request) -> io::Result<Vec<u8>> {
    let mut body = Vec::with_capacity(req.body_length().unwrap_or_default());
    req.as_reader().read_to_end(&mut body)?;
    Ok(body)
}

/// Responds with JSON.
pub(crate) fn respond_json(req: Request, status: u16, value: &impl Serialize) {
    respond(req, status, value, None);
}

/// Responds with JSON and, if there is one, the id of the request in a header.
pub(crate) fn respond_with_id(req: Request, status: u16, value: &impl Serialize, id: Option<&str>) {
    respond(req, status, value, id.map(|id| (REQUEST_ID_HEADER, id)));
}

/// Responds with JSON and, if given, one more header.
fn respond(req: Request, status: u16, value: &impl Serialize, header: Option<(&str, &str)>) {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::from_data(body).with_status_code(status);
    response.add_header(text_header("Content-Type", "application/json"));
    if let Some((name, value)) = header {
        response.add_header(text_header(name, value));
    }
    if let Err(e) = req.respond(response) {
        log::debug!("the client has disconnected: {e}");
    }
}

/// A header with a name and value known to be valid.
fn text_header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).expect("a fixed header is valid")
}

/// Body of a refusal. No part of the request has run.
#[derive(Debug, Serialize)]
pub(crate) struct Refusal {
    error: RefusalDetail,
}

/// Type, message and verdict of a refusal.
#[derive(Debug, Serialize)]
struct RefusalDetail {
    #[serde(rename = "type")]
    kind: &'static str,
    message: String,
    verdict: Verdict,
}

impl Refusal {
    /// A refusal with this type and message.
    pub(crate) fn new(kind: &'static str, message: impl Into<String>) -> Self {
        let message = message.into();
        Self { error: RefusalDetail { kind, message, verdict: Verdict::NotRun } }
    }

    /// Responds to a request with this refusal.
    pub(crate) fn respond(&self, req: Request, status: u16) {
        respond(req, status, self, Some((VERDICT_HEADER, Verdict::NotRun.as_str())));
    }
}

/// A refusal with its HTTP status.
pub(crate) struct HttpRefusal(pub(crate) u16, pub(crate) Refusal);

/// A writer that is flushed when it is dropped. The encoder writes the last chunk when it is
/// dropped, and that chunk would otherwise stay in the buffer of `tiny_http`.
struct FlushOnDrop(Box<dyn Write + Send>);

impl Write for FlushOnDrop {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

impl Drop for FlushOnDrop {
    fn drop(&mut self) {
        let _ = self.0.flush();
    }
}

/// Writer of server-sent events in chunked encoding. Each event is sent immediately.
pub(crate) struct EventWriter {
    encoder: chunked_transfer::Encoder<FlushOnDrop>,
}

impl EventWriter {
    /// Sends the head of the response.
    pub(crate) fn start(req: Request) -> io::Result<Self> {
        let mut writer: Box<dyn Write + Send> = req.into_writer();
        writer.write_all(
            b"HTTP/1.1 200 OK\r\n\
              Content-Type: text/event-stream\r\n\
              Cache-Control: no-cache\r\n\
              Transfer-Encoding: chunked\r\n\r\n",
        )?;
        writer.flush()?;
        Ok(Self { encoder: chunked_transfer::Encoder::new(FlushOnDrop(writer)) })
    }

    /// Sends an event with this data.
    pub(crate) fn data(&mut self, text: &str) -> io::Result<()> {
        write!(self.encoder, "data: {text}\n\n")?;
        self.flush()
    }

    /// Sends a comment, which shows before the first token that the engine is alive.
    pub(crate) fn comment(&mut self, text: &str) -> io::Result<()> {
        write!(self.encoder, ": {text}\n\n")?;
        self.flush()
    }

    /// Sends what is buffered. The flush of the encoder passes its chunk to the writer below, which
    /// has a buffer of its own and must be flushed too.
    fn flush(&mut self) -> io::Result<()> {
        self.encoder.flush()?;
        self.encoder.get_mut().flush()
    }
}
