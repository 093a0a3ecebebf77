//! Faults that the proxy injects.

use fake::FaultProxy;
use std::{
    io::{ErrorKind, Read, Write},
    net::{TcpListener, TcpStream},
    time::{Duration, Instant},
};

/// A proxy, and both ends of a connection through it: the client's and the server's.
fn connected() -> (FaultProxy, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let proxy = FaultProxy::start(listener.local_addr().expect("bound")).expect("a port");
    let client = TcpStream::connect(proxy.address()).expect("accepted");
    let (server, _) = listener.accept().expect("forwarded");
    (proxy, client, server)
}

/// The next byte of a stream.
fn received_byte(stream: &mut TcpStream) -> u8 {
    let mut buf = [0];
    stream.read_exact(&mut buf).expect("a byte");
    buf[0]
}

#[test]
fn requests_arrive_while_responses_are_dropped() {
    let (proxy, mut client, mut server) = connected();
    server.write_all(b"a").expect("sent");
    assert_eq!(received_byte(&mut client), b'a');
    proxy.silence_responses();
    client.write_all(b"r").expect("sent");
    assert_eq!(received_byte(&mut server), b'r');
    server.write_all(b"b").expect("sent");
    // The end of the server's stream is not forwarded either: the client's connection stays open.
    drop(server);
    client.set_read_timeout(Some(Duration::from_millis(50))).expect("set");
    assert!(
        client.read(&mut [0]).is_err(),
        "expected a time-out: neither a byte nor the end of the stream"
    );
}

#[test]
fn responses_arrive_while_requests_are_dropped() {
    let (proxy, mut client, mut server) = connected();
    client.write_all(b"a").expect("sent");
    assert_eq!(received_byte(&mut server), b'a');
    proxy.silence_requests();
    server.write_all(b"r").expect("sent");
    assert_eq!(received_byte(&mut client), b'r');
    client.write_all(b"b").expect("sent");
    server.set_read_timeout(Some(Duration::from_millis(50))).expect("set");
    assert!(server.read(&mut [0]).is_err(), "expected a time-out");
}

#[test]
fn new_connections_hang_while_open_ones_work() {
    let (proxy, mut client, mut server) = connected();
    proxy.hang_new().expect("the port is still free");
    client.write_all(b"a").expect("sent");
    assert_eq!(received_byte(&mut server), b'a');
    let new = TcpStream::connect_timeout(&proxy.address(), Duration::from_millis(50));
    let hangs = |err: &std::io::Error| err.kind() == ErrorKind::TimedOut;
    assert!(new.as_ref().is_err_and(hangs), "expected a time-out: {new:?}");
    proxy.open().expect("the port is still free");
    TcpStream::connect(proxy.address()).expect("accepted");
}

#[test]
fn delayed_bytes_arrive_whole_and_in_order() {
    let (proxy, mut client, mut server) = connected();
    proxy.set_delay(Duration::from_millis(5));
    client.write_all(b"one").expect("sent");
    client.write_all(b"two").expect("sent");
    let mut buf = [0; 6];
    server.read_exact(&mut buf).expect("all bytes");
    assert_eq!(&buf, b"onetwo");
}

#[test]
fn bytes_arrive_at_the_rate_of_the_proxy_until_the_limit_ends() {
    const RATE: u64 = 10_000;
    let (proxy, mut client, mut server) = connected();
    proxy.set_rate(RATE);
    let sent: Vec<u8> = (0..100_000).map(|i| (i % 251) as u8).collect();
    client.write_all(&sent).expect("sent");
    let started = Instant::now();
    let mut received = vec![0; 2_000];
    server.read_exact(&mut received).expect("bytes");
    assert!(started.elapsed() >= Duration::from_millis(150), "faster than the rate");
    proxy.set_rate(0);
    let mut rest = vec![0; sent.len() - received.len()];
    server.read_exact(&mut rest).expect("bytes");
    assert!(started.elapsed() < Duration::from_secs(5), "the limit goes on");
    received.extend(rest);
    assert!(received == sent, "bytes are missing or out of order");
}
