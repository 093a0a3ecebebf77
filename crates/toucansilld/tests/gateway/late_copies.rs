//! Tests of copies of orders and reports that arrive after later ones. A partition holds up the bytes of a
//! caller that has sent the same again to another daemon meanwhile, and closed the connection.
//!
//! docs/notes/late-copies.md lists all orders and reports.

use crate::{
    region::{Region, eventually},
    stand_ins::Upstream,
};
use platform::stand_in::{
    DOCUMENT_PATH, document, out_of_service_path, registration_body, upstream_path,
};
use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Round trip of a caller's path. After a partition, the end of a connection follows its last bytes by so
/// much.
const ROUND_TRIP: Duration = Duration::from_millis(6);
/// Time by which a daemon has carried out what has arrived.
const SETTLING_TIME: Duration = Duration::from_millis(1_500);
/// Time by which a member has forwarded an order.
const FORWARDING_TIME: Duration = Duration::from_millis(300);
/// Data centre of the upstream.
const DATA_CENTRE: &str = "dc-1";

/// Starts a group of three, with an upstream that gets requests.
fn start(region: &mut Region, upstream: &Upstream) {
    region.start_all(true);
    region.await_members(3);
    region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, &document(1, "/x/", "s1"));
    register(region, upstream, 1);
    eventually("a response", || (status(region) == Some(200)).then_some(()));
}

/// Registers the upstream, whose runs are numbered by their sequence here.
fn register(region: &Region, upstream: &Upstream, sequence: u64) {
    let body = upstream.registration("s1", sequence, "ready");
    region.control_request_until_ok(0, "PUT", &upstream_path("u1"), &body);
}

/// Status of a caller's request.
fn status(region: &Region) -> Option<u16> {
    region.request("/x/").map(|(status, _)| status)
}

/// Sends a request without a body to a control daemon as it arrives after a partition: its caller has
/// closed the connection.
fn deliver_late(region: &Region, i: usize, method: &str, path: &str) {
    let mut stream = TcpStream::connect(region.control_address(i)).expect("a connection");
    let head = format!("{method} {path} HTTP/1.1\r\nHost: control\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("written");
    thread::sleep(ROUND_TRIP);
    stream.shutdown(Shutdown::Write).expect("closed");
    thread::sleep(SETTLING_TIME);
}

/// Guards against a withdrawal of an evacuation that is carried out after a later evacuation, which was
/// acknowledged.
#[test]
fn a_late_copy_of_a_withdrawal_leaves_the_data_centre_out_of_service() {
    let mut region = Region::new(3);
    let upstream = Upstream::start("u1");
    start(&mut region, &upstream);
    let path = out_of_service_path(DATA_CENTRE);
    for method in ["POST", "DELETE", "POST"] {
        region.control_request_until_ok(1, method, &path, "");
    }
    for i in 0..3 {
        deliver_late(&region, i, "DELETE", &path);
        assert_ne!(status(&region), Some(200), "a copy at daemon {i}");
    }
}

/// Guards against the same the other way round: an evacuation that is carried out after it was withdrawn.
#[test]
fn a_late_copy_of_an_evacuation_leaves_the_data_centre_in_service() {
    let mut region = Region::new(3);
    let upstream = Upstream::start("u1");
    start(&mut region, &upstream);
    let path = out_of_service_path(DATA_CENTRE);
    for method in ["POST", "DELETE"] {
        region.control_request_until_ok(1, method, &path, "");
    }
    for i in 0..3 {
        deliver_late(&region, i, "POST", &path);
        assert_eq!(status(&region), Some(200), "a copy at daemon {i}");
    }
}

/// Guards against a deregistration of a former run of an upstream that ends the run which is there when it
/// arrives.
#[test]
fn a_late_copy_of_a_deregistration_leaves_the_next_run_registered() {
    let mut region = Region::new(3);
    let upstream = Upstream::start("u1");
    start(&mut region, &upstream);
    for i in 0..3 {
        deliver_late(&region, i, "DELETE", &upstream_path("u1"));
        register(&region, &upstream, 2 + i as u64);
        assert_eq!(status(&region), Some(200), "a copy at daemon {i}");
    }
}

/// Guards against documents and registrations that undo later ones of their kind.
#[test]
fn late_copies_of_documents_and_registrations_change_nothing() {
    let mut region = Region::new(3);
    let upstream = Upstream::start("u1");
    start(&mut region, &upstream);
    let register = |run: u64, sequence: u64, state: &str| {
        let body = registration_body(upstream.address, "s1", run, sequence, state);
        region.control_request_until_ok(0, "PUT", &upstream_path("u1"), &body);
    };
    region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, &document(3, "/x/", "s1"));
    region.control_request_until_ok(1, "PUT", DOCUMENT_PATH, &document(2, "/y/", "s1"));
    assert_eq!(status(&region), Some(200), "an older document");
    register(2, 1, "ready");
    register(1, 9, "draining");
    assert_eq!(status(&region), Some(200), "a registration of the former run");
    register(2, 5, "draining");
    register(2, 4, "ready");
    assert_ne!(status(&region), Some(200), "an older registration of this run");
    register(3, 1, "ready");
    region.control_request_until_ok(1, "DELETE", &upstream_path("u1"), "");
    register(3, 2, "ready");
    assert_ne!(status(&region), Some(200), "a registration from before the deregistration");
}

