//! Renewals through a relay. Each daemon must get the reply that it would have got
//! directly, and the size of a batch must not grow by a full set of changes for each
//! daemon.

mod common;

use common::{holder, join, sheet};
use control::{
    Leases, Renewal, RenewalReply, Session, State, decode, encode,
    relay::{self, MAX_DIRECT_MEMBERS, RenewalBatch, RenewalCollector, RenewalPath, ReplyBatch},
};
use std::{collections::BTreeSet, time::Instant};

/// Returns a state with this many members, spread over two data centres.
fn region(daemons: usize) -> State {
    let mut state = State::new();
    for number in 0..daemons {
        let data_centre = format!("dc-{}", number % 2);
        state.apply(1 + number as u64, &join(&format!("d{number:03}"), 1, &data_centre));
    }
    state
}

#[test]
fn relayed_replies_equal_direct_ones() {
    let now = Instant::now();
    let mut state = region(3);
    let mut sessions: Vec<Session> =
        (0..5).map(|number| Session::new(holder(&format!("d{number:03}"), 1), "dc-0")).collect();
    let mut leases = Leases::new(now, &Default::default());
    let first = sessions[0].renew(now);
    sessions[0].accept(&leases.renew(now, &first, &state)).unwrap();
    state.apply(9, &sheet(1, 1, "ana"));
    let renewals: Vec<Renewal> = sessions.iter_mut().map(|session| session.renew(now)).collect();
    let mut direct = leases.clone();
    let expected: Vec<(String, RenewalReply)> = renewals
        .iter()
        .map(|renewal| (renewal.holder.daemon.clone(), direct.renew(now, renewal, &state)))
        .collect();
    let renewals: RenewalBatch = decode(&encode(&RenewalBatch { renewals })).unwrap();
    let replies = relay::renew_all(&mut leases, now, &renewals, &state);
    let replies: ReplyBatch = decode(&encode(&replies)).unwrap();
    assert_eq!(replies.split(), expected);
    assert!(matches!(expected[4].1, RenewalReply::NotMember { .. }));
}

#[test]
fn changes_for_several_daemons_are_sent_once() {
    let now = Instant::now();
    let state = region(40);
    let mut leases = Leases::new(now, &Default::default());
    let renewal = |n: usize| Session::new(holder(&format!("d{n:03}"), 1), "dc-0").renew(now);
    let mut bytes = |count: usize| {
        let renewals = RenewalBatch { renewals: (0..count).map(renewal).collect() };
        encode(&relay::renew_all(&mut leases, now, &renewals, &state)).len()
    };
    assert!(bytes(40) < 2 * bytes(1));
}

#[test]
fn the_relay_keeps_the_latest_renewal_of_each_daemon() {
    let now = Instant::now();
    let mut session = Session::new(holder("a", 1), "dc-0");
    let (first, second) = (session.renew(now), session.renew(now));
    let next_instance = Session::new(holder("a", 2), "dc-0").renew(now);
    let mut collector = RenewalCollector::default();
    collector.push(second.clone());
    collector.push(first);
    assert_eq!(collector.take().renewals, std::slice::from_ref(&second));
    collector.push(next_instance.clone());
    collector.push(second);
    assert_eq!(collector.take().renewals, [next_instance]);
    assert_eq!(collector.take().renewals, []);
}

#[test]
fn above_the_bound_each_data_centre_has_one_relay() {
    let few = region(MAX_DIRECT_MEMBERS);
    assert!(
        few.roster()
            .members()
            .all(|(name, _)| relay::renewal_path(name, few.roster()) == RenewalPath::Direct)
    );
    let many = region(MAX_DIRECT_MEMBERS + 1);
    for data_centre in ["dc-0", "dc-1"] {
        let members = many.roster().members().filter(|(_, m)| m.data_centre == data_centre);
        let paths: Vec<(&String, RenewalPath)> =
            members.map(|(name, _)| (name, relay::renewal_path(name, many.roster()))).collect();
        let relays: Vec<&String> = paths
            .iter()
            .filter(|(_, path)| *path == RenewalPath::Relay)
            .map(|(name, _)| *name)
            .collect();
        let via: BTreeSet<&String> =
            paths
                .iter()
                .filter_map(|(_, path)| {
                    if let RenewalPath::ViaRelay(relay) = path { Some(relay) } else { None }
                })
                .collect();
        assert_eq!(relays.len(), 1);
        assert_eq!(via.into_iter().collect::<Vec<_>>(), relays);
    }
}
