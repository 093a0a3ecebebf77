//! Parser for the server-sent events of a streamed completion.

use crate::{
    error::{Error, ErrorReason, Result},
    http,
    stream::TokenUsage,
};
use serde::Deserialize;
use std::{
    borrow::Cow,
    io::{BufRead, Read},
};
use wire::{RequestId, Tokens, Verdict};

/// Maximum length of a line of a stream, in bytes.
const MAX_LINE_BYTES: u64 = 1024 * 1024;

/// A line of a stream, or its end.
#[derive(Debug)]
pub(crate) enum Line {
    /// A token, or the finish reason after the last one.
    Event(Event),
    /// A line that starts with a colon: the upstream is alive.
    Comment,
    /// `data: [DONE]`, which follows the last event.
    Done,
    /// The upstream has closed the connection.
    End,
}

/// Contents of an event.
#[derive(Debug)]
pub(crate) struct Event {
    pub(crate) id: RequestId,
    /// Number of the token within the response, from 0; with a finish reason, the
    /// number of all its tokens.
    pub(crate) offset: Tokens,
    pub(crate) text: String,
    pub(crate) finish_reason: Option<String>,
    pub(crate) usage: Option<TokenUsage>,
}

#[derive(Deserialize)]
struct Chunk<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    offset: Tokens,
    #[serde(borrow)]
    choices: Vec<Choice<'a>>,
    #[serde(default)]
    usage: Option<TokenUsage>,
}

#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(borrow, default)]
    delta: Option<Delta<'a>>,
    #[serde(borrow, default)]
    text: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    finish_reason: Option<Cow<'a, str>>,
}

#[derive(Deserialize)]
struct Delta<'a> {
    #[serde(borrow, default)]
    content: Option<Cow<'a, str>>,
}

/// Reads the next line that is an event, a comment or the end mark; blank lines and
/// other fields are skipped.
pub(crate) fn read_line(reader: &mut impl BufRead) -> Result<Line> {
    let mut line = Vec::new();
    loop {
        line.clear();
        let read = reader.by_ref().take(MAX_LINE_BYTES).read_until(b'\n', &mut line);
        if read.map_err(|e| http::read_error(&e))? == 0 {
            return Ok(Line::End);
        }
        if line.last() != Some(&b'\n') {
            return Err(invalid_response("a line is cut off or too long"));
        }
        let text = line.trim_ascii_end();
        if text.starts_with(b":") {
            return Ok(Line::Comment);
        }
        if let Some(data) = text.strip_prefix(b"data:") {
            return parse(data.trim_ascii_start());
        }
    }
}

fn parse(data: &[u8]) -> Result<Line> {
    if data == b"[DONE]" {
        return Ok(Line::Done);
    }
    let chunk: Chunk<'_> = serde_json::from_slice(data)
        .map_err(|e| invalid_response(&format!("an event is not valid: {e}")))?;
    let Some(choice) = chunk.choices.into_iter().next() else {
        return Err(invalid_response("an event has no choice"));
    };
    let text = choice.text.or_else(|| choice.delta.and_then(|delta| delta.content));
    Ok(Line::Event(Event {
        id: chunk.id.into_owned(),
        offset: chunk.offset,
        text: text.unwrap_or_default().into_owned(),
        finish_reason: choice.finish_reason.map(Cow::into_owned),
        usage: chunk.usage,
    }))
}

fn invalid_response(message: &str) -> Error {
    Error::new(ErrorReason::InvalidResponse, Verdict::MayHaveRun, message)
}
