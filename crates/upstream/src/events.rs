//! Server-sent events of a completion.

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

/// Longest line of a stream, in bytes.
const MAX_LINE_BYTES: u64 = 1024 * 1024;

/// One line of a stream.
#[derive(Debug)]
pub(crate) enum Line {
    /// A token, or the end with its reason.
    Event(Event),
    /// The upstream is alive.
    Comment,
    /// `data: [DONE]`.
    Done,
    /// The connection's end.
    End,
}

/// What one event says.
#[derive(Debug)]
pub(crate) struct Event {
    pub(crate) id: RequestId,
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

/// Reads up to the next line that says something.
pub(crate) fn read_line(reader: &mut impl BufRead) -> Result<Line> {
    let mut line = Vec::new();
    loop {
        line.clear();
        let read = reader.by_ref().take(MAX_LINE_BYTES).read_until(b'\n', &mut line);
        if read.map_err(|e| http::read_error(&e))? == 0 {
            return Ok(Line::End);
        }
        if line.last() != Some(&b'\n') {
            return Err(bad("a line is cut off or too long"));
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
    let chunk: Chunk<'_> =
        serde_json::from_slice(data).map_err(|e| bad(&format!("an event is not valid: {e}")))?;
    let Some(choice) = chunk.choices.into_iter().next() else {
        return Err(bad("an event has no choice"));
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

fn bad(message: &str) -> Error {
    Error::new(ErrorReason::InvalidResponse, Verdict::MayHaveRun, message)
}
