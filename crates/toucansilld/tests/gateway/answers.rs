//! Tests of faulty answers: refusals of earlier requests that come once more, and errors of an upstream
//! that is to resume a stream.

use super::{Region, eventually};
use crate::stand_ins::{Upstream, read_request};
use platform::stand_in::{
    DOCUMENT_PATH, NOT_RUN_HEADER_LINE, anonymous_turned_away_response, engine_document,
    mixed_document, parse_request_id, response_header_lines, turned_away_response, upstream_path,
};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// Statuses that tell a caller that its request hasn't run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Pause after which a refusal is written once more.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);
/// Time that the test gives an upstream to write it.
const REPEAT_TIME: Duration = Duration::from_millis(150);

/// Ids of the requests that an upstream has got.
type Requests = Arc<Mutex<Vec<String>>>;

fn request_id(head: &str) -> String {
    head.lines().find_map(parse_request_id).unwrap_or_default().to_owned()
}

/// Starts an upstream that keeps its connections open. It refuses the first request and writes the
/// refusal once more after a while, on the same connection; it runs all others.
fn start_repeating() -> (SocketAddr, Requests) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let requests = Requests::default();
    let seen = Arc::clone(&requests);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let seen = Arc::clone(&seen);
            thread::spawn(move || serve_repeating(stream, &seen));
        }
    });
    (address, requests)
}

fn serve_repeating(mut stream: TcpStream, requests: &Requests) {
    while let Some((head, _)) = read_request(&stream) {
        let id = request_id(&head);
        let is_first = {
            let mut requests = requests.lock().expect("not poisoned");
            requests.push(id.clone());
            requests.len() == 1
        };
        let response = match is_first {
            true => turned_away_response(&id, 0.0),
            false => {
                let lines = response_header_lines(&id);
                format!("HTTP/1.1 200 OK\r\n{lines}Content-Length: 2\r\n\r\nok")
            }
        };
        // A failure means that the connection is closed.
        let _ = stream.write_all(response.as_bytes());
        if is_first {
            thread::sleep(REPEAT_PAUSE);
            let _ = stream.write_all(response.as_bytes());
        }
    }
}

/// Starts a region with the routes of [`mixed_document`] and these upstreams of the plain service.
fn start_calls(addresses: &[SocketAddr]) -> Region {
    let mut region = Region::new(1);
    region.start_all(true);
    region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, &mixed_document(1));
    for (i, address) in addresses.iter().enumerate() {
        let body = platform::stand_in::registration_body(*address, "s2", 1, 1, "ready");
        region.control_request_until_ok(0, "PUT", &upstream_path(&format!("u{i}")), &body);
    }
    eventually("the entry has the document", || {
        region.request("/none/").filter(|(status, _)| *status == 404)
    });
    region
}

/// A refusal that comes once more on a connection that was kept must not be taken for the answer to the
/// next request: its caller would be told "not run" of a request that runs. Nothing was found: each
/// request has a connection of its own.
#[test]
fn a_refusal_that_comes_once_more_is_no_answer_to_the_next_request() {
    let (address, requests) = start_repeating();
    let region = start_calls(&[address]);
    eventually("a first request gets there", || {
        region.request("/call/1");
        (!requests.lock().expect("not poisoned").is_empty()).then_some(())
    });
    thread::sleep(REPEAT_TIME);
    let before = requests.lock().expect("not poisoned").len();
    let (status, body) = region.request("/call/2").expect("a response");
    assert_eq!((status, body.ends_with("ok")), (200, true), "{body}");
    assert_eq!(requests.lock().expect("not poisoned").len(), before + 1, "runs");
}

