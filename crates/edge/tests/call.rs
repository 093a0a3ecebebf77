//! Parsing of calls, estimates of prompts, and checks of keys and tokens.

use edge::{ApiCall, ApiError, ApiKeys, ModelCall, OperatorToken, RequestHeaders, hash_key};
use http::Method;
use std::{fs, os::unix::fs::PermissionsExt};
use wire::Verdict;

fn json_headers() -> RequestHeaders {
    RequestHeaders {
        content_type: Some("application/json; charset=utf-8".to_owned()),
        ..RequestHeaders::default()
    }
}

fn post(path: &str, body: &str) -> Result<ApiCall, ApiError> {
    ApiCall::parse_parts(&Method::POST, path, "", &json_headers(), body.as_bytes())
}

fn chat(body: &str) -> ModelCall {
    match post("/v1/chat/completions", body) {
        Ok(ApiCall::Chat(call)) => call,
        other => panic!("not a chat call: {other:?}"),
    }
}

fn message(text: &str) -> String {
    let text = serde_json::to_string(text).expect("json");
    format!(r#"{{"model":"m","messages":[{{"role":"user","content":{text}}}]}}"#)
}

/// Content in parts, both names of the token limit (the newer one takes precedence) and fields
/// unknown to the system must not be lost or refused.
#[test]
fn a_chat_call_is_parsed() {
    let call = chat(
        r#"{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"12345678"}]}],
            "stream":true,"max_tokens":7,"max_completion_tokens":9,"top_k":3}"#,
    );
    assert_eq!((call.model.as_str(), call.stream, call.max_tokens), ("m", true, Some(9)));
    // 4 for the message, 1 for its role, 2 for 8 ASCII bytes.
    assert_eq!(call.prompt_tokens, 7);
}

/// Estimates must not depend on where a text is split for counting, nor count the bytes of
/// characters outside ASCII.
#[test]
fn tokens_are_estimated_by_characters() {
    let tokens = |text: &str| chat(&message(text)).prompt_tokens - chat(&message("")).prompt_tokens;
    assert_eq!(tokens(&"a".repeat(4000)), 1000);
    assert_eq!(tokens("a"), 1);
    assert_eq!(tokens("\u{e9}\u{20ac}\u{1f600}"), 3);
    assert_eq!(tokens(&"abcd\u{20ac}".repeat(300)), 600);
}

/// Hashes of equal prefixes must not differ, which would hide that an engine has the prefix in its
/// cache. Different prompts must not have equal hashes.
#[test]
fn prompts_share_hashes_up_to_the_block_where_they_differ() {
    let start = "a".repeat(5000);
    let one = chat(&message(&format!("{start}one{start}"))).prefix_hashes;
    let two = chat(&message(&format!("{start}two{start}"))).prefix_hashes;
    assert_eq!(one[..4], two[..4]);
    assert!(one[4..].iter().zip(&two[4..]).all(|(a, b)| a != b));
    assert_ne!(chat(&message("short")).prefix_hashes, chat(&message("other")).prefix_hashes);
}

