//! Completions of prompts that exceed the memory of one engine, on several engines.

mod common;

use common::{DEADLINE, client, collect, target};
use fake::{Engine, EngineConfig, completion_text, count_tokens};
use std::time::Instant;
use upstream::{
    StreamEvent,
    gang::{GangRequest, PromptSegment, split_prompt},
};
use wire::Verdict;

/// Memory of each engine, in tokens.
const MEMORY_TOKENS: u64 = 100;
const MAX_RESPONSE_TOKENS: u64 = 6;

/// A prompt that exceeds twice the memory of an engine.
fn prompt() -> String {
    (0..90).map(|n| format!("line {n:03}; ")).collect()
}

fn engines() -> Vec<Engine> {
    let start = |n: usize| {
        let id = format!("engine-{n}");
        let cfg = EngineConfig { id, memory_tokens: MEMORY_TOKENS, ..EngineConfig::default() };
        Engine::start(cfg).expect("a free port")
    };
    (0..3).map(start).collect()
}

fn request(engines: &[Engine]) -> GangRequest {
    let prompt = prompt();
    assert!(count_tokens(prompt.len() as u64) > 2 * MEMORY_TOKENS);
    let texts = split_prompt(&prompt, &[376, 376, 376]).expect("the sizes suffice");
    let segments = texts.iter().zip(engines).enumerate().map(|(n, (text, engine))| PromptSegment {
        target: target(&format!("engine-{n}"), engine),
        text: (*text).to_string(),
    });
    GangRequest {
        id: "r-1".to_string(),
        model: "small".to_string(),
        segments: segments.collect(),
        max_tokens: MAX_RESPONSE_TOKENS,
        headers: Vec::new(),
        deadline: Instant::now() + DEADLINE,
    }
}

/// Waits until the engines are idle, and asserts that they hold no memory.
fn assert_no_memory_used(engines: &[Engine]) {
    engines.iter().for_each(Engine::wait_idle);
    let used: Vec<u64> = engines.iter().map(Engine::memory_used).collect();
    assert_eq!(used, [0, 0, 0]);
}

#[test]
fn a_gang_yields_the_text_of_a_single_engine_and_returns_all_memory() {
    let engines = engines();
    let mut stream = client().stream_gang(request(&engines));
    let collected = collect(&mut stream, usize::MAX);
    assert_eq!(collected.text, completion_text(&prompt(), 0, MAX_RESPONSE_TOKENS));
    let Some(StreamEvent::Finished(finish)) = collected.last else {
        panic!("the stream must finish: {:?}", collected.last);
    };
    assert_eq!(finish.usage.prompt_tokens, count_tokens(prompt().len() as u64));
    let used: Vec<u64> = engines.iter().map(Engine::memory_used).collect();
    assert_eq!(used, [0, 0, 0], "must be released before the caller learns of the end");
}

#[test]
fn a_gang_returns_all_memory_when_an_engine_dies() {
    let engines = engines();
    engines[1].pause();
    let mut stream = client().stream_gang(request(&engines));
    engines[1].wait_admitted(1);
    assert!(engines[0].memory_used() > 0);
    engines[1].kill();
    let last = collect(&mut stream, usize::MAX).last;
    let Some(StreamEvent::Failed { error, .. }) = last else {
        panic!("the stream must fail: {last:?}");
    };
    assert_eq!(error.verdict(), Verdict::MayHaveRun);
    assert_eq!(
        engines[0].memory_used(),
        0,
        "must be released before the caller learns of the failure"
    );
    assert_no_memory_used(&engines);
}

#[test]
fn a_gang_returns_all_memory_when_its_caller_goes() {
    let _watchdog = fake::Watchdog::start("a_gang_returns_all_memory_when_its_caller_goes");
    let engines = engines();
    engines[2].hold_at(2);
    let mut stream = client().stream_gang(request(&engines));
    assert_eq!(collect(&mut stream, 2).last, None);
    assert!(engines.iter().all(|engine| engine.memory_used() > 0));
    drop(stream);
    assert_no_memory_used(&engines);
    assert_eq!(engines[2].stats().cancelled, 1);
}

#[test]
fn a_gang_whose_last_engine_lacks_memory_is_refused_and_releases_all_memory() {
    let _watchdog = fake::Watchdog::start(
        "a_gang_whose_last_engine_lacks_memory_is_refused_and_releases_all_memory",
    );
    let engines = engines();
    let mut req = request(&engines);
    req.max_tokens = MEMORY_TOKENS;
    let last = collect(&mut client().stream_gang(req), usize::MAX).last;
    let Some(StreamEvent::Failed { error, .. }) = last else {
        panic!("the stream must fail: {last:?}");
    };
    assert!(error.is_error_status(), "{error}");
    assert_no_memory_used(&engines);
}
