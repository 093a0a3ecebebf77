//! Calls of the API, parsed from method, path and body of a request.

use crate::{ApiError, CallerRequest, RequestHeaders, estimate};
use http::Method;
use wire::{
    ModelId, ServiceId, Tokens,
    border::chat::{ChatCompletionRequest, ChatMessage, CompletionRequest, Content},
};

/// Prefix of the paths of the system's own API, which never lead to a plain service.
const API_PREFIX: &str = "/v1/";
/// Estimate of the tokens that a chat template adds to each message.
const TEMPLATE_TOKENS_PER_MESSAGE: Tokens = 4;

/// A parsed API call.
#[derive(Clone, Debug)]
pub enum ApiCall {
    /// `POST /v1/chat/completions`.
    Chat(ModelCall),
    /// `POST /v1/completions`.
    Completion(ModelCall),
    /// `GET /v1/models`.
    Models,
    /// Any method on `/{service}/...`.
    Service(ServiceCall),
}

/// What admission and placement need to know of a call to a model. The engine gets the body of the
/// request unchanged.
#[derive(Clone, Debug)]
pub struct ModelCall {
    /// Name of the requested model, not empty.
    pub model: ModelId,
    /// Whether the response is a stream of events.
    pub stream: bool,
    /// Largest number of tokens to generate, if the caller sets it.
    pub max_tokens: Option<Tokens>,
    /// Estimate of the number of tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Hashes of the first blocks of 1024 bytes of the prompt, at most 16. Each covers the prompt
    /// from its start, so two prompts have equal hashes up to the block in which they differ.
    pub prefix_hashes: Vec<PrefixHash>,
}

/// Hash of a prompt from its start to the end of a block: the first 8 bytes of a SHA-256.
pub type PrefixHash = u64;

/// Call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// First segment of the path.
    pub service: ServiceId,
    /// Rest of the path, starting with its slash, and the query.
    pub target: String,
    /// Whether the HTTP method is idempotent, so that a call may be retried after it has run.
    pub idempotent: bool,
}

impl ApiCall {
    /// Parses a request.
    ///
    /// # Errors
    ///
    /// Refuses an unknown path, a wrong method, a wrong content type and an invalid body, each with
    /// its own code and with the verdict that the request has not run.
    pub fn parse(req: &CallerRequest) -> Result<Self, ApiError> {
        Self::parse_parts(&req.method, &req.path, &req.query, &req.headers, &req.body)
    }

    /// Parses the parts of a request.
    ///
    /// # Errors
    ///
    /// As [`parse`](Self::parse).
    pub fn parse_parts(
        method: &Method,
        path: &str,
        query: &str,
        headers: &RequestHeaders,
        body: &[u8],
    ) -> Result<Self, ApiError> {
        match path {
            "/v1/chat/completions" => {
                check_post_json(method, headers)?;
                parse_chat(body).map(Self::Chat)
            }
            "/v1/completions" => {
                check_post_json(method, headers)?;
                parse_completion(body).map(Self::Completion)
            }
            "/v1/models" => check_method(method, &Method::GET).map(|()| Self::Models),
            _ => parse_service(method, path, query).map(Self::Service),
        }
    }
}

fn parse_chat(body: &[u8]) -> Result<ModelCall, ApiError> {
    let req: ChatCompletionRequest = parse_json(body)?;
    if req.messages.is_empty() {
        return Err(invalid_field("messages", "is empty"));
    }
    let texts = || req.messages.iter().flat_map(message_texts);
    let template_tokens = TEMPLATE_TOKENS_PER_MESSAGE * req.messages.len() as Tokens;
    Ok(ModelCall {
        model: check_model(&req.model)?,
        stream: req.stream,
        max_tokens: req.max_completion_tokens.or(req.max_tokens).map(u64::from),
        prompt_tokens: template_tokens + texts().map(estimate::token_count).sum::<Tokens>(),
        prefix_hashes: estimate::prefix_hashes(texts()),
    })
}

fn parse_completion(body: &[u8]) -> Result<ModelCall, ApiError> {
    let req: CompletionRequest = parse_json(body)?;
    Ok(ModelCall {
        model: check_model(&req.model)?,
        stream: req.stream,
        max_tokens: req.max_tokens.map(u64::from),
        prompt_tokens: estimate::token_count(&req.prompt),
        prefix_hashes: estimate::prefix_hashes([req.prompt.as_str()].into_iter()),
    })
}

fn parse_service(method: &Method, path: &str, query: &str) -> Result<ServiceCall, ApiError> {
    let unknown_path = || ApiError::refusal(404, "unknown_path", format!("no such path: {path}"));
    if path.starts_with(API_PREFIX) {
        return Err(unknown_path());
    }
    let rest = path.strip_prefix('/').ok_or_else(unknown_path)?;
    let (service, tail) = rest.split_once('/').ok_or_else(unknown_path)?;
    if !is_service_name(service) {
        return Err(unknown_path());
    }
    let target = match query {
        "" => format!("/{tail}"),
        query => format!("/{tail}?{query}"),
    };
    Ok(ServiceCall { service: service.to_owned(), target, idempotent: method.is_idempotent() })
}

/// Role and texts of a message, in order.
fn message_texts(message: &ChatMessage) -> impl Iterator<Item = &str> {
    let (text, parts) = match &message.content {
        Some(Content::Text(text)) => (Some(text.as_str()), &[][..]),
        Some(Content::Parts(parts)) => (None, parts.as_slice()),
        Some(Content::Nothing) | None => (None, &[][..]),
    };
    let parts = parts.iter().filter_map(|p| p.text.as_deref());
    [message.role.as_str()].into_iter().chain(text).chain(parts)
}

fn parse_json<'a, T: serde::Deserialize<'a>>(body: &'a [u8]) -> Result<T, ApiError> {
    serde_json::from_slice(body).map_err(|e| match e.classify() {
        serde_json::error::Category::Data => {
            ApiError::refusal(400, "invalid_request", format!("the body does not fit: {e}"))
        }
        _ => ApiError::refusal(400, "invalid_json", format!("the body is not JSON: {e}")),
    })
}

fn check_model(model: &str) -> Result<ModelId, ApiError> {
    match model.is_empty() {
        true => Err(invalid_field("model", "is empty")),
        false => Ok(model.to_owned()),
    }
}

fn invalid_field(field: &str, reason: &str) -> ApiError {
    ApiError::refusal(400, "invalid_request", format!("field {field} {reason}"))
}

fn check_post_json(method: &Method, headers: &RequestHeaders) -> Result<(), ApiError> {
    check_method(method, &Method::POST)?;
    let content_type = headers.content_type.as_deref().unwrap_or_default();
    let media_type = content_type.split(';').next().unwrap_or_default().trim();
    match media_type.eq_ignore_ascii_case("application/json") {
        true => Ok(()),
        false => {
            let message = format!("content type must be application/json, not {content_type:?}");
            Err(ApiError::refusal(415, "unsupported_media_type", message))
        }
    }
}

fn check_method(method: &Method, expected: &Method) -> Result<(), ApiError> {
    match method == expected {
        true => Ok(()),
        false => {
            let message = format!("method must be {expected}, not {method}");
            Err(ApiError::refusal(405, "method_not_allowed", message))
        }
    }
}

/// Whether a path segment is a valid name of a service.
fn is_service_name(segment: &str) -> bool {
    let valid = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !segment.is_empty() && !segment.starts_with('.') && segment.bytes().all(valid)
}
