//! Tests exchanges with upstreams that are gone or don't keep to the protocol.

use http::Request;
use proxy::{ExchangeResponse, exchange};
use std::{fs, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Builder,
};

/// Time limit of each test. Only a failing test reaches it.
const TIMEOUT: Duration = Duration::from_secs(30);
/// State of a connection in `/proc/net/tcp` that is established.
const ESTABLISHED: &str = "01";
/// Timer of a connection in `/proc/net/tcp` that probes whether the other side still responds.
const PROBE_TIMER: &str = "02";

/// Runs a test on a runtime of its own, within [`TIMEOUT`].
fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        tokio::time::timeout(TIMEOUT, test).await.expect("in time");
    });
}

/// Sends a request to an upstream that reads it, responds with `response` and keeps the connection
/// open. Returns the response and the upstream's side of the connection.
async fn exchange_with(response: &[u8]) -> (ExchangeResponse, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listening");
    let address = listener.local_addr().expect("an address");
    let (parts, ()) = Request::get("/").body(()).expect("a request").into_parts();
    let upstream = async {
        let (mut stream, _) = listener.accept().await.expect("accepted");
        let mut buf = [0; 1024];
        let n = stream.read(&mut buf).await.expect("read");
        assert!(n > 0, "no request");
        stream.write_all(response).await.expect("written");
        stream
    };
    let (result, stream) =
        tokio::join!(exchange(address, TIMEOUT, parts, bytes::Bytes::new()), upstream);
    (result.expect("a response"), stream)
}

/// Timer of the connection from `local` to `remote` as `/proc/net/tcp` shows it: its kind, and when
/// it expires, in hundredths of a second.
fn timer(local: SocketAddr, remote: SocketAddr) -> (String, u64) {
    let format = |address: SocketAddr| format!("0100007F:{:04X}", address.port());
    let table = fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    let connection = table.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_connection =
            fields.get(1..4)? == [&format(local), &format(remote), ESTABLISHED].as_slice();
        let (kind, expiry) = fields.get(5)?.split_once(':')?;
        is_connection.then(|| (kind.to_owned(), u64::from_str_radix(expiry, 16).expect("hex")))
    });
    connection.expect("the connection is in the table")
}

/// Guards against a wait for the response of an upstream that is gone without having closed the
/// connection.
#[test]
fn an_idle_connection_to_an_upstream_is_probed_every_second() {
    run(async {
        let head = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n";
        let (_response, stream) = exchange_with(head).await;
        let (remote, local) =
            (stream.local_addr().expect("local"), stream.peer_addr().expect("peer"));
        let (kind, expiry) = timer(local, remote);
        assert_eq!(kind, PROBE_TIMER, "the connection isn't probed");
        assert!(expiry <= 100, "probed only after {expiry} hundredths of a second");
    });
}