/// Invalid calls must not be accepted, nor refused under a code that misleads the caller.
#[test]
fn each_invalid_call_has_its_own_error() {
    let json = json_headers();
    let text =
        RequestHeaders { content_type: Some("text/plain".to_owned()), ..RequestHeaders::default() };
    let post = Method::POST;
    let cases: &[(&Method, &str, &RequestHeaders, &str, u16, &str)] = &[
        (&Method::GET, "/v1/chat/completions", &json, "", 405, "method_not_allowed"),
        (&post, "/v1/models", &json, "", 405, "method_not_allowed"),
        (&post, "/v1/chat/completions", &text, "{}", 415, "unsupported_media_type"),
        (&post, "/v1/completions", &RequestHeaders::default(), "{}", 415, "unsupported_media_type"),
        (&post, "/v1/chat/completions", &json, "{\"model\":", 400, "invalid_json"),
        (&post, "/v1/chat/completions", &json, "{}", 400, "invalid_request"),
        (&post, "/v1/completions", &json, r#"{"model":"","prompt":"x"}"#, 400, "invalid_request"),
        (
            &post,
            "/v1/chat/completions",
            &json,
            r#"{"model":"m","messages":[]}"#,
            400,
            "invalid_request",
        ),
        (&post, "/v1/embeddings", &json, "{}", 404, "unknown_path"),
        (&post, "/nothing", &json, "{}", 404, "unknown_path"),
        (&post, "/..//x", &json, "{}", 404, "unknown_path"),
    ];
    for (method, path, headers, body, status, code) in cases {
        let e = ApiCall::parse_parts(method, path, "", headers, body.as_bytes()).expect_err(path);
        assert_eq!((e.status, e.code.as_str()), (*status, *code), "{path} {body}");
        assert_eq!(e.verdict, Verdict::NotRun);
    }
}

/// The target must not lose its query, and methods that aren't idempotent must not be retried.
#[test]
fn a_service_call_keeps_its_target_and_whether_its_method_is_idempotent() {
    let call = |m: Method| match ApiCall::parse_parts(
        &m,
        "/yard/plugs/7",
        "a=1",
        &RequestHeaders::default(),
        b"",
    ) {
        Ok(ApiCall::Service(call)) => call,
        other => panic!("not a service call: {other:?}"),
    };
    let get = call(Method::GET);
    assert_eq!((get.service.as_str(), get.target.as_str()), ("yard", "/plugs/7?a=1"));
    assert!(get.idempotent && call(Method::PUT).idempotent);
    assert!(!call(Method::POST).idempotent && !call(Method::PATCH).idempotent);
}

/// Arbitrary paths and bodies must not cause a panic.
#[test]
fn any_bytes_are_parsed_or_refused() {
    seeded::check().with_type::<(u8, Vec<u8>)>().for_each(|(path, body)| {
        let paths = ["/v1/chat/completions", "/v1/completions", "/v1/models"];
        let result = match paths.get(usize::from(*path)) {
            Some(path) => ApiCall::parse_parts(&Method::POST, path, "", &json_headers(), body),
            None => {
                let path = String::from_utf8_lossy(body);
                ApiCall::parse_parts(&Method::POST, &path, "", &json_headers(), body)
            }
        };
        if let Err(e) = result {
            assert!((400..500).contains(&e.status) && e.verdict == Verdict::NotRun);
        }
    });
}

/// A truncated body must not be accepted as a shorter prompt.
#[test]
fn any_prompt_is_parsed_and_refused_when_truncated() {
    seeded::check().with_type::<(String, u16)>().for_each(|(text, truncated_len)| {
        let body = message(text);
        let call = chat(&body);
        assert!(call.prompt_tokens >= 4 && !call.prefix_hashes.is_empty());
        let truncated_len = usize::from(*truncated_len) % body.len();
        let truncated = &body.as_bytes()[..truncated_len];
        let e = ApiCall::parse_parts(
            &Method::POST,
            "/v1/chat/completions",
            "",
            &json_headers(),
            truncated,
        );
        assert_eq!(e.expect_err("cut").code, "invalid_json");
    });
}

/// A key must not be attributed to another organisation, such as the last one compared.
#[test]
fn keys_are_found_by_hash() {
    let keys = ApiKeys::new([
        (hash_key("first"), "pacifico".to_owned()),
        (hash_key("second"), "kaltbrunn".to_owned()),
    ]);
    let headers_with =
        |key: &str| RequestHeaders { api_key: Some(key.to_owned()), ..RequestHeaders::default() };
    assert_eq!(keys.authenticate(&headers_with("first")).expect("known"), "pacifico");
    assert_eq!(keys.authenticate(&headers_with("second")).expect("known"), "kaltbrunn");
    assert_eq!(keys.authenticate(&headers_with("third")).expect_err("unknown").code, "unknown_key");
    assert_eq!(
        keys.authenticate(&RequestHeaders::default()).expect_err("missing").code,
        "missing_key"
    );
}

/// An operator token must not be short, nor readable by other users of the host.
#[test]
fn a_token_file_must_be_accessible_to_its_owner_only() {
    let dir = tempfile::tempdir().expect("dir");
    let path = dir.path().join("token");
    fs::write(&path, "0123456789abcdef\n").expect("write");
    fs::set_permissions(&path, fs::Permissions::from_mode(0o640)).expect("mode");
    assert!(OperatorToken::read(&path).is_err_and(|e| e.is_config()));
    fs::set_permissions(&path, fs::Permissions::from_mode(0o600)).expect("mode");
    let token = OperatorToken::read(&path).expect("token");
    let headers_with =
        |key: &str| RequestHeaders { api_key: Some(key.to_owned()), ..RequestHeaders::default() };
    assert!(token.authenticate(&headers_with("0123456789abcdef")).is_ok());
    assert_eq!(
        token.authenticate(&headers_with("0123456789abcdeg")).expect_err("wrong").code,
        "unknown_key"
    );
    fs::write(&path, "short").expect("write");
    assert!(OperatorToken::read(&path).is_err());
}
