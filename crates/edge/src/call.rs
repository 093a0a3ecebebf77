//! What a caller asks for, read from path, method and body.

use crate::{ApiError, CallerRequest, RequestHeaders, estimate};
use http::Method;
use wire::{
    ModelId, ServiceId, Tokens,
    border::chat::{ChatCompletionRequest, ChatMessage, CompletionRequest, Content},
};

/// Paths under this are the API of the system itself, not a plain service.
const API_PREFIX: &str = "/v1/";
/// Tokens that a chat template adds to each message.
const TOKENS_PER_MESSAGE: Tokens = 4;

/// One call of a caller.
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

/// What routing and admission need to know of a call to a model. The body goes
/// to the engine as it came.
#[derive(Clone, Debug)]
pub struct ModelCall {
    /// Model that is asked for.
    pub model: ModelId,
    /// Whether tokens are sent one by one.
    pub stream: bool,
    /// Most tokens to generate, if the caller says so.
    pub max_tokens: Option<Tokens>,
    /// Estimate of the tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Hashes of the first blocks of the prompt, each including those before it.
    pub prefix_hashes: Vec<PrefixHash>,
}

/// Hash of a prompt from its start to the end of a block.
pub type PrefixHash = u64;

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// First segment of the path.
    pub service: ServiceId,
    /// The rest of the path, from its slash, with the query.
    pub target: String,
    /// Whether the method may be repeated without harm.
    pub idempotent: bool,
}

impl ApiCall {
    /// Reads a request.
    ///
    /// # Errors
    ///
    /// An unknown path, a wrong method, a wrong content type and a body that
    /// can't be read are each refused under their own code, as not run.
    pub fn parse(req: &CallerRequest) -> Result<Self, ApiError> {
        Self::parse_parts(&req.method, &req.path, &req.query, &req.headers, &req.body)
    }

    /// Reads the parts of a request.
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
    let texts = || req.messages.iter().flat_map(texts_of);
    let overhead = TOKENS_PER_MESSAGE * req.messages.len() as Tokens;
    Ok(ModelCall {
        model: check_model(&req.model)?,
        stream: req.stream,
        max_tokens: req.max_completion_tokens.or(req.max_tokens).map(u64::from),
        prompt_tokens: overhead + texts().map(estimate::tokens).sum::<Tokens>(),
        prefix_hashes: estimate::prefix_hashes(texts()),
    })
}

fn parse_completion(body: &[u8]) -> Result<ModelCall, ApiError> {
    let req: CompletionRequest = parse_json(body)?;
    Ok(ModelCall {
        model: check_model(&req.model)?,
        stream: req.stream,
        max_tokens: req.max_tokens.map(u64::from),
        prompt_tokens: estimate::tokens(&req.prompt),
        prefix_hashes: estimate::prefix_hashes([req.prompt.as_str()].into_iter()),
    })
}

fn parse_service(method: &Method, path: &str, query: &str) -> Result<ServiceCall, ApiError> {
    let unknown = || ApiError::refusal(404, "unknown_path", format!("no such path: {path}"));
    if path.starts_with(API_PREFIX) {
        return Err(unknown());
    }
    let rest = path.strip_prefix('/').ok_or_else(unknown)?;
    let (service, tail) = rest.split_once('/').ok_or_else(unknown)?;
    if !is_name(service) {
        return Err(unknown());
    }
    let target = match query {
        "" => format!("/{tail}"),
        query => format!("/{tail}?{query}"),
    };
    Ok(ServiceCall { service: service.to_owned(), target, idempotent: method.is_idempotent() })
}

/// The role and texts of a message, in order.
fn texts_of(message: &ChatMessage) -> impl Iterator<Item = &str> {
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

fn check_method(method: &Method, wanted: &Method) -> Result<(), ApiError> {
    match method == wanted {
        true => Ok(()),
        false => {
            let message = format!("method must be {wanted}, not {method}");
            Err(ApiError::refusal(405, "method_not_allowed", message))
        }
    }
}

fn is_name(segment: &str) -> bool {
    let valid = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !segment.is_empty() && !segment.starts_with('.') && segment.bytes().all(valid)
}
