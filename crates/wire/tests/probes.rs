//! Probes of peers that don't answer.

use socket2::{Domain, Socket, Type};
use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};
use tokio::runtime::Builder;
use wire::{LinkConfig, Links, ProbeOutcome, RegionSecret};

/// Longest time until a connection is open.
const LIMIT: Duration = Duration::from_secs(1);

fn probe(peer: SocketAddr) -> ProbeOutcome {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(wire::probe(peer, LIMIT))
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port")
}

/// A suspended process was taken for one that is gone, as its link is silent.
#[test]
fn a_process_that_accepts_and_sends_nothing_is_there() {
    let suspended = listener();
    assert_eq!(probe(suspended.local_addr().expect("bound")), ProbeOutcome::Accepted);
}

#[test]
fn a_daemon_that_runs_is_there() {
    let secret = RegionSecret::new("secret of the test region").expect("secret");
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let cfg = LinkConfig::new(String::from("a"), listen, secret);
    let daemon = Links::start(cfg, Arc::new(|_| ())).expect("a port");
    assert_eq!(probe(daemon.address()), ProbeOutcome::Accepted);
}

#[test]
fn a_process_that_has_ended_refuses() {
    let address = listener().local_addr().expect("bound");
    assert_eq!(probe(address), ProbeOutcome::Refused);
}

/// A process that is gone was taken for a suspended one, as a proxy accepts its connections.
#[test]
fn a_connection_that_is_closed_at_once_is_refused() {
    let proxy = listener();
    let address = proxy.local_addr().expect("bound");
    thread::spawn(move || proxy.incoming().for_each(drop));
    assert_eq!(probe(address), ProbeOutcome::Refused);
}

/// The queue of new connections is full, so that further ones get no response, as those to a host that is gone.
#[test]
fn a_host_that_doesnt_respond_is_unreachable() {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    socket.listen(0).expect("listening");
    let address = socket.local_addr().expect("bound").as_socket().expect("IPv4");
    let connect = |_| TcpStream::connect_timeout(&address, LIMIT / 10);
    let _queued: Vec<_> = (0..4).map(connect).collect();
    assert_eq!(probe(address), ProbeOutcome::NoResponse);
}
