//! JSON bodies of the completion API of an engine.

use serde::{Deserialize, Serialize};
use wire::{ModelId, RequestId, Tokens};

/// Length of a completion if the request names no limit.
const DEFAULT_MAX_TOKENS: Tokens = 16;

/// Body of a chat or text completion request.
#[derive(Debug, Deserialize)]
pub(crate) struct CompletionBody {
    pub(crate) model: ModelId,
    #[serde(default)]
    pub(crate) prompt: Option<String>,
    #[serde(default)]
    pub(crate) messages: Vec<Message>,
    #[serde(default)]
    pub(crate) max_tokens: Option<Tokens>,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default)]
    pub(crate) request_id: Option<RequestId>,
    /// Offset at which to resume the stream of a running or finished request.
    #[serde(default)]
    pub(crate) resume: Option<Tokens>,
    /// Whether to keep the KV cache after the request has finished, until it is released.
    #[serde(default)]
    pub(crate) kv_retain: bool,
    /// Handle of the imported KV cache that this prompt continues.
    #[serde(default)]
    pub(crate) kv_handle: Option<String>,
}

/// One message of a chat.
#[derive(Debug, Deserialize)]
pub(crate) struct Message {
    #[serde(default)]
    pub(crate) content: String,
}

impl CompletionBody {
    /// Text of the prompt: the field `prompt`, or the messages joined by line breaks.
    pub(crate) fn text(&self) -> String {
        match &self.prompt {
            Some(prompt) => prompt.clone(),
            None => {
                let texts: Vec<&str> = self.messages.iter().map(|m| m.content.as_str()).collect();
                texts.join("\n")
            }
        }
    }

    /// Number of tokens to generate.
    pub(crate) fn max_tokens(&self) -> Tokens {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }
}

/// Tokens that a request used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub(crate) struct Usage {
    pub(crate) prompt_tokens: Tokens,
    pub(crate) completion_tokens: Tokens,
    pub(crate) cached_tokens: Tokens,
}

/// One event of a streamed response, or a complete response.
#[derive(Debug, Serialize)]
pub(crate) struct Chunk<'a> {
    pub(crate) id: &'a str,
    pub(crate) object: &'static str,
    pub(crate) model: &'a str,
    /// Offset of the first token of this chunk in the completion.
    pub(crate) offset: Tokens,
    pub(crate) choices: [Choice; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) usage: Option<Usage>,
}

/// Part of the completion. `delta` and `message` are of the chat API, `text` of the text API.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Choice {
    pub(crate) index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) delta: Option<Content>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) message: Option<Content>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) text: Option<String>,
    pub(crate) finish_reason: Option<&'static str>,
}

/// Text of a chat completion.
#[derive(Debug, Serialize)]
pub(crate) struct Content {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) content: Option<String>,
}
