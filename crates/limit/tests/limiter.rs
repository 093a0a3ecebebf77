//! Properties of a limiter under random operations, and single cases.

use bolero::TypeGenerator;
use limit::{
    AdmissionRequest, Capacity, Config, Limiter, OrganisationDemand, OrganisationShare, Priority,
    RefusalReason, TicketId, TicketState,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

const ORGANISATIONS: [&str; 3] = ["clerks", "fitters", "planners"];

fn share(organisation: &str, weight: u32, quota: Option<u64>) -> OrganisationShare {
    OrganisationShare { organisation: organisation.into(), weight, tokens_per_second: quota }
}

fn request(
    organisation: &str,
    priority: Priority,
    tokens: u64,
    deadline: Instant,
) -> AdmissionRequest {
    AdmissionRequest {
        organisation: organisation.into(),
        priority,
        prompt_tokens: tokens,
        max_output_tokens: 0,
        deadline,
    }
}

/// Capacity for this number of tokens in flight, processed at 10,000 tokens per second.
fn capacity(tokens_in_flight: u64) -> Capacity {
    Capacity { tokens_in_flight, tokens_per_second: 10_000, ..Capacity::default() }
}

fn limiter(now: Instant, cfg: Config, shares: &[OrganisationShare], in_flight: u64) -> Limiter {
    let mut limiter = Limiter::new(cfg);
    limiter.set_shares(now, shares, 1);
    limiter.set_capacity(capacity(in_flight));
    limiter
}

#[derive(Clone, Debug, TypeGenerator)]
enum Op {
    Admit { organisation: u8, urgent: bool, tokens: u16, seconds: u8 },
    Finish { choice: u8, used: u16 },
    Cancel(u8),
    Poll,
    Advance(u16),
    RemoteDemand { organisation: u8, rate: u16 },
    Shares { without: u8 },
}

/// State of a ticket as the test expects it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Waiting,
    Granted,
    Ended,
}

/// Under random operations every ticket must get exactly one final outcome, the queue must stay
/// within its limit, and the tokens in flight must be those of the granted tickets. Lost or
/// repeated outcomes would leave callers waiting or leak capacity.
#[test]
fn every_ticket_has_one_final_outcome() {
    seeded::check().with_type::<Vec<Op>>().for_each(|ops| {
        let mut now = Instant::now();
        let cfg = Config { max_waiting: 8, max_waiting_tokens: 200_000, ..Config::default() };
        let max_waiting = cfg.max_waiting;
        let all: Vec<OrganisationShare> =
            ORGANISATIONS.iter().map(|name| share(name, 2, Some(5_000))).collect();
        let mut limiter = limiter(now, cfg, &all, 50_000);
        let mut phases: BTreeMap<TicketId, (Phase, u64)> = BTreeMap::new();
        for op in ops {
            match op {
                Op::Admit { organisation, urgent, tokens, seconds } => {
                    let priority = if *urgent { Priority::Urgent } else { Priority::Ordinary };
                    let name = ORGANISATIONS[usize::from(organisation % 3)];
                    let deadline = now + Duration::from_secs(u64::from(*seconds));
                    let request = request(name, priority, u64::from(*tokens), deadline);
                    match limiter.admit(now, &request) {
                        Ok(ticket) => {
                            let is_granted = ticket.state == TicketState::Granted;
                            let phase = if is_granted { Phase::Granted } else { Phase::Waiting };
                            let previous = phases.insert(ticket.id, (phase, request.cost()));
                            assert_eq!(previous, None, "a ticket id is used twice");
                        }
                        Err(refusal) => assert!(!refusal.retry_after.is_zero()),
                    }
                }
                Op::Finish { choice, used } => {
                    let id = TicketId::from(*choice);
                    let was = phases.get(&id).is_some_and(|(phase, _)| *phase == Phase::Granted);
                    assert_eq!(limiter.finish(now, id, u64::from(*used)), was);
                    if was {
                        phases.get_mut(&id).unwrap().0 = Phase::Ended;
                    }
                }
                Op::Cancel(choice) => {
                    let id = TicketId::from(*choice);
                    let was = phases.get(&id).is_some_and(|(phase, _)| *phase != Phase::Ended);
                    assert_eq!(limiter.cancel(now, id), was);
                    if was {
                        phases.get_mut(&id).unwrap().0 = Phase::Ended;
                    }
                }
                Op::Poll => {}
                Op::Advance(millis) => now += Duration::from_millis(u64::from(*millis)),
                Op::RemoteDemand { organisation, rate } => {
                    let organisation = ORGANISATIONS[usize::from(organisation % 3)].into();
                    let tokens_per_second = u64::from(*rate);
                    let demand = vec![OrganisationDemand { organisation, tokens_per_second }];
                    limiter.set_remote_demand(now, "other".into(), demand);
                }
                Op::Shares { without } => {
                    let mut remaining = all.clone();
                    if *without < 3 {
                        remaining.remove(usize::from(*without));
                    }
                    limiter.set_shares(now, &remaining, 2);
                }
            }
            for outcome in limiter.poll(now) {
                let (phase, _) = phases.get_mut(&outcome.ticket).expect("the ticket is known");
                assert_eq!(*phase, Phase::Waiting, "each ticket has one outcome");
                *phase = if outcome.result.is_ok() { Phase::Granted } else { Phase::Ended };
            }
            let granted = phases.values().filter(|(phase, _)| *phase == Phase::Granted);
            assert_eq!(limiter.in_flight_tokens(), granted.map(|(_, cost)| cost).sum::<u64>());
            let waiting = phases.values().filter(|(phase, _)| *phase == Phase::Waiting).count();
            assert_eq!(limiter.waiting(), waiting);
            assert!(waiting <= max_waiting);
        }
    });
}