/// The same if the refusal of another request, or one of none, comes in place of the answer, on any
/// connection: whether the request runs is not known, so no caller may be told that it doesn't, and it
/// may not run at another upstream. Nothing was found.
#[test]
fn a_refusal_of_another_request_promises_nothing() {
    let refuse_other = |_: &str, _: &str| turned_away_response("another", 0.0);
    let refuse_none = |_: &str, _: &str| anonymous_turned_away_response(0.0);
    let late_answer = |head: &str, _: &str| {
        let id = request_id(head);
        let answer =
            format!("HTTP/1.1 200 OK\r\n{}Content-Length: 2\r\n\r\nok", response_header_lines(&id));
        turned_away_response("another", 0.0) + &answer
    };
    for script in [refuse_other as fn(&str, &str) -> String, refuse_none, late_answer] {
        let upstreams = [Upstream::scripted(script), Upstream::scripted(script)];
        let region = start_calls(&upstreams.each_ref().map(|upstream| upstream.address));
        let runs = || upstreams.iter().map(|upstream| upstream.runs().len()).sum::<usize>();
        // Until the entry has the directory, requests are refused, and rightly say that they haven't run.
        let status = eventually("a request reaches an upstream", || {
            let (status, _) = region.request("/call/1").expect("a response");
            (runs() > 0).then_some(status)
        });
        assert!(!PROMISES.contains(&status), "{status}");
        assert_eq!(runs(), 1, "runs");
    }
}

const START: &str = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";
const REST: &str = "id: 3\ndata: piece 3\n\n";
const ERROR_TEXT: &str = "something went wrong";

fn is_resumed(head: &str) -> bool {
    head.lines().any(|line| line.to_ascii_lowercase().starts_with("last-event-id:"))
}

/// Start of a stream in chunks, which breaks off.
fn broken_stream(head: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
         {:x}\r\n{START}\r\n40\r\nid: 3\nda",
        response_header_lines(&request_id(head)),
        START.len()
    )
}

/// Sends a request for a stream to two engines with this script. Returns the body that the caller gets
/// and the number of requests at the engines.
fn stream_of(
    script: impl Fn(&str, &str) -> String + Clone + Send + Sync + 'static,
) -> (String, usize) {
    let engines = [Upstream::scripted(script.clone()), Upstream::scripted(script)];
    let mut region = Region::new(1);
    region.start_all(true);
    region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, &engine_document(1, "/x/"));
    for (i, engine) in engines.iter().enumerate() {
        let path = upstream_path(&format!("u{i}"));
        region.control_request_until_ok(0, "PUT", &path, &engine.registration("s1", 1, "ready"));
    }
    let (_, body) =
        eventually("a stream", || region.request("/x/1").filter(|(status, _)| *status == 200));
    (body, engines.iter().map(|engine| engine.runs().len()).sum())
}

/// A stream has begun and breaks off, and the next engine answers with an error. The caller must get
/// neither its text nor its head, and must see that the stream isn't complete. Nothing was found.
#[test]
fn an_error_of_the_engine_that_is_to_resume_a_stream_is_not_passed_on() {
    let length = ERROR_TEXT.len();
    for error in [
        format!("500 Internal Server Error\r\nSIGNED\r\nContent-Length: {length}"),
        format!(
            "503 Service Unavailable\r\nSIGNED\r\n{NOT_RUN_HEADER_LINE}Content-Length: {length}"
        ),
        format!("503 Service Unavailable\r\nContent-Length: {length}"),
        format!("404 Not Found\r\nSIGNED\r\nContent-Length: {length}"),
        String::from("400 Bad Request\r\nSIGNED\r\nConnection: close"),
        format!("200 OK\r\nContent-Length: {length}"),
        format!("200 OK\r\nSIGNED\r\nContent-Encoding: gzip\r\nContent-Length: {length}"),
        format!("206 Partial Content\r\nSIGNED\r\nContent-Length: {length}"),
    ] {
        let answer = error.clone();
        let (body, requests) = stream_of(move |head, _| match is_resumed(head) {
            true => {
                let signed = response_header_lines(&request_id(head));
                let lines = answer.replace("SIGNED", signed.trim_end());
                format!("HTTP/1.1 {lines}\r\n\r\n{ERROR_TEXT}")
            }
            false => broken_stream(head),
        });
        assert!(requests >= 2, "{error}: not resumed");
        assert!(body.contains(START), "{error}: {body}");
        assert!(!body.contains("HTTP/1.") && !body.contains(ERROR_TEXT), "{error}: {body}");
        assert!(!body.ends_with("\r\n0\r\n\r\n"), "{error}: looks complete: {body}");
    }
}

