//! Tests exchanges with upstreams that are gone or don't keep to the protocol.

use http::Request;
use proxy::{
    BodyBudget, Connector, ExchangeError, ExchangeResponse, SHORT_BODY_BYTES, read_budgeted_body,
    read_response_body,
};
use socket2::SockRef;
use std::{fs, net::SocketAddr, pin::pin, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Builder,
    task::JoinHandle,
};

/// Time limit of each test. Only a failing test reaches it.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Number of bytes that an upstream may get rid of in a response without end, with those in buffers on
/// the way.
const MAX_FLOOD_BYTES: usize = 16 << 20;
/// Maximum length of a body in these tests, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Length of a body that doesn't fit into the buffers of a connection, in bytes.
const LONG_BODY_BYTES: usize = 32 << 20;
/// Time before an upstream reads it: longer than the probes of a silent connection take.
const LATE_READ: Duration = Duration::from_millis(4_500);
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

/// Sends a request without a body to an upstream.
async fn exchange(address: SocketAddr) -> Result<ExchangeResponse, ExchangeError> {
    let (parts, ()) = Request::get("/").body(()).expect("a request").into_parts();
    let stream = Connector::direct().connect(address, TIMEOUT).await.expect("connected");
    proxy::exchange(stream, parts, bytes::Bytes::new()).await
}

/// Sends a request to an upstream that reads it, responds with `response` and keeps the connection
/// open. Returns the response and the upstream's side of the connection.
async fn exchange_with(response: &[u8]) -> (ExchangeResponse, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listening");
    let address = listener.local_addr().expect("an address");
    let upstream = async {
        let (mut stream, _) = listener.accept().await.expect("accepted");
        let mut buf = [0; 1024];
        let n = stream.read(&mut buf).await.expect("read");
        assert!(n > 0, "no request");
        stream.write_all(response).await.expect("written");
        stream
    };
    let (result, stream) = tokio::join!(exchange(address), upstream);
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

/// Guards against probes that give up sooner or later than after 3 s: a `TCP_USER_TIMEOUT` would decide
/// it instead of their number.
#[test]
fn probes_give_up_after_three_seconds() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listening");
        let address = listener.local_addr().expect("an address");
        let stream = Connector::direct().connect(address, TIMEOUT).await.expect("connected");
        let socket = SockRef::from(&stream);
        assert!(socket.keepalive().expect("read"));
        let idle = socket.tcp_keepalive_time().expect("read");
        let interval = socket.tcp_keepalive_interval().expect("read");
        let retries = socket.tcp_keepalive_retries().expect("read");
        assert_eq!(idle + interval * retries, Duration::from_secs(3));
        assert_eq!(socket.tcp_user_timeout().expect("read"), None);
    });
}

/// Guards against a limit on the time for which sent data may wait at an upstream that is alive, such as
/// `TCP_USER_TIMEOUT` sets: it would break the connection to one that reads a long body late.
#[test]
fn an_upstream_that_reads_a_body_late_gets_it() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listening");
        let address = listener.local_addr().expect("an address");
        let body = vec![b'x'; LONG_BODY_BYTES];
        let upstream = async {
            let (mut stream, _) = listener.accept().await.expect("accepted");
            tokio::time::sleep(LATE_READ).await;
            let (mut buf, mut count) = (vec![0; 64 << 10], 0);
            while count < LONG_BODY_BYTES {
                let n = stream.read(&mut buf).await.expect("read");
                assert!(n > 0, "the connection ended after {count} bytes");
                count += n;
            }
            let response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            stream.write_all(response).await.expect("written");
        };
        let (parts, ()) = Request::post("/").body(()).expect("a request").into_parts();
        let exchange = async {
            let stream = Connector::direct().connect(address, TIMEOUT).await.expect("connected");
            proxy::exchange(stream, parts, body.into()).await
        };
        let (result, ()) = tokio::join!(exchange, upstream);
        assert_eq!(result.expect("a response").head.status, 200);
    });
}

/// Starts an upstream that responds to one request with `start` and then with `rest`, again and again
/// until the connection is closed. Returns its address, and the number of bytes that it sent.
async fn start_flood(start: &'static [u8], rest: &'static [u8]) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listening");
    let address = listener.local_addr().expect("an address");
    let flood = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accepted");
        let mut buf = [0; 1024];
        let n = stream.read(&mut buf).await.expect("read");
        assert!(n > 0, "no request");
        let mut count = 0;
        let mut next = start;
        while stream.write_all(next).await.is_ok() {
            count += next.len();
            next = rest;
        }
        count
    });
    (address, flood)
}

