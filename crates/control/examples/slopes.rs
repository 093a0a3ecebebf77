//! Measures how the costs of control grow with the size of the region: bytes of state,
//! renewals, replies and changes, and time per renewal and command.
//!
//! ```text
//! cargo run --release -p control --example slopes
//! ```

use control::{
    Claim, ClaimId, Command, Completion, Configuration, DaemonInstance, DataCentre, DesiredState,
    JoinRequest, Leases, LedgerKey, Model, Organisation, OrganisationPriority, ProposedSheet,
    Renewal, RenewalReply, Session, State, StoredResponse, encode, owner_of, relay,
};
use std::{
    hint::black_box,
    time::{Duration, Instant},
};

/// Numbers of daemons.
const REGION_SIZES: [usize; 4] = [8, 32, 143, 860];
const DATA_CENTRES: usize = 2;
/// Number of entries in the larger of two ledgers.
const LEDGER_ENTRIES: usize = 20_000;
/// Number of rounds, of which the shortest counts.
const TIMED_ROUNDS: u32 = 20;

fn main() {
    println!(
        "daemons  state B  renewal B  reply B  reply with sheet B  full state B  renew us  accept us  owner us"
    );
    REGION_SIZES.into_iter().for_each(direct_renewals);
    println!("\ndaemons  relayed: renewals B each  replies B each  renew us each");
    REGION_SIZES.into_iter().for_each(relayed_renewals);
    println!("\norganisations  configuration B  one changed: step B");
    [10, 60, 240].into_iter().for_each(organisations);
    println!("\nupstreams  configuration B");
    [21, 320, 1833].into_iter().for_each(upstreams);
    println!(
        "\nledger entries  state B  claim us  batch of 100: us each  complete us  snapshot ms"
    );
    [0, LEDGER_ENTRIES].into_iter().for_each(ledger);
    println!("\nentries with 200 B responses  counted B each  resident B each");
    resident_per_entry(100_000);
}

/// Prints the counted and the resident size of a ledger entry.
fn resident_per_entry(entries: usize) {
    let before = resident_bytes();
    let state = state_with_entries(entries);
    let growth = resident_bytes().saturating_sub(before);
    let counted = state.ledger().bytes() / entries;
    println!("{entries:28}  {counted:14}  {:15}", growth / entries);
}

/// Returns the resident memory of this process, or 0 where `/proc` is not available.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    kib.unwrap_or(0) * 1024
}

fn response() -> StoredResponse {
    let body = Some(vec![7; 200]);
    StoredResponse { status: 200, content_type: "application/json".to_string(), body }
}

/// Returns a state whose ledger holds this many answered calls.
fn state_with_entries(entries: usize) -> State {
    let mut state = State::new();
    state.apply(1, &join(0));
    for number in 0..entries {
        let completion = Completion { id: claim_id(number), answer: response() };
        let commands = vec![Command::ClaimKey(claim(number)), Command::CompleteKey(completion)];
        state.apply(state.applied() + 1, &Command::Batch(commands));
    }
    state
}

fn holder(number: usize) -> DaemonInstance {
    DaemonInstance { daemon: format!("entry-{number}"), incarnation: 1_764_800_000_000 }
}

fn join(number: usize) -> Command {
    Command::Join(JoinRequest {
        holder: holder(number),
        address: format!("10.0.{}.{}:7000", number / 250, number % 250),
        data_centre: data_centre(number),
    })
}

fn data_centre(number: usize) -> String {
    format!("data-centre-{}", number % DATA_CENTRES)
}

/// Returns a configuration with two data centres, 20 models and the given numbers of
/// organisations and upstreams.
fn configuration(organisations: usize, upstreams: usize) -> Configuration {
    let mut cfg = Configuration::new("cl-centro");
    let organisation = |number: usize| Organisation {
        priority: OrganisationPriority::Ordinary,
        weight: 2,
        tokens_per_second: 20_000,
        key_hashes: vec![[number as u8; 32]],
    };
    cfg.organisations =
        (0..organisations).map(|n| (format!("organisation-{n}"), organisation(n))).collect();
    cfg.data_centres =
        (0..DATA_CENTRES).map(|n| (data_centre(n), DataCentre { in_service: true })).collect();
    cfg.models = (0..20).map(|n| (format!("model-{n}"), Model { max_prompt: 1_000_000 })).collect();
    cfg.upstreams = (0..upstreams).map(|n| (format!("engine-{n}"), DesiredState::Up)).collect();
    cfg
}

fn sheet(number: u64, configuration: Configuration) -> Command {
    let operator = "day shift".to_string();
    let digest = [number as u8; 32];
    Command::ApplySheet(ProposedSheet { number, digest, configuration, operator })
}

/// Returns a region with 240 organisations in which every daemon is a member and has a
/// lease.
fn region(daemons: usize, now: Instant) -> (State, Leases, Vec<Session>) {
    let mut state = State::new();
    let mut leases = Leases::new(now, state.roster());
    state.apply(1, &sheet(1, configuration(240, 0)));
    (0..daemons).for_each(|n| drop(state.apply(2 + n as u64, &join(n))));
    let mut sessions: Vec<Session> =
        (0..daemons).map(|n| Session::new(holder(n), data_centre(n))).collect();
    for session in &mut sessions {
        let renewal = session.renew(now);
        session.accept(&leases.renew(now, &renewal, &state)).expect("all are members");
    }
    (state, leases, sessions)
}

