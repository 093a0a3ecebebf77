//! Properties and cases of a limiter.

use bolero::TypeGenerator;
use limit::{
    AdmissionRequest, Capacity, Config, Limiter, OrganisationShare, OrganisationUsage, Priority,
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

fn ask(organisation: &str, priority: Priority, tokens: u64, deadline: Instant) -> AdmissionRequest {
    AdmissionRequest {
        organisation: organisation.into(),
        priority,
        prompt_tokens: tokens,
        max_output_tokens: 0,
        deadline,
    }
}

/// Room for so many tokens in flight, served at 10k tokens a second.
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
    Elsewhere { organisation: u8, rate: u16 },
    Shares { without: u8 },
}

/// Where a ticket is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Waiting,
    Granted,
    Ended,
}

/// Every ticket gets one final answer, the queue is bounded, and the tokens in
/// flight are those of the granted tickets.
#[test]
fn every_ticket_ends_once() {
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
                    let ask = ask(name, priority, u64::from(*tokens), deadline);
                    match limiter.admit(now, &ask) {
                        Ok(ticket) => {
                            let is_granted = ticket.state == TicketState::Granted;
                            let phase = if is_granted { Phase::Granted } else { Phase::Waiting };
                            let before = phases.insert(ticket.id, (phase, ask.cost()));
                            assert_eq!(before, None, "ids are not used again");
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
                Op::Elsewhere { organisation, rate } => {
                    let organisation = ORGANISATIONS[usize::from(organisation % 3)].into();
                    let tokens_per_second = u64::from(*rate);
                    let usage = vec![OrganisationUsage { organisation, tokens_per_second }];
                    limiter.set_remote_usage(now, "other".into(), usage);
                }
                Op::Shares { without } => {
                    let mut left = all.clone();
                    if *without < 3 {
                        left.remove(usize::from(*without));
                    }
                    limiter.set_shares(now, &left, 2);
                }
            }
            for answer in limiter.poll(now) {
                let (phase, _) = phases.get_mut(&answer.ticket).expect("a known ticket");
                assert_eq!(*phase, Phase::Waiting, "one answer to each ticket");
                *phase = if answer.result.is_ok() { Phase::Granted } else { Phase::Ended };
            }
            let granted = phases.values().filter(|(phase, _)| *phase == Phase::Granted);
            assert_eq!(limiter.in_flight_tokens(), granted.map(|(_, cost)| cost).sum::<u64>());
            let waiting = phases.values().filter(|(phase, _)| *phase == Phase::Waiting).count();
            assert_eq!(limiter.waiting(), waiting);
            assert!(waiting <= max_waiting);
        }
    });
}

/// Requests of this length that keep an organisation's queue from running dry.
fn backlog(tokens: u64) -> usize {
    (20_000 / tokens + 2) as usize
}

/// Serves a backlog of every organisation for two minutes at 10k tokens a
/// second and returns the tokens granted to each, by priority.
fn serve(
    limiter: &mut Limiter,
    mut now: Instant,
    offers: &[(&'static str, Priority, u64)],
) -> BTreeMap<(&'static str, Priority), u64> {
    let mut granted = BTreeMap::new();
    let mut tickets: BTreeMap<TicketId, usize> = BTreeMap::new();
    let mut running: BTreeSet<(Instant, TicketId, u64)> = BTreeSet::new();
    let mut free_at = now;
    let end = now + Duration::from_secs(120);
    while now < end {
        now += Duration::from_millis(100);
        for (index, (organisation, priority, tokens)) in offers.iter().enumerate() {
            let waiting = tickets.values().filter(|i| **i == index).count();
            for _ in waiting..backlog(*tokens) {
                let deadline = now + Duration::from_secs(300);
                let ask = ask(organisation, *priority, *tokens, deadline);
                if let Ok(ticket) = limiter.admit(now, &ask) {
                    tickets.insert(ticket.id, index);
                    if ticket.is_granted() {
                        tickets.remove(&ticket.id);
                        free_at = free_at.max(now) + Duration::from_micros(100 * tokens);
                        running.insert((free_at, ticket.id, *tokens));
                    }
                }
            }
        }
        while let Some((at, id, tokens)) = running.first().copied().filter(|r| r.0 <= now) {
            running.remove(&(at, id, tokens));
            limiter.finish(now, id, tokens);
        }
        for answer in limiter.poll(now) {
            let Some(index) = tickets.remove(&answer.ticket) else { continue };
            if answer.result.is_ok() {
                let (organisation, priority, tokens) = offers[index];
                *granted.entry((organisation, priority)).or_insert(0) += tokens;
                free_at = free_at.max(now) + Duration::from_micros(100 * tokens);
                running.insert((free_at, answer.ticket, tokens));
            }
        }
    }
    granted
}

/// Under contention each organisation gets its weight's part of the tokens
/// within a tenth, whatever the length of its prompts.
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

/// Urgent requests go first, yet ordinary ones keep a tenth.
#[test]
fn urgent_goes_first_and_ordinary_is_not_starved() {
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

/// A quota holds over the daemons of a region once each has heard of the
/// others' demand, wherever the demand arises.
#[test]
fn a_quota_holds_over_a_region() {
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
                let _ = limiter.admit(now, &ask("clerks", Priority::Ordinary, tokens, deadline));
            }
            let usage: Vec<_> = daemons.iter().map(|limiter| limiter.usage(now)).collect();
            for (i, limiter) in daemons.iter_mut().enumerate() {
                for (j, usage) in usage.iter().enumerate().filter(|(j, _)| *j != i) {
                    limiter.set_remote_usage(now, format!("d{j}"), usage.clone());
                }
            }
        }
        let local = |limiter: &Limiter| limiter.local_quota(now, &"clerks".into()).unwrap();
        let sum: f64 = daemons.iter().map(local).sum();
        assert!((sum / 10_000.0 - 1.0).abs() < 0.01, "{sum}");
    });
}