/// Sends a request and reads the whole response. Returns whether that succeeded.
async fn fetch(address: SocketAddr) -> bool {
    match exchange(address).await {
        Ok(mut response) => read_response_body(&mut response.body, MAX_BODY_BYTES).await.is_ok(),
        Err(_) => false,
    }
}

/// Guards against a response without end, in its head or its body, which fills the memory or is read
/// until the deadline of the request.
#[test]
fn a_response_without_end_is_an_error() {
    const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\n";
    let floods: [(&[u8], &[u8]); 6] = [
        (b"", b"\0\x01not a protocol"),
        (HEAD, b"a: b\r\n"),
        (b"HTTP/1.1 200 OK\r\na: ", b"bbbbbbbbbbbbbbbb"),
        (b"HTTP/1.1 200 OK\r\n\r\n", &[b'x'; 4096]),
        (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", b"4\r\nxxxx\r\n"),
        (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", b"a: b\r\n"),
    ];
    for (start, rest) in floods {
        run(async {
            let (address, flood) = start_flood(start, rest).await;
            assert!(!fetch(address).await, "{}", start.escape_ascii());
            let sent = flood.await.expect("ended");
            assert!(sent <= MAX_FLOOD_BYTES, "{}: {sent} bytes", start.escape_ascii());
        });
    }
}

/// Guards against interim responses without end that keep a request from being given up.
#[test]
fn a_request_can_be_given_up_while_interim_responses_arrive() {
    run(async {
        let (address, flood) = start_flood(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n").await;
        let given_up = tokio::time::timeout(Duration::from_millis(300), fetch(address)).await;
        assert!(given_up.is_err(), "no response is complete");
        flood.await.expect("the connection is closed");
    });
}

/// Sends a request with a long body to an upstream that responds at once with a part of a response without a
/// length, while it reads `read` bytes of the body, waits for `pause` and ends the connection. Returns whether
/// a complete response was received.
async fn is_complete_during_upload(read: usize, pause: Duration, is_reset: bool) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listening");
    let address = listener.local_addr().expect("an address");
    let upstream = async {
        let (mut stream, _) = listener.accept().await.expect("accepted");
        let mut buf = vec![0; 64 << 10];
        let mut count = stream.read(&mut buf).await.expect("read");
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\npart").await.expect("written");
        while count < read {
            count += stream.read(&mut buf).await.expect("read");
        }
        tokio::time::sleep(pause).await;
        if is_reset {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set");
        }
    };
    let (parts, ()) = Request::post("/").body(()).expect("a request").into_parts();
    let fetch = async {
        let stream = Connector::direct().connect(address, TIMEOUT).await.expect("connected");
        let body = vec![b'x'; LONG_BODY_BYTES].into();
        let mut response = proxy::exchange(stream, parts, body).await?;
        read_response_body(&mut response.body, MAX_BODY_BYTES).await
    };
    let (body, ()) = tokio::join!(fetch, upstream);
    body.is_ok()
}

/// Guards against a part of a response that is taken for the whole one: the response has no length, and the
/// connection is reset while the request is still being sent. The error of the reset may be reported to
/// the side that writes, and the side that reads then finds the end of the connection.
#[test]
fn a_response_whose_connection_is_reset_during_the_request_is_incomplete() {
    for read in [1, 100 << 10, 1 << 20, 8 << 20] {
        for pause_ms in [0, 1, 5, 30] {
            for _ in 0..8 {
                run(async {
                    let pause = Duration::from_millis(pause_ms);
                    let is_complete = is_complete_during_upload(read, pause, true).await;
                    assert!(!is_complete, "{read} bytes read, reset after {pause:?}");
                });
            }
        }
    }
}

/// Guards against the same if the upstream closes the connection with a part of the request unread, by which
/// it is reset too.
#[test]
fn a_response_whose_connection_is_closed_during_the_request_is_incomplete() {
    for read in [1, 1 << 20] {
        for pause_ms in [0, 5, 30] {
            for _ in 0..8 {
                run(async {
                    let pause = Duration::from_millis(pause_ms);
                    let is_complete = is_complete_during_upload(read, pause, false).await;
                    assert!(!is_complete, "{read} bytes read, closed after {pause:?}");
                });
            }
        }
    }
}

/// Guards against a status that no caller can make sense of, or a head that breaks off, which are passed on as
/// a response.
#[test]
fn a_head_that_is_no_response_is_an_error() {
    let heads: [&[u8]; 9] = [
        b"HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 099 None\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 1000 None\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK",
        b"HTTP/1.1 2",
    ];
    for head in heads {
        run(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("listening");
            let address = listener.local_addr().expect("an address");
            let upstream = async {
                let (mut stream, _) = listener.accept().await.expect("accepted");
                assert!(stream.read(&mut [0; 1024]).await.expect("read") > 0, "no request");
                stream.write_all(head).await.expect("written");
            };
            let (is_response, ()) = tokio::join!(fetch(address), upstream);
            assert!(!is_response, "{}", head.escape_ascii());
        });
    }
}

/// Guards against the same if the end of the connection comes before its reset: the upstream has closed it when
/// further bytes of the request arrive.
#[test]
fn a_response_that_ends_during_the_request_is_incomplete() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listening");
        let address = listener.local_addr().expect("an address");
        let upstream = async {
            let (mut stream, _) = listener.accept().await.expect("accepted");
            assert!(stream.read(&mut [0; 1024]).await.expect("read") > 0, "no request");
            stream.write_all(b"HTTP/1.1 200 OK\r\n\r\npart").await.expect("written");
            stream.shutdown().await.expect("shut down");
            tokio::time::sleep(Duration::from_millis(100)).await;
        };
        let (parts, ()) = Request::post("/").body(()).expect("a request").into_parts();
        let fetch = async {
            let stream = Connector::direct().connect(address, TIMEOUT).await.expect("connected");
            let body = vec![b'x'; LONG_BODY_BYTES].into();
            let mut response = proxy::exchange(stream, parts, body).await?;
            read_response_body(&mut response.body, MAX_BODY_BYTES).await
        };
        let (body, ()) = tokio::join!(fetch, upstream);
        assert!(body.is_err(), "{body:?}");
    });
}

