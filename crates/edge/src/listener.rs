//! The listening socket, with the time limits that each connection inherits.

use crate::{EdgeConfig, Error, Result};
use std::{
    io::{self, Read, Write},
    net::{Ipv4Addr, Ipv6Addr, SocketAddr, TcpListener, TcpStream},
    os::fd::OwnedFd,
    thread,
    time::Duration,
};

/// Path of the requests by which a server checks its own listener.
pub(crate) const PROBE_PATH: &str = "/toucansill/probe";
/// Longest wait for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Checks that a listener has closed, at most.
const CLOSE_CHECKS: u32 = 200;
/// Time between two such checks.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Binds the address and sets the time limits.
pub(crate) fn bind(cfg: &EdgeConfig) -> Result<TcpListener> {
    let listener = TcpListener::bind(cfg.listen)
        .map_err(|e| Error::config(format!("can't listen on {}", cfg.listen), Some(e)))?;
    set_limits(&listener, cfg).map_err(|e| Error::io("limits of the listener".to_owned(), e))?;
    Ok(listener)
}

/// Sets socket options that accepted connections inherit, as tiny_http gives
/// no access to its connections. The standard library has these options on
/// streams only, which is the same socket type below.
fn set_limits(listener: &TcpListener, cfg: &EdgeConfig) -> io::Result<()> {
    let socket = TcpStream::from(OwnedFd::from(listener.try_clone()?));
    socket.set_read_timeout(Some(cfg.read_timeout))?;
    socket.set_write_timeout(Some(cfg.write_timeout))?;
    socket.set_nodelay(true)
}

/// What a probe found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Probe {
    /// The listener answered.
    Alive,
    /// No answer came.
    Silent,
    /// The probe itself could not run, for example without file descriptors.
    NotRun,
}

/// Sends one request to the server's own listener.
pub(crate) fn probe(address: SocketAddr) -> Probe {
    let stream = match TcpStream::connect_timeout(&reachable(address), PROBE_TIMEOUT) {
        Ok(stream) => stream,
        // The queue of connections is full, as no one accepts them.
        Err(e) if e.kind() == io::ErrorKind::TimedOut => return Probe::Silent,
        Err(_) => return Probe::NotRun,
    };
    match ask(stream) {
        Ok(true) => Probe::Alive,
        Ok(false) | Err(_) => Probe::Silent,
    }
}

/// Waits until no more connections are accepted. The accept thread of tiny_http
/// closes the listener on its own, a moment after its server is dropped.
pub(crate) fn wait_until_closed(address: SocketAddr) {
    for _ in 0..CLOSE_CHECKS {
        match TcpStream::connect_timeout(&reachable(address), PROBE_TIMEOUT) {
            Ok(_) => thread::sleep(CLOSE_CHECK_INTERVAL),
            Err(_) => return,
        }
    }
    log::warn!("the listener at {address} still accepts connections");
}

fn ask(mut stream: TcpStream) -> io::Result<bool> {
    stream.set_read_timeout(Some(PROBE_TIMEOUT))?;
    write!(stream, "GET {PROBE_PATH} HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n")?;
    let mut buf = [0; 16];
    Ok(stream.read(&mut buf)? > 0)
}

/// An address that a connection from this machine can use.
fn reachable(mut address: SocketAddr) -> SocketAddr {
    if address.ip().is_unspecified() {
        match address {
            SocketAddr::V4(_) => address.set_ip(Ipv4Addr::LOCALHOST.into()),
            SocketAddr::V6(_) => address.set_ip(Ipv6Addr::LOCALHOST.into()),
        }
    }
    address
}