/// Guards against the same if the link from a member to the leader holds up an order that the member
/// forwards, and the member ends. Its caller has gone on to the leader itself.
#[test]
fn a_late_copy_from_a_member_leaves_the_data_centre_out_of_service() {
    let mut region = Region::new(3);
    let links: Vec<Vec<HeldPath>> = (0..3)
        .map(|_| (0..3).map(|i| HeldPath::start(region.links_address(i))).collect())
        .collect();
    for (i, paths) in links.iter().enumerate() {
        let others = paths.iter().enumerate().filter(|(other, _)| *other != i);
        let routes = others.map(|(other, path)| (region.links_address(other), path.address));
        region.set_routes(i, routes.collect());
    }
    let upstream = Upstream::start("u1");
    start(&mut region, &upstream);
    let leader = region.await_leader(3);
    let member = (leader + 1) % 3;
    let path = out_of_service_path(DATA_CENTRE);
    region.control_request_until_ok(leader, "POST", &path, "");
    links[member][leader].hold(true);
    let head = format!("DELETE {path} HTTP/1.1\r\nHost: control\r\n\r\n");
    let mut stream = TcpStream::connect(region.control_address(member)).expect("a connection");
    stream.write_all(head.as_bytes()).expect("written");
    thread::sleep(FORWARDING_TIME);
    region.kill(member);
    for method in ["DELETE", "POST"] {
        region.control_request_until_ok(leader, method, &path, "");
    }
    links[member][leader].hold(false);
    thread::sleep(SETTLING_TIME);
    assert!(region.leads(leader), "another leader would refuse the copy anyway");
    assert_ne!(status(&region), Some(200));
}

/// A path to a daemon that can be held up: what is sent meanwhile arrives in order afterwards, whatever has
/// become of the sender.
struct HeldPath {
    address: SocketAddr,
    is_held: Arc<AtomicBool>,
}

impl HeldPath {
    fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.2:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let is_held = Arc::new(AtomicBool::new(false));
        let held = Arc::clone(&is_held);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else { continue };
                let back =
                    (far.try_clone().expect("a socket"), near.try_clone().expect("a socket"));
                let held = Arc::clone(&held);
                thread::spawn(move || pass(near, far, &held));
                thread::spawn(move || pass(back.0, back.1, &AtomicBool::new(false)));
            }
        });
        Self { address, is_held }
    }

    fn hold(&self, is_held: bool) {
        self.is_held.store(is_held, Ordering::SeqCst);
    }
}

/// Passes bytes on, and the end of the connection, while the path isn't held up.
fn pass(mut from: TcpStream, mut to: TcpStream, is_held: &AtomicBool) {
    let mut buf = [0; 64 * 1024];
    loop {
        let n = from.read(&mut buf).unwrap_or(0);
        while is_held.load(Ordering::SeqCst) {
            thread::sleep(ROUND_TRIP);
        }
        if n == 0 || to.write_all(&buf[..n]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
        // The next packet follows when this one has been acknowledged.
        thread::sleep(ROUND_TRIP);
    }
}