/// A response with a length, or in chunks, is complete although the request isn't read yet.
#[test]
fn a_whole_response_during_the_request_is_complete() {
    let responses: [&[u8]; 2] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n",
    ];
    for response in responses {
        run(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("listening");
            let address = listener.local_addr().expect("an address");
            let upstream = async {
                let (mut stream, _) = listener.accept().await.expect("accepted");
                assert!(stream.read(&mut [0; 1024]).await.expect("read") > 0, "no request");
                stream.write_all(response).await.expect("written");
                stream
            };
            let (parts, ()) = Request::post("/").body(()).expect("a request").into_parts();
            let fetch = async {
                let stream =
                    Connector::direct().connect(address, TIMEOUT).await.expect("connected");
                let body = vec![b'x'; LONG_BODY_BYTES].into();
                let mut response = proxy::exchange(stream, parts, body).await?;
                read_response_body(&mut response.body, MAX_BODY_BYTES).await
            };
            let (body, _stream) = tokio::join!(fetch, upstream);
            assert_eq!(body.expect("a response"), "part");
        });
    }
}

/// Guards against long responses that together take more memory than there is for them. While too little is
/// free, a response is read no further; one with a short body isn't held up.
#[test]
fn long_responses_wait_for_memory() {
    const LONG: &[u8] = &[b'x'; SHORT_BODY_BYTES + 1];
    run(async {
        let budget = BodyBudget::new(MAX_BODY_BYTES as u64);
        let head = b"HTTP/1.1 200 OK\r\n\r\n";
        let (mut first, mut first_upstream) = exchange_with(head).await;
        let (mut second, mut second_upstream) = exchange_with(head).await;
        let (mut short, mut short_upstream) = exchange_with(head).await;
        for upstream in [&mut first_upstream, &mut second_upstream] {
            upstream.write_all(LONG).await.expect("written");
        }
        short_upstream.write_all(b"short").await.expect("written");
        drop((second_upstream, short_upstream));
        let mut read_first = pin!(read_budgeted_body(&mut first.body, MAX_BODY_BYTES, &budget));
        let mut read_second = pin!(read_budgeted_body(&mut second.body, MAX_BODY_BYTES, &budget));
        let pause = Duration::from_millis(100);
        assert!(tokio::time::timeout(pause, &mut read_first).await.is_err(), "not complete");
        assert!(tokio::time::timeout(pause, &mut read_second).await.is_err(), "no memory is left");
        let body = read_budgeted_body(&mut short.body, MAX_BODY_BYTES, &budget).await;
        assert_eq!(body.expect("a response"), "short");
        drop(first_upstream);
        assert_eq!(read_first.await.expect("a response").len(), LONG.len());
        assert_eq!(read_second.await.expect("a response").len(), LONG.len());
    });
}
