//! The listening socket, the timeouts that accepted connections inherit from it, and the probe that
//! checks it.

use crate::{EdgeConfig, Error, Result};
use std::{
    io::{self, Read, Write},
    net::{Ipv4Addr, Ipv6Addr, SocketAddr, TcpListener, TcpStream},
    os::fd::OwnedFd,
    thread,
    time::Duration,
};

/// Path of the request by which a server checks that its own listener still accepts connections.
pub(crate) const PROBE_PATH: &str = "/toucansill/probe";
/// Longest wait for a probe's connection, and for its response.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest number of checks that a listener has closed.
const MAX_CLOSE_CHECKS: u32 = 200;
/// Delay after each of these checks.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Binds [`EdgeConfig::listen`] and sets the timeouts.
///
/// # Errors
///
/// Fails if the address can't be bound or a socket option can't be set.
pub(crate) fn bind(cfg: &EdgeConfig) -> Result<TcpListener> {
    let listener = TcpListener::bind(cfg.listen)
        .map_err(|e| Error::config(format!("can't listen on {}", cfg.listen), Some(e)))?;
    set_socket_options(&listener, cfg)
        .map_err(|e| Error::io("socket options of the listener not set".to_owned(), e))?;
    Ok(listener)
}

/// Sets socket options that accepted connections inherit, as `tiny_http` gives no access to its
/// connections. The standard library offers these options only on `TcpStream`, so the listener's
/// descriptor is wrapped in one.
fn set_socket_options(listener: &TcpListener, cfg: &EdgeConfig) -> io::Result<()> {
    let socket = TcpStream::from(OwnedFd::from(listener.try_clone()?));
    socket.set_read_timeout(Some(cfg.read_timeout))?;
    socket.set_write_timeout(Some(cfg.write_timeout))?;
    socket.set_nodelay(true)
}

/// Result of a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProbeResult {
    /// The server responded.
    Responding,
    /// The connection was not accepted in time, or no response came.
    Silent,
    /// The probe could not connect for another reason, for example a lack of file descriptors. It
    /// tells nothing about the listener.
    Inconclusive,
}

/// Sends one request to the server's own listener, whose address is `address`.
pub(crate) fn probe(address: SocketAddr) -> ProbeResult {
    let stream = match TcpStream::connect_timeout(&local_address(address), PROBE_TIMEOUT) {
        Ok(stream) => stream,
        // The backlog is full, as no thread accepts connections.
        Err(e) if e.kind() == io::ErrorKind::TimedOut => return ProbeResult::Silent,
        Err(_) => return ProbeResult::Inconclusive,
    };
    match send_probe(stream) {
        Ok(true) => ProbeResult::Responding,
        Ok(false) | Err(_) => ProbeResult::Silent,
    }
}

/// Waits until connections to the address are refused. The accept thread of `tiny_http` closes the
/// listener asynchronously, shortly after its server is dropped.
pub(crate) fn wait_until_closed(address: SocketAddr) {
    for _ in 0..MAX_CLOSE_CHECKS {
        match TcpStream::connect_timeout(&local_address(address), PROBE_TIMEOUT) {
            Ok(_) => thread::sleep(CLOSE_CHECK_INTERVAL),
            Err(_) => return,
        }
    }
    log::warn!("the listener at {address} still accepts connections");
}

/// Sends the probe's request. Returns whether any response came.
fn send_probe(mut stream: TcpStream) -> io::Result<bool> {
    stream.set_read_timeout(Some(PROBE_TIMEOUT))?;
    write!(stream, "GET {PROBE_PATH} HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n")?;
    let mut buf = [0; 16];
    Ok(stream.read(&mut buf)? > 0)
}

/// Address to connect to from the same host: loopback if the listener is bound to all addresses.
fn local_address(mut address: SocketAddr) -> SocketAddr {
    if address.ip().is_unspecified() {
        match address {
            SocketAddr::V4(_) => address.set_ip(Ipv4Addr::LOCALHOST.into()),
            SocketAddr::V6(_) => address.set_ip(Ipv6Addr::LOCALHOST.into()),
        }
    }
    address
}
