//! Choice of an owner by the entry daemon.

use fastrand::Rng;
use route::{
    ModelDigest, OwnerChoiceReason, OwnerDigest, OwnerDigests, OwnerQuery, RefusalReason,
    choose_owner,
};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

fn digest(daemon: &str, data_centre: &str, sequence: u64, wait: Duration) -> OwnerDigest {
    let state = ModelDigest {
        model: "plan".into(),
        upstreams_in_service: 13,
        prefill_tokens_per_second: 130_000,
        mean_prefill_tokens_per_second: 10_000,
        largest_memory_tokens: 400_000,
        largest_gang_tokens: 1_200_000,
        wait_micros: [wait.as_micros() as u64; 4],
        ..ModelDigest::default()
    };
    OwnerDigest {
        daemon: daemon.into(),
        incarnation: 1,
        sequence,
        data_centre: data_centre.into(),
        region: "here".into(),
        is_in_service: true,
        models: vec![state],
    }
}

fn query(prefix: Option<u64>) -> OwnerQuery {
    OwnerQuery {
        model: "plan".into(),
        prefix,
        prompt_tokens: 1_000,
        max_output_tokens: 200,
        avoid: Vec::new(),
    }
}

/// Digests of owners with their predicted waits in milliseconds: `a0`.. in the own data centre
/// `a`, and `b0`.. in data centre `b`.
fn digests(now: Instant, waits: &[(&str, u64)]) -> OwnerDigests {
    let mut digests = OwnerDigests::new("a".into(), "here".into());
    for (daemon, millis) in waits {
        digests.update(now, digest(daemon, &daemon[..1], 1, Duration::from_millis(*millis)));
    }
    digests
}

/// A data centre out of service is never chosen, whatever the loads and even if its owners'
/// digests still report it as in service.
#[test]
fn data_centre_out_is_never_chosen() {
    seeded::check().with_type::<(u8, u8, u8, u8, u64)>().for_each(|(a0, a1, b0, b1, prefix)| {
        let now = Instant::now();
        let waits = [("a0", a0), ("a1", a1), ("b0", b0), ("b1", b1)];
        let waits = waits.map(|(daemon, wait)| (daemon, 50 * u64::from(*wait)));
        let mut rng = Rng::with_seed(7);
        let mut digests = digests(now, &waits);
        for (out_of_service, expected) in [("a", "b"), ("b", "a")] {
            digests.set_data_centre_in_service(&out_of_service.into(), false);
            for prefix in [None, Some(*prefix)] {
                let choice = choose_owner(&digests, now, &query(prefix), &mut rng).unwrap();
                assert_eq!(choice.data_centre, expected);
            }
            digests.set_data_centre_in_service(&out_of_service.into(), true);
        }
    });
}

/// The same prefix always goes to the same owner while loads are even, so that its cache is used,
/// and different prefixes spread over all owners.
#[test]
fn prefixes_stick_and_spread() {
    let now = Instant::now();
    let digests = digests(now, &[("a0", 0), ("a1", 0), ("a2", 0), ("b0", 0)]);
    let mut owners: BTreeMap<String, u32> = BTreeMap::new();
    let mut rng = Rng::with_seed(7);
    for prefix in 0..300 {
        let first = choose_owner(&digests, now, &query(Some(prefix)), &mut rng).unwrap();
        let again = choose_owner(&digests, now, &query(Some(prefix)), &mut rng).unwrap();
        assert_eq!(first, again);
        assert_eq!(first.reason, OwnerChoiceReason::Prefix);
        *owners.entry(first.owner).or_default() += 1;
    }
    assert_eq!(owners.len(), 3, "all of the own data centre: {owners:?}");
    assert!(owners.values().all(|n| (50..=150).contains(n)), "{owners:?}");
}

/// The prefixes of an overloaded owner go to the next one, also when the load consists only of
/// what was sent since its last digest.
#[test]
fn a_loaded_owner_is_passed_over() {
    let now = Instant::now();
    let mut digests = digests(now, &[("a0", 0), ("a1", 0), ("a2", 0)]);
    let mut rng = Rng::with_seed(7);
    let first = choose_owner(&digests, now, &query(Some(1)), &mut rng).unwrap();
    digests.record_sent(&first.owner, &"plan".into(), 1_000_000);
    let second = choose_owner(&digests, now, &query(Some(1)), &mut rng).unwrap();
    assert_ne!(second.owner, first.owner);
    assert_eq!(second.reason, OwnerChoiceReason::PrefixOverflow);
    // The next digest replaces the load counted since the last one.
    digests.update(now, digest(&first.owner, "a", 2, Duration::ZERO));
    assert_eq!(choose_owner(&digests, now, &query(Some(1)), &mut rng).unwrap(), first);
}

/// Without a prefix, a loaded owner is chosen only if it is picked both times.
#[test]
fn two_choices_avoid_the_loaded_owner() {
    let now = Instant::now();
    let digests = digests(now, &[("a0", 0), ("a1", 90)]);
    let mut rng = Rng::with_seed(7);
    let loaded = (0..1_000)
        .filter(|_| choose_owner(&digests, now, &query(None), &mut rng).unwrap().owner == "a1")
        .count();
    // Both picks select it with a probability of a quarter.
    assert!((200..=300).contains(&loaded), "{loaded}");
}

/// A small difference in load does not send requests to another data centre; a large one does.
#[test]
fn the_own_data_centre_is_preferred_unless_it_is_loaded() {
    let now = Instant::now();
    let mut rng = Rng::with_seed(7);
    let mut choose = |waits: &[(&str, u64)]| {
        let digests = digests(now, waits);
        choose_owner(&digests, now, &query(None), &mut rng).unwrap().data_centre
    };
    assert_eq!(choose(&[("a0", 50), ("b0", 0)]), "a");
    assert_eq!(choose(&[("a0", 2_000), ("b0", 0)]), "b");
}

/// Digests that are repeated or too old, and owners that are too small or were tried before, are
/// not used; a restarted daemon's digests are, although their sequence starts over.
#[test]
fn repeated_old_and_unfit_digests_are_not_used() {
    let now = Instant::now();
    let mut rng = Rng::with_seed(7);
    let mut digests = digests(now, &[("a0", 0)]);
    assert!(!digests.update(now, digest("a0", "a", 1, Duration::ZERO)), "an old digest");
    let long = OwnerQuery { prompt_tokens: 2_000_000, ..query(None) };
    let refusal = choose_owner(&digests, now, &long, &mut rng).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::PromptTooLong);
    let tried = OwnerQuery { avoid: vec!["a0".into()], ..query(None) };
    assert!(choose_owner(&digests, now, &tried, &mut rng).is_err());
    let later = now + Duration::from_secs(10);
    let refusal = choose_owner(&digests, later, &query(None), &mut rng).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::NoUpstream);
    // A restarted daemon numbers its digests from one again; its incarnation makes them newer.
    let restarted = OwnerDigest { incarnation: 2, ..digest("a0", "a", 1, Duration::ZERO) };
    assert!(digests.update(later, restarted));
    assert!(choose_owner(&digests, later, &query(None), &mut rng).is_ok());
}
