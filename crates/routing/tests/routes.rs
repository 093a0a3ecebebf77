//! Lookup in routing documents and their validation, and the performance model of engines.

use routing::{
    EngineProfile, Organisation, Route, RoutingDocument, RoutingTable, Service, WeightedService,
};
use std::time::Duration;

fn route(name: &str, prefix: &str) -> Route {
    let mut route = Route::new(name, "a.example", prefix);
    route.split = vec![WeightedService { service: "s".to_owned(), weight: 1 }];
    route
}

/// A document with the service `s`.
fn document(routes: Vec<Route>) -> RoutingDocument {
    let mut document = RoutingDocument::new(1);
    document.services = vec![Service::new("s")];
    document.routes = routes;
    document
}

fn organisation(name: &str, key: &str) -> Organisation {
    Organisation { name: name.to_owned(), keys: vec![key.to_owned()], priority: None }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = RoutingTable::new(document(vec![route("short", "/a/"), route("long", "/a/b/")]));
    let name = |host, path| table.route(host, path).map(|r| r.name.clone());
    assert_eq!(name("a.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("A.example:80", "/a/c").as_deref(), Some("short"));
    assert_eq!(name("a.example", "/b/"), None);
    assert_eq!(name("b.example", "/a/"), None);
}

/// A service with weight 0 must never be selected, and a point of 1, just outside the range, must
/// still select one.
#[test]
fn a_split_follows_its_weights() {
    let mut split = route("r", "/");
    let weighted = |service: &str, weight| WeightedService { service: service.to_owned(), weight };
    split.split = vec![weighted("none", 0), weighted("most", 9), weighted("few", 1)];
    assert_eq!(split.pick(0.0).map(String::as_str), Some("most"));
    assert_eq!(split.pick(0.89).map(String::as_str), Some("most"));
    assert_eq!(split.pick(0.95).map(String::as_str), Some("few"));
    assert_eq!(split.pick(1.0).map(String::as_str), Some("few"));
}

/// Each change makes a valid document unusable. The error must name the cause, as operators see it.
#[test]
fn an_invalid_document_is_refused() {
    let refusal = |change: &dyn Fn(&mut RoutingDocument)| {
        let mut document = document(vec![route("r", "/a/")]);
        document.check().expect("the document is valid before the change");
        change(&mut document);
        document.check().expect_err("invalid").to_string()
    };
    assert!(refusal(&|r| r.services.clear()).contains("unknown service"));
    assert!(refusal(&|r| r.routes.push(route("t", "/a/"))).contains("same host and prefix"));
    assert!(refusal(&|r| r.routes[0].split[0].weight = 0).contains("add up to 0"));
    assert!(refusal(&|r| r.routes[0].timeout = Duration::ZERO).contains("timeout"));
    assert!(refusal(&|r| r.routes[0].prefix = "a/".to_owned()).contains("slash"));
    let shared = |r: &mut RoutingDocument| {
        r.organisations = vec![organisation("x", "k"), organisation("y", "k")];
    };
    assert!(refusal(&shared).contains("same key"));
}

#[test]
fn a_key_identifies_its_organisation() {
    let mut document = document(vec![route("r", "/")]);
    let without_organisations = RoutingTable::new(document.clone());
    assert!(
        !without_organisations.needs_key(&without_organisations.document().routes[0]),
        "a key is required without organisations"
    );
    document.organisations = vec![organisation("x", "k"), organisation("y", "l")];
    let table = RoutingTable::new(document);
    assert_eq!(table.organisation("l").map(|o| o.name.as_str()), Some("y"));
    assert!(table.organisation("m").is_none());
    assert!(table.needs_key(&table.document().routes[0]));
}

#[test]
fn prefill_time_grows_with_the_square_of_the_prompt() {
    let engine = EngineProfile::example();
    let prefill_ms = |tokens| engine.prefill_time(tokens).as_secs_f64() * 1e3;
    assert!((prefill_ms(4_960) - 34.2).abs() < 0.5, "{}", prefill_ms(4_960));
    assert!((prefill_ms(182_000) - 3_865.0).abs() < 5.0, "{}", prefill_ms(182_000));
    // A decoding pass prefills at most 34 chunks of 2,048 tokens, of one prompt or of several.
    let pass_ms = |tokens| engine.full_pass_prefill_time(tokens).as_secs_f64() * 1e3;
    let pass_share = 34.0 * 2_048.0 / 182_000.0;
    assert!(
        (pass_ms(182_000) - prefill_ms(182_000) * pass_share).abs() < 5.0,
        "{}",
        pass_ms(182_000)
    );
    let prompts_per_pass = 34.0 * 2_048.0 / 4_960.0;
    assert!(
        (pass_ms(4_960) - prefill_ms(4_960) * prompts_per_pass).abs() < 5.0,
        "{}",
        pass_ms(4_960)
    );
}