/// Prints the costs of renewals that daemons send to the leader directly.
fn direct_renewals(daemons: usize) {
    let now = Instant::now();
    let (mut state, mut leases, mut sessions) = region(daemons, now);
    let state_bytes = state.snapshot().len();
    let full_state_bytes = encode(&state.changes_since(0)).len();
    let renewals: Vec<Renewal> = sessions.iter_mut().map(|session| session.renew(now)).collect();
    let (replies, renew_us) = time_per_item(daemons, || {
        renewals
            .iter()
            .map(|renewal| leases.renew(now, renewal, &state))
            .collect::<Vec<RenewalReply>>()
    });
    let start = Instant::now();
    for (session, reply) in sessions.iter_mut().zip(&replies) {
        session.accept(reply).expect("the reply is to the last renewal");
    }
    let accept_us = micros(start.elapsed()) / daemons as f64;
    let (_, owner_us) = time_per_item(1000, || {
        (0..1000).for_each(|n| {
            black_box(owner_of(&format!("engine-{n}"), &data_centre(n), state.roster()));
        });
    });
    let index = state.applied() + 1;
    state.apply(index, &sheet(2, with_changes(configuration(240, 0))));
    let renewal = sessions[0].renew(now);
    let reply = leases.renew(now, &renewal, &state);
    println!(
        "{daemons:7}  {state_bytes:7}  {:9}  {:7}  {:18}  {full_state_bytes:12}  {renew_us:8.2}  {accept_us:9.2}  {owner_us:8.2}",
        encode(&renewal).len(),
        encode(&replies[0]).len(),
        encode(&reply).len(),
    );
}

/// Changes one data centre and one organisation.
fn with_changes(mut cfg: Configuration) -> Configuration {
    cfg.data_centres.insert(data_centre(0), DataCentre { in_service: false });
    cfg.organisations.get_mut("organisation-7").expect("it exists").weight = 5;
    cfg
}

/// Prints the costs per daemon of renewals that one relay of a data centre sends.
fn relayed_renewals(daemons: usize) {
    let now = Instant::now();
    let (state, mut leases, mut sessions) = region(daemons, now);
    let mut collector = relay::RenewalCollector::default();
    for (_, session) in sessions.iter_mut().enumerate().filter(|(n, _)| n % DATA_CENTRES == 0) {
        collector.push(session.renew(now));
    }
    let renewals = collector.take();
    let count = renewals.renewals.len();
    let (replies, renew_us) =
        time_per_item(count, || relay::renew_all(&mut leases, now, &renewals, &state));
    let renewal_bytes = encode(&renewals).len() as f64 / count as f64;
    let reply_bytes = encode(&replies).len() as f64 / count as f64;
    println!("{daemons:7}  {renewal_bytes:24.1}  {reply_bytes:14.1}  {renew_us:13.2}");
}

/// Prints the size of a configuration by organisations, and of a step that changes one.
fn organisations(count: usize) {
    let mut state = State::new();
    state.apply(1, &sheet(1, configuration(count, 0)));
    let index = state.applied();
    state.apply(2, &sheet(2, with_changes(configuration(count, 0))));
    let bytes = encode(state.configuration()).len();
    println!("{count:13}  {bytes:15}  {:19}", encode(&state.changes_since(index)).len());
}

/// Prints the size of a configuration by upstreams.
fn upstreams(count: usize) {
    println!("{count:9}  {:15}", encode(&configuration(0, count)).len());
}

fn claim(number: usize) -> Claim {
    Claim { id: claim_id(number), body_hash: [number as u8; 32] }
}

fn claim_id(number: usize) -> ClaimId {
    let key = LedgerKey {
        organisation: format!("organisation-{}", number % 240),
        service: "yard".to_string(),
        key: format!("0f8e4c62-9d1b-4f57-8a3e-{number:012}"),
    };
    ClaimId { key, holder: holder(0), request: format!("entry-0-{number:012}"), at_ms: 1 }
}

/// Prints the costs of claims, completions and snapshots of a ledger of this size.
fn ledger(entries: usize) {
    let mut state = state_with_entries(entries);
    let (buf, snapshot_us) = time_per_item(1, || state.snapshot());
    let mut next = entries;
    let claims: Vec<Command> = (0..2000).map(|n| Command::ClaimKey(claim(entries + n))).collect();
    let start = Instant::now();
    for cmd in &claims {
        black_box(state.apply(state.applied() + 1, cmd));
        next += 1;
    }
    let claim_us = micros(start.elapsed()) / claims.len() as f64;
    let completions: Vec<Command> = (entries..next)
        .map(|n| Command::CompleteKey(Completion { id: claim_id(n), answer: response() }))
        .collect();
    let start = Instant::now();
    for cmd in &completions {
        black_box(state.apply(state.applied() + 1, cmd));
    }
    let complete_us = micros(start.elapsed()) / completions.len() as f64;
    let batches: Vec<Command> = (0..20)
        .map(|b| (0..100).map(|n| Command::ClaimKey(claim(next + 100 * b + n))).collect())
        .map(Command::Batch)
        .collect();
    let start = Instant::now();
    for cmd in &batches {
        black_box(state.apply(state.applied() + 1, cmd));
    }
    let batch_us = micros(start.elapsed()) / 2000.0;
    println!(
        "{entries:14}  {:7}  {claim_us:8.2}  {batch_us:21.2}  {complete_us:11.2}  {:11.2}",
        buf.len(),
        snapshot_us / 1000.0,
    );
}

/// Runs several rounds, and returns the result of the last one and the time per item of
/// the shortest one in microseconds.
fn time_per_item<T>(items: usize, mut round: impl FnMut() -> T) -> (T, f64) {
    let mut timed = || {
        let start = Instant::now();
        let result = round();
        (result, start.elapsed())
    };
    let (mut result, mut shortest) = timed();
    for _ in 1..if items == 1 { 3 } else { TIMED_ROUNDS } {
        let (next, elapsed) = timed();
        result = next;
        shortest = shortest.min(elapsed);
    }
    (result, micros(shortest) / items as f64)
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}