/// An engine writes the head of another response into a stream that ends with its connection. It ends like
/// an event, and was passed on as one.
#[test]
fn a_head_within_a_stream_is_not_passed_on() {
    let (body, requests) = stream_of(|head, _| {
        let id = request_id(head);
        let signed = response_header_lines(&id);
        match is_resumed(head) {
            true => {
                let length = REST.len();
                format!("HTTP/1.1 200 OK\r\n{signed}Content-Length: {length}\r\n\r\n{REST}")
            }
            false => {
                let refusal = turned_away_response(&id, 0.0);
                format!("HTTP/1.1 200 OK\r\n{signed}Connection: close\r\n\r\n{START}{refusal}")
            }
        }
    });
    assert!(!body.contains("HTTP/1."), "{body}");
    assert!(requests >= 2, "not resumed");
    assert!(body.contains(REST) && body.ends_with("\r\n0\r\n\r\n"), "{body}");
}

/// Heads that are no response: a status that isn't one, and heads that break off after a line, or within one.
fn heads_that_are_no_response(id: &str) -> [String; 5] {
    let lines = response_header_lines(id);
    [
        format!("HTTP/1.1 000 None\r\n{lines}Content-Length: 2\r\n\r\nok"),
        format!("HTTP/1.1 200 OK\r\n{lines}Content-Length: 2\r\n"),
        format!("HTTP/1.1 200 OK\r\n{lines}"),
        format!("HTTP/1.1 200 OK\r\n{lines}Content-Le"),
        String::from("HTTP/1.1 200"),
    ]
}

/// Guards against such a head that is passed on to a caller as a response, of a call or of a stream. Nothing
/// was found: each is a failure of the upstream, after which the request may have run.
#[test]
fn a_head_that_is_no_response_is_not_passed_on() {
    for number in 0..heads_that_are_no_response("").len() {
        let script = move |head: &str, _: &str| {
            heads_that_are_no_response(&request_id(head))[number].clone()
        };
        let upstream = Upstream::scripted(script);
        let region = start_calls(&[upstream.address]);
        let engine = Upstream::scripted(script);
        let body = engine.registration("s1", 1, "ready");
        region.control_request_until_ok(0, "PUT", &upstream_path("e"), &body);
        for (path, upstream) in [("/call/1", &upstream), ("/stream/1", &engine)] {
            let (status, body) = eventually("a request reaches an upstream", || {
                let response = region.request(path).expect("a response");
                (!upstream.runs().is_empty()).then_some(response)
            });
            assert_eq!(status, 502, "{path}, head {number}: {body}");
        }
    }
}

/// Starts an upstream that responds to each request at once with a part of a response without a length, and
/// resets the connection while the request is being sent.
fn start_early() -> (SocketAddr, Requests) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let requests = Requests::default();
    let seen = Arc::clone(&requests);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut buf = vec![0; 4 << 10];
            let Ok(n) = stream.read(&mut buf) else { continue };
            let id = request_id(&String::from_utf8_lossy(&buf[..n]));
            let lines = response_header_lines(&id);
            let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\n{lines}\r\npart").as_bytes());
            seen.lock().expect("not poisoned").push(id);
            // More of the request has arrived by then, so that closing the connection resets it.
            thread::sleep(REPEAT_PAUSE);
        }
    });
    (address, requests)
}

/// Guards against a part of a response that a caller gets as a whole one: a long request is answered early, and
/// its connection is reset while the request is still being sent. Nothing was found here; see
/// `a_response_that_ends_during_the_request_is_incomplete` for a connection that ends before it is reset.
#[test]
fn a_part_of_an_early_response_is_not_passed_on_as_whole() {
    const BODY_BYTES: usize = 3 << 20;
    let (address, requests) = start_early();
    let region = start_calls(&[address]);
    let body = "x".repeat(BODY_BYTES);
    let (status, _) = eventually("a request gets there", || {
        let deadline = Duration::from_secs(5);
        let response = region.request_at(region.entry(), "/call/1", &body, deadline);
        response.filter(|_| !requests.lock().expect("not poisoned").is_empty())
    });
    assert_eq!(status, 502);
}
