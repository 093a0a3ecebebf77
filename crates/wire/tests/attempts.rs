//! What is known of an attempt to connect while it goes on.

use std::{
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};
use wire::{LinkConfig, LinkFailureKind, Links, Message, RegionSecret};

/// Time for the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for a condition that a test waits for.
const TIMEOUT: Duration = Duration::from_secs(10);

fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TIMEOUT, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against a peer that counts as reached for as long as a handshake may take, while it accepts
/// connections and answers nothing on them.
#[test]
fn an_attempt_to_connect_is_known_while_it_goes_on() {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let secret = RegionSecret::new("a secret of this test").expect("a secret");
    let mut cfg = LinkConfig::new(String::from("client"), any, secret);
    cfg.handshake_timeout = HANDSHAKE_TIMEOUT;
    cfg.connect_attempts = 1;
    let client = Links::start(cfg, Arc::new(drop)).expect("links");
    let silent = TcpListener::bind(any).expect("a free port");
    let peer = silent.local_addr().expect("an address");
    assert_eq!(client.connecting_for(peer), None);
    client.notify(peer, Message { service: String::from("s"), body: Vec::new() });
    let goes_on = || client.connecting_for(peer).is_some_and(|time| time >= HANDSHAKE_TIMEOUT / 3);
    wait_for("an attempt that goes on", goes_on);
    assert_eq!(client.last_failure(peer), None);
    wait_for("its end", || client.connecting_for(peer).is_none());
    assert_eq!(client.last_failure(peer).map(|f| f.kind), Some(LinkFailureKind::NoHandshake));
}
