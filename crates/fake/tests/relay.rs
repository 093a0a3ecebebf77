//! Faults of the relay.

use fake::FaultProxy;
use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    time::Duration,
};

/// A connection through a relay: the client's side and the server's.
fn connected() -> (FaultProxy, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let relay = FaultProxy::start(listener.local_addr().expect("bound")).expect("a port");
    let client = TcpStream::connect(relay.address()).expect("accepted");
    let (server, _) = listener.accept().expect("passed on");
    (relay, client, server)
}

fn received(stream: &mut TcpStream) -> u8 {
    let mut buf = [0];
    stream.read_exact(&mut buf).expect("a byte");
    buf[0]
}

#[test]
fn silenced_answers_let_requests_pass() {
    let (relay, mut client, mut server) = connected();
    server.write_all(b"a").expect("sent");
    assert_eq!(received(&mut client), b'a');
    relay.silence_responses();
    client.write_all(b"r").expect("sent");
    assert_eq!(received(&mut server), b'r');
    server.write_all(b"b").expect("sent");
    // The server's end is not passed on either: the client sees an open connection.
    drop(server);
    client.set_read_timeout(Some(Duration::from_millis(50))).expect("set");
    assert!(client.read(&mut [0]).is_err(), "neither a byte nor an end");
}

#[test]
fn delayed_bytes_arrive_whole_and_in_order() {
    let (relay, mut client, mut server) = connected();
    relay.set_delay(Duration::from_millis(5));
    client.write_all(b"one").expect("sent");
    client.write_all(b"two").expect("sent");
    let mut buf = [0; 6];
    server.read_exact(&mut buf).expect("all bytes");
    assert_eq!(&buf, b"onetwo");
}