/// Number of waiting requests of this length that keep an organisation's queue from running empty.
fn queue_length(tokens: u64) -> usize {
    (20_000 / tokens + 2) as usize
}

/// Serves organisations whose queues never run empty for two minutes at 10,000 tokens per second,
/// and returns the tokens granted from the queue to each of them, by priority.
fn serve(
    limiter: &mut Limiter,
    mut now: Instant,
    offers: &[(&'static str, Priority, u64)],
) -> BTreeMap<(&'static str, Priority), u64> {
    let mut granted = BTreeMap::new();
    let mut tickets: BTreeMap<TicketId, usize> = BTreeMap::new();
    let mut running: BTreeSet<(Instant, TicketId, u64)> = BTreeSet::new();
    let mut idle_at = now;
    let end = now + Duration::from_secs(120);
    while now < end {
        now += Duration::from_millis(100);
        for (index, (organisation, priority, tokens)) in offers.iter().enumerate() {
            let waiting = tickets.values().filter(|i| **i == index).count();
            for _ in waiting..queue_length(*tokens) {
                let deadline = now + Duration::from_secs(300);
                let request = request(organisation, *priority, *tokens, deadline);
                if let Ok(ticket) = limiter.admit(now, &request) {
                    tickets.insert(ticket.id, index);
                    if ticket.is_granted() {
                        tickets.remove(&ticket.id);
                        idle_at = idle_at.max(now) + Duration::from_micros(100 * tokens);
                        running.insert((idle_at, ticket.id, *tokens));
                    }
                }
            }
        }
        while let Some((at, id, tokens)) = running.first().copied().filter(|r| r.0 <= now) {
            running.remove(&(at, id, tokens));
            limiter.finish(now, id, tokens);
        }
        for outcome in limiter.poll(now) {
            let Some(index) = tickets.remove(&outcome.ticket) else { continue };
            if outcome.result.is_ok() {
                let (organisation, priority, tokens) = offers[index];
                *granted.entry((organisation, priority)).or_insert(0) += tokens;
                idle_at = idle_at.max(now) + Duration::from_micros(100 * tokens);
                running.insert((idle_at, outcome.ticket, tokens));
            }
        }
    }
    granted
}

/// Under contention each organisation must get its share by weight of the tokens, within 10%,
/// whatever the length of its prompts: long prompts must not gain an advantage.
#[test]
fn shares_follow_weights() {
    seeded::check().with_type::<(u8, u8, u8)>().with_iterations(32).for_each(|lengths| {
        let now = Instant::now();
        let shares =
            [share("clerks", 1, None), share("fitters", 2, None), share("planners", 4, None)];
        let mut limiter = limiter(now, Config::default(), &shares, 20_000);
        let tokens = [lengths.0, lengths.1, lengths.2].map(|l| 500 + 40 * u64::from(l));
        let offers = [0, 1, 2].map(|i| (ORGANISATIONS[i], Priority::Ordinary, tokens[i]));
        let granted = serve(&mut limiter, now, &offers);
        let total: u64 = granted.values().sum();
        for (name, weight) in ORGANISATIONS.iter().zip([1.0, 2.0, 4.0]) {
            let part = granted[&(*name, Priority::Ordinary)] as f64 / total as f64;
            let expected = weight / 7.0;
            assert!((part / expected - 1.0).abs() <= 0.1, "{name}: {part} of {expected}");
        }
    });
}

/// Urgent requests are served first, but a backlog of them must leave a tenth of the tokens to
/// ordinary ones.
#[test]
fn ordinary_requests_are_not_starved_by_urgent_ones() {
    let now = Instant::now();
    let shares = [share("clerks", 1, None), share("planners", 1, None)];
    let mut limiter = limiter(now, Config::default(), &shares, 20_000);
    let offers = [("clerks", Priority::Urgent, 1_000), ("planners", Priority::Ordinary, 1_000)];
    let granted = serve(&mut limiter, now, &offers);
    let urgent = granted[&("clerks", Priority::Urgent)] as f64;
    let ordinary = granted[&("planners", Priority::Ordinary)] as f64;
    let part = ordinary / (urgent + ordinary);
    assert!((0.09..=0.11).contains(&part), "ordinary got {part}");
}

/// Once each daemon of a region knows the demand of the others, their shares of a quota must add up
/// to it, wherever the demand arises. Otherwise the region would exceed the quota or waste it.
#[test]
fn the_quota_shares_of_all_daemons_add_up_to_the_quota() {
    seeded::check().with_type::<[u8; 4]>().with_iterations(64).for_each(|demand| {
        let mut now = Instant::now();
        let shares = [share("clerks", 1, Some(10_000))];
        let mut daemons: Vec<Limiter> = (0..4)
            .map(|_| {
                let mut limiter = Limiter::new(Config::default());
                limiter.set_shares(now, &shares, 4);
                limiter
            })
            .collect();
        for _ in 0..300 {
            now += Duration::from_millis(100);
            for (limiter, demand) in daemons.iter_mut().zip(demand) {
                let deadline = now + Duration::from_secs(60);
                let tokens = 100 * u64::from(*demand);
                let _ =
                    limiter.admit(now, &request("clerks", Priority::Ordinary, tokens, deadline));
            }
            let reports: Vec<_> = daemons.iter().map(|limiter| limiter.demand(now)).collect();
            for (i, limiter) in daemons.iter_mut().enumerate() {
                for (j, report) in reports.iter().enumerate().filter(|(j, _)| *j != i) {
                    limiter.set_remote_demand(now, format!("d{j}"), report.clone());
                }
            }
        }
        let local = |limiter: &Limiter| limiter.local_quota(now, &"clerks".into()).unwrap();
        let sum: f64 = daemons.iter().map(local).sum();
        assert!((sum / 10_000.0 - 1.0).abs() < 0.01, "{sum}");
    });
}

#[test]
fn a_request_that_cannot_finish_in_time_is_refused_at_once() {
    let now = Instant::now();
    let mut limiter = limiter(now, Config::default(), &[share("clerks", 1, None)], 10_000);
    let short = request("clerks", Priority::Ordinary, 100_000, now + Duration::from_secs(5));
    assert_eq!(limiter.admit(now, &short).unwrap_err().reason, RefusalReason::DeadlineTooShort);
    let long = request("clerks", Priority::Ordinary, 100_000, now + Duration::from_secs(60));
    assert!(limiter.admit(now, &long).unwrap().is_granted());
    // The 100,000 tokens of this request are a wait of 10 s for the next one, at 10,000 tokens per
    // second, which takes another 10 s itself.
    let waiting = request("clerks", Priority::Ordinary, 100_000, now + Duration::from_secs(25));
    assert!(!limiter.admit(now, &waiting).unwrap().is_granted());
    let late = request("clerks", Priority::Ordinary, 100_000, now + Duration::from_secs(19));
    let refusal = limiter.admit(now, &late).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::DeadlineUnmeetable);
    assert!(
        refusal.retry_after < Duration::from_secs(19),
        "the caller may retry before the deadline"
    );
}

#[test]
fn a_waiting_request_is_refused_once_its_latest_start_has_passed() {
    let now = Instant::now();
    let mut limiter = limiter(now, Config::default(), &[share("clerks", 1, None)], 1_000);
    let request = |s| request("clerks", Priority::Ordinary, 10_000, now + Duration::from_secs(s));
    assert!(limiter.admit(now, &request(60)).unwrap().is_granted());
    let waiting = limiter.admit(now, &request(10)).unwrap();
    // The request takes 1 s: with 10 s until its deadline, its latest start is after 9 s.
    let wakeup = limiter.next_wakeup(now).unwrap();
    assert_eq!(wakeup, now + Duration::from_secs(9));
    assert!(limiter.poll(wakeup).is_empty());
    let outcomes = limiter.poll(wakeup + Duration::from_millis(1));
    assert_eq!(outcomes[0].ticket, waiting.id);
    let refusal = outcomes[0].result.unwrap_err();
    assert!(refusal.is_overload() && !refusal.retry_after.is_zero());
}

#[test]
fn a_full_queue_sheds_ordinary_requests_for_urgent_ones() {
    let now = Instant::now();
    let cfg = Config { max_waiting: 2, ..Config::default() };
    let shares = [share("clerks", 1, None), share("planners", 1, None)];
    let mut limiter = limiter(now, cfg, &shares, 1_000);
    let deadline = now + Duration::from_secs(60);
    let ordinary = request("planners", Priority::Ordinary, 1_000, deadline);
    let urgent = request("clerks", Priority::Urgent, 1_000, deadline);
    assert!(limiter.admit(now, &ordinary).unwrap().is_granted());
    let kept = limiter.admit(now, &ordinary).unwrap();
    let shed = limiter.admit(now, &ordinary).unwrap();
    assert_eq!(limiter.admit(now, &ordinary).unwrap_err().reason, RefusalReason::QueueFull);
    assert!(limiter.admit(now, &urgent).is_ok());
    let outcomes = limiter.poll(now);
    assert_eq!(outcomes.len(), 1);
    assert_eq!(outcomes[0].ticket, shed.id);
    assert_eq!(outcomes[0].result.unwrap_err().reason, RefusalReason::Shed);
    // An urgent request is never shed, not even for another one.
    assert!(limiter.admit(now, &urgent).is_ok());
    assert_eq!(limiter.poll(now)[0].ticket, kept.id);
    assert_eq!(limiter.admit(now, &urgent).unwrap_err().reason, RefusalReason::QueueFull);
}

#[test]
fn a_quota_is_enforced_and_unknown_organisations_are_refused() {
    let now = Instant::now();
    let shares = [share("clerks", 1, Some(1_000))];
    let mut limiter = limiter(now, Config::default(), &shares, u64::MAX);
    let request = |s| request("clerks", Priority::Ordinary, 10_000, now + Duration::from_secs(s));
    // The first request uses the burst of 10 s, the second puts the organisation into debt, and the
    // one after that has to wait for 10 s.
    assert!(limiter.admit(now, &request(60)).unwrap().is_granted());
    let now = now + Duration::from_millis(1);
    assert!(limiter.admit(now, &request(60)).unwrap().is_granted());
    assert!(limiter.admit(now, &request(5)).unwrap_err().is_quota());
    let unknown = AdmissionRequest { organisation: "nobody".into(), ..request(60) };
    assert!(limiter.admit(now, &unknown).unwrap_err().is_permanent());
    assert!(!limiter.admit(now, &request(60)).unwrap().is_granted());
    let wakeup = limiter.next_wakeup(now).unwrap();
    assert!(wakeup - now >= Duration::from_secs(9));
    assert_eq!(limiter.poll(wakeup).iter().filter(|o| o.result.is_ok()).count(), 1);
}
