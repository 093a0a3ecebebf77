//! Validation of announcements, and the table of the upstreams that are alive.

use fake::{Engine, EngineConfig, Ramp};
use kernel::{Clock, ManualClock};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use upstream::{
    AnnouncedUpstreams, Announcement, ErrorReason,
    announce::{AnnouncedUpstreamsConfig, AnnouncementOutcome, MAX_ANNOUNCEMENT_BYTES},
};

fn announced(engine: &Engine) -> Announcement {
    let body = serde_json::to_vec(&engine.announcement()).expect("JSON");
    Announcement::parse(&body).expect("the announcement of a fake engine is valid")
}

fn example() -> Announcement {
    let engine = Engine::start(EngineConfig::default()).expect("a free port");
    announced(&engine)
}

#[test]
fn the_error_on_an_invalid_announcement_names_the_field() {
    let cases: [(&str, serde_json::Value); 9] = [
        ("id", "".into()),
        ("id", "a b".into()),
        ("address", "localhost:80".into()),
        ("data_centre", "x".repeat(129).into()),
        ("models", serde_json::json!([])),
        ("memory_tokens", 0.into()),
        ("prefill_tokens_per_s", 0.into()),
        ("decode_tokens_per_s", 0.into()),
        ("ramp.start_permille", 1001.into()),
    ];
    let engine = Engine::start(EngineConfig::default()).expect("a free port");
    for (field, value) in cases {
        let mut body = serde_json::to_value(engine.announcement()).expect("JSON");
        match field.split_once('.') {
            Some((outer, inner)) => {
                body[outer] = serde_json::json!({ "duration_ms": 1 });
                body[outer][inner] = value;
            }
            None => body[field] = value,
        }
        let e = Announcement::parse(body.to_string().as_bytes()).expect_err(field);
        assert_eq!((e.reason(), e.status()), (ErrorReason::Invalid, 400));
        assert!(e.message().starts_with(field), "{field}: {e}");
    }
    let e = Announcement::parse(&vec![b' '; MAX_ANNOUNCEMENT_BYTES + 1]).expect_err("too long");
    assert_eq!(e.reason(), ErrorReason::Invalid);
    assert!(Announcement::parse(b"{\"id\":").is_err());
    let mut body = serde_json::to_value(engine.announcement()).expect("JSON");
    body["adress"] = "127.0.0.1:1".into();
    let e = Announcement::parse(body.to_string().as_bytes()).expect_err("unknown");
    assert!(e.message().contains("adress"), "{e}");
}

#[test]
fn an_upstream_is_removed_when_its_announcement_lifetime_has_expired() {
    let cfg = AnnouncedUpstreamsConfig::default();
    let mut upstreams = AnnouncedUpstreams::new(cfg);
    let now = Instant::now();
    assert_eq!(upstreams.announce(example(), now).expect("accepted"), AnnouncementOutcome::Joined);
    let renewed = now + cfg.announcement_ttl / 2;
    assert_eq!(
        upstreams.announce(repeated_example(&upstreams), renewed),
        Ok(AnnouncementOutcome::Kept)
    );
    assert!(upstreams.expire(now + cfg.announcement_ttl).is_empty());
    let expired = upstreams.expire(renewed + cfg.announcement_ttl);
    assert_eq!(expired.len(), 1);
    assert!(upstreams.get("engine-1").is_none());
}

/// The announcement of `example` again.
fn repeated_example(upstreams: &AnnouncedUpstreams) -> Announcement {
    upstreams.get("engine-1").expect("alive").announcement.clone()
}

/// An upstream that returns after its announcement lifetime, before `expire` has removed it, must
/// not be treated as if it had never been gone.
#[test]
fn an_announcement_after_its_lifetime_starts_the_ramp_again() {
    let cfg = AnnouncedUpstreamsConfig::default();
    let mut upstreams = AnnouncedUpstreams::new(cfg);
    let now = Instant::now();
    let announcement = example();
    upstreams.announce(announcement.clone(), now).expect("accepted");
    let returned_at = now + cfg.announcement_ttl;
    assert_eq!(upstreams.announce(announcement, returned_at), Ok(AnnouncementOutcome::Joined));
    assert_eq!(upstreams.get("engine-1").expect("alive").first_seen, returned_at);
}

#[test]
fn an_older_incarnation_and_a_second_upstream_with_the_same_id_are_refused() {
    let mut upstreams = AnnouncedUpstreams::default();
    let now = Instant::now();
    let present = Announcement { incarnation: 5, ..example() };
    upstreams.announce(present.clone(), now).expect("accepted");
    let old = Announcement { incarnation: 4, ..present.clone() };
    let e = upstreams.announce(old, now).expect_err("stale");
    assert!(e.is_stale());
    let second = Announcement { address: "127.0.0.1:1".to_string(), ..present.clone() };
    let e = upstreams.announce(second, now).expect_err("in use");
    assert!(e.message().contains("in use"), "{e}");
    assert_eq!(upstreams.get("engine-1").expect("alive").announcement, present);
}

#[test]
fn a_full_table_refuses_new_upstreams_and_keeps_known_ones() {
    let cfg = AnnouncedUpstreamsConfig { capacity: 1, ..AnnouncedUpstreamsConfig::default() };
    let mut upstreams = AnnouncedUpstreams::new(cfg);
    let now = Instant::now();
    let announcement = example();
    upstreams.announce(announcement.clone(), now).expect("accepted");
    let new_upstream = Announcement { id: "engine-2".to_string(), ..announcement.clone() };
    assert_eq!(
        upstreams.announce(new_upstream, now).expect_err("full").reason(),
        ErrorReason::Full
    );
    assert_eq!(upstreams.announce(announcement, now), Ok(AnnouncementOutcome::Kept));
}

/// An engine that crashes in its ramp starts cold again. If the ramp went on, the engine would get
/// more than it can hold and crash again.
#[test]
fn an_engine_that_crashed_during_its_ramp_starts_the_ramp_again() {
    let clock = ManualClock::new();
    let ramp = Ramp { initial_share: 0.1, duration: Duration::from_secs(60) };
    let engine = Engine::start(EngineConfig {
        memory_tokens: 1_000,
        ramp: Some(ramp),
        clock: Arc::new(clock.clone()),
        ..EngineConfig::default()
    })
    .expect("a free port");
    let mut upstreams = AnnouncedUpstreams::default();
    upstreams.announce(announced(&engine), clock.now()).expect("accepted");
    // The ramp starts at a tenth of the memory, 100 tokens; the prompt has more.
    let prompt = "x".repeat(600);
    let body = serde_json::json!({ "model": "small", "prompt": prompt, "max_tokens": 1 });
    let url = format!("http://{}/v1/completions", engine.address());
    let is_served = || {
        let response = minreq::post(&url).with_body(body.to_string()).send();
        response.is_ok_and(|response| response.status_code == 200)
    };
    assert!(!is_served(), "a request beyond the ramp's share must crash the engine");
    assert_eq!(engine.stats().overloads, 1);
    engine.restart().expect("the same port");
    clock.advance(Duration::from_secs(1));
    let outcome = upstreams.announce(announced(&engine), clock.now());
    assert_eq!(outcome, Ok(AnnouncementOutcome::Restarted { from: 1 }));
    assert_eq!(upstreams.get("engine-1").expect("alive").first_seen, clock.now());
    clock.advance(ramp.duration);
    assert!(is_served());
}
