//! Messages by which a daemon lets another one send requests to upstreams, as its own paths to them
//! are lost.
//!
//! A relayed message is the HTTP request that the upstream is to get, sent to the relay address of
//! the other daemon with a few more headers: what kind of message it is, and the upstream's name and
//! address. The response is the upstream's, or one with a header that says why there is none.

use http::{HeaderMap, HeaderName, HeaderValue};
use platform::head::end_to_end_headers;
use std::net::SocketAddr;
use wire::UpstreamId;

/// Kind of a relayed message: `request`, `order` or `check`.
const KIND: HeaderName = HeaderName::from_static("toucansill-relay-kind");
/// Name of the upstream.
const UPSTREAM: HeaderName = HeaderName::from_static("toucansill-relay-upstream");
/// Address of the upstream.
const ADDRESS: HeaderName = HeaderName::from_static("toucansill-relay-address");
/// Why the response is not the upstream's: `declined`, `unreachable`, `broken` or `unresponsive`.
const FAILURE: HeaderName = HeaderName::from_static("toucansill-relay-failure");

/// What is relayed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RelayedKind {
    /// Request of a caller.
    Request,
    /// Order to reserve or release memory.
    Order,
    /// Only a connection to the upstream, to see whether it accepts one.
    Check,
}

const KINDS: [(RelayedKind, &str); 3] = [
    (RelayedKind::Request, "request"),
    (RelayedKind::Order, "order"),
    (RelayedKind::Check, "check"),
];

/// Upstream that a message is sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Target {
    pub(crate) upstream: UpstreamId,
    pub(crate) address: SocketAddr,
}

/// Why a relay has no response of the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RelayFailure {
    /// It didn't try: its own paths are lost too, it is about to stop, it doesn't know the upstream, or
    /// the upstream wants no requests of it.
    Declined,
    /// The upstream accepted no connection.
    Unreachable,
    /// The connection broke. The upstream may have run the request.
    Broken,
    /// The upstream no longer responded to probes of the connection. It may have run the request.
    Unresponsive,
}

const FAILURES: [(RelayFailure, &str); 4] = [
    (RelayFailure::Declined, "declined"),
    (RelayFailure::Unreachable, "unreachable"),
    (RelayFailure::Broken, "broken"),
    (RelayFailure::Unresponsive, "unresponsive"),
];

/// Adds the headers of a relayed message.
pub(crate) fn address_message(headers: &mut HeaderMap, kind: RelayedKind, target: &Target) {
    let mut set = |name, value: &str| match HeaderValue::from_str(value) {
        Ok(value) => drop(headers.insert(name, value)),
        // The relay declines a message without it.
        Err(err) => log::error!("{value:?} not sent to a relay: {err}"),
    };
    set(KIND, name_of(&KINDS, kind));
    set(UPSTREAM, &target.upstream);
    set(ADDRESS, &target.address.to_string());
}

/// Reads and removes the headers of a relayed message, and those that concern only the connection to
/// the relay. `None` if one is missing or invalid.
pub(crate) fn take_address(headers: &mut HeaderMap) -> Option<(RelayedKind, Target)> {
    let kind = named(&KINDS, headers.get(KIND)?)?;
    let upstream = headers.get(UPSTREAM)?.to_str().ok()?.to_owned();
    let address = headers.get(ADDRESS)?.to_str().ok()?.parse().ok()?;
    *headers = end_to_end_headers(headers);
    [KIND, UPSTREAM, ADDRESS].into_iter().for_each(|name| drop(headers.remove(name)));
    Some((kind, Target { upstream, address }))
}

/// Headers of an upstream's response on its way back.
pub(crate) fn response_headers(upstream: &HeaderMap) -> HeaderMap {
    let mut headers = end_to_end_headers(upstream);
    headers.remove(FAILURE);
    headers
}

/// Header of a response that says why there is none of the upstream.
pub(crate) fn failure_header(failure: RelayFailure) -> (HeaderName, HeaderValue) {
    (FAILURE, HeaderValue::from_static(name_of(&FAILURES, failure)))
}

/// Why a relay has no response of the upstream; `None` if it has one.
pub(crate) fn read_failure(headers: &HeaderMap) -> Option<RelayFailure> {
    let value = headers.get(FAILURE)?;
    // A failure of a later build, which may have come after the request was sent.
    Some(named(&FAILURES, value).unwrap_or(RelayFailure::Broken))
}

fn name_of<T: Copy + PartialEq>(names: &[(T, &'static str)], value: T) -> &'static str {
    names.iter().find(|(named, _)| *named == value).map_or("", |(_, name)| name)
}

fn named<T: Copy>(names: &[(T, &'static str)], name: &HeaderValue) -> Option<T> {
    names.iter().find(|(_, known)| name.as_bytes() == known.as_bytes()).map(|(value, _)| *value)
}