#[test]
fn what_cannot_finish_in_time_is_refused_at_once() {
    let now = Instant::now();
    let mut limiter = limiter(now, Config::default(), &[share("clerks", 1, None)], 10_000);
    let short = ask("clerks", Priority::Ordinary, 100_000, now + Duration::from_secs(5));
    assert_eq!(limiter.admit(now, &short).unwrap_err().reason, RefusalReason::DeadlineTooShort);
    let long = ask("clerks", Priority::Ordinary, 100_000, now + Duration::from_secs(60));
    assert!(limiter.admit(now, &long).unwrap().is_granted());
    // 100k tokens wait for 10 s at 10k a second, and take 10 s themselves.
    let waits = ask("clerks", Priority::Ordinary, 100_000, now + Duration::from_secs(25));
    assert!(!limiter.admit(now, &waits).unwrap().is_granted());
    let late = ask("clerks", Priority::Ordinary, 100_000, now + Duration::from_secs(19));
    let refusal = limiter.admit(now, &late).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::DeadlineUnmeetable);
    assert!(refusal.retry_after < Duration::from_secs(19), "not held until the deadline");
}

#[test]
fn a_request_given_up_on_gets_its_answer_at_once() {
    let now = Instant::now();
    let mut limiter = limiter(now, Config::default(), &[share("clerks", 1, None)], 1_000);
    let ask = |s| ask("clerks", Priority::Ordinary, 10_000, now + Duration::from_secs(s));
    assert!(limiter.admit(now, &ask(60)).unwrap().is_granted());
    let waiting = limiter.admit(now, &ask(10)).unwrap();
    // It takes 1 s: with 10 s until the deadline it is given up on after 9 s.
    let wakeup = limiter.next_wakeup(now).unwrap();
    assert_eq!(wakeup, now + Duration::from_secs(9));
    assert!(limiter.poll(wakeup).is_empty());
    let answers = limiter.poll(wakeup + Duration::from_millis(1));
    assert_eq!(answers[0].ticket, waiting.id);
    let refusal = answers[0].result.unwrap_err();
    assert!(refusal.is_overload() && !refusal.retry_after.is_zero());
}

#[test]
fn a_full_queue_sheds_the_least_important() {
    let now = Instant::now();
    let cfg = Config { max_waiting: 2, ..Config::default() };
    let shares = [share("clerks", 1, None), share("planners", 1, None)];
    let mut limiter = limiter(now, cfg, &shares, 1_000);
    let deadline = now + Duration::from_secs(60);
    let ordinary = ask("planners", Priority::Ordinary, 1_000, deadline);
    let urgent = ask("clerks", Priority::Urgent, 1_000, deadline);
    assert!(limiter.admit(now, &ordinary).unwrap().is_granted());
    let kept = limiter.admit(now, &ordinary).unwrap();
    let shed = limiter.admit(now, &ordinary).unwrap();
    assert_eq!(limiter.admit(now, &ordinary).unwrap_err().reason, RefusalReason::QueueFull);
    assert!(limiter.admit(now, &urgent).is_ok());
    let answers = limiter.poll(now);
    assert_eq!(answers.len(), 1);
    assert_eq!(answers[0].ticket, shed.id);
    assert_eq!(answers[0].result.unwrap_err().reason, RefusalReason::Shed);
    // An urgent request is never shed, not even for another one.
    assert!(limiter.admit(now, &urgent).is_ok());
    assert_eq!(limiter.poll(now)[0].ticket, kept.id);
    assert_eq!(limiter.admit(now, &urgent).unwrap_err().reason, RefusalReason::QueueFull);
}

#[test]
fn a_quota_is_kept_and_unknown_organisations_are_refused() {
    let now = Instant::now();
    let shares = [share("clerks", 1, Some(1_000))];
    let mut limiter = limiter(now, Config::default(), &shares, u64::MAX);
    let ask = |s| ask("clerks", Priority::Ordinary, 10_000, now + Duration::from_secs(s));
    // The burst of 10 s goes at once; the next one takes the organisation into
    // debt, and the one after that must wait for 10 s.
    assert!(limiter.admit(now, &ask(60)).unwrap().is_granted());
    let now = now + Duration::from_millis(1);
    assert!(limiter.admit(now, &ask(60)).unwrap().is_granted());
    assert!(limiter.admit(now, &ask(5)).unwrap_err().is_quota());
    let unknown = AdmissionRequest { organisation: "nobody".into(), ..ask(60) };
    assert!(limiter.admit(now, &unknown).unwrap_err().is_permanent());
    assert!(!limiter.admit(now, &ask(60)).unwrap().is_granted());
    let wakeup = limiter.next_wakeup(now).unwrap();
    assert!(wakeup - now >= Duration::from_secs(9));
    assert_eq!(limiter.poll(wakeup).iter().filter(|a| a.result.is_ok()).count(), 1);
}
