//! Tests of values that one daemon accepts and another one can't use.

use super::{Region, eventually};
use crate::stand_ins::Upstream;
use platform::stand_in::{
    DOCUMENT_PATH, document, document_with_times, odd_registration_bodies, registration_body,
    upstream_path,
};

/// An odd registration among those of the upstreams must be refused, and neither end a daemon nor stop one
/// from following the directory: requests go on, and so do changes.
#[test]
fn an_odd_registration_stops_no_daemon() {
    let mut region = Region::new(3);
    region.start_all(true);
    region.await_members(3);
    region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, &document(1, "/x/", "s1"));
    let upstreams = [Upstream::start("first"), Upstream::start("second")];
    let register = |region: &Region, i: usize| {
        let body = upstreams[i].registration("s1", 1, "ready");
        region.control_request_until_ok(i, "PUT", &upstream_path(&format!("u{i}")), &body);
    };
    register(&region, 0);
    eventually("a response", || region.request("/x/1").filter(|(s, _)| *s == 200));
    let odd = odd_registration_bodies(upstreams[0].address);
    let usual = registration_body(upstreams[0].address, "s1", 1, 1, "ready");
    for body in &odd {
        assert_ne!(*body, usual);
        for i in 0..3 {
            let response = region.control_request(i, "PUT", &upstream_path("odd"), body);
            let status = response.map(|(status, _)| status);
            assert_eq!(status, Some(400), "daemon {i}: {}", &body[..body.len().min(200)]);
        }
    }
    register(&region, 1);
    eventually("both upstreams get requests", || {
        region.request("/x/1");
        upstreams.iter().all(|upstream| !upstream.runs().is_empty()).then_some(())
    });
    assert!((0..4).all(|i| region.is_running(i)), "all daemons run");
}

/// Times of a configuration that no clock can add must not stop the daemons that serve its routes.
#[test]
fn long_times_of_a_configuration_stop_no_daemon() {
    let mut region = Region::new(1);
    region.start_all(true);
    let upstream = Upstream::start("here");
    let body = document_with_times(1, "/x/", "s1", "1.8e22");
    region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, &body);
    let path = &upstream_path("u1");
    region.control_request_until_ok(0, "PUT", path, &upstream.registration("s1", 1, "ready"));
    eventually("a response", || region.request("/x/1").filter(|(status, _)| *status == 200));
    assert!(region.is_running(0) && region.is_running(1));
}
