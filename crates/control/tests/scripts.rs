//! Scripted scenarios with one leader at a time and exact times, from
//! `tests/scripts`.

mod common;

use common::{claim, claim_id, holder, join};
use control::{
    Command, Completion, Configuration, CrashCharge, DataCentre, InForceStatus, Leases,
    LedgerLimits, Outcome, Ownership, ProposedSheet, Session, State, StoredResponse,
};
use goldenscript::ArgumentConsumer;
use std::{
    collections::BTreeMap,
    error::Error,
    time::{Duration, Instant},
};

type Result<T> = std::result::Result<T, Box<dyn Error>>;

const DATA_CENTRE: &str = "dc-1";

const LIMITS: LedgerLimits = LedgerLimits {
    retention_ms: 60_000,
    abandoned_retention_ms: 1000,
    max_entries: 3,
    max_bytes: 10_000,
    max_response_bytes: 16,
};

/// The region under test: a state, the leader's leases, and the daemons' sessions.
struct Region {
    start: Instant,
    now: Instant,
    state: State,
    leases: Leases,
    sessions: BTreeMap<String, Session>,
}

impl Region {
    fn new() -> Self {
        let (start, state) = (Instant::now(), State::with_limits(LIMITS));
        let leases = Leases::new(start, state.roster());
        Self { start, now: start, state, leases, sessions: BTreeMap::new() }
    }

    fn now_ms(&self) -> u64 {
        (self.now - self.start).as_millis() as u64
    }

    /// Applies a command at the next index and prints its outcome.
    fn apply(&mut self, mut cmd: Command) -> String {
        cmd.stamp(self.now_ms());
        let index = self.state.applied() + 1;
        match self.state.apply(index, &cmd) {
            Outcome::Sheet(outcome) => format!("{index}: {outcome:?}"),
            Outcome::Roster(outcome) => format!("{index}: {outcome:?}"),
            Outcome::Claim(outcome) => format!("{index}: {outcome:?}"),
            Outcome::Key(outcome) => format!("{index}: {outcome:?}"),
            outcome => format!("{index}: {outcome:?}"),
        }
    }

    fn session(&mut self, daemon: &str) -> Result<&mut Session> {
        self.sessions.get_mut(daemon).ok_or_else(|| format!("no daemon {daemon}").into())
    }

    fn join(&mut self, daemon: &str, incarnation: u64) -> String {
        let session = Session::new(holder(daemon, incarnation), DATA_CENTRE);
        self.sessions.insert(daemon.to_string(), session);
        self.apply(join(daemon, incarnation, DATA_CENTRE))
    }

    /// Renews the lease of a daemon without loss.
    fn renew(&mut self, daemon: &str) -> Result<String> {
        let now = self.now;
        let renewal = self.session(daemon)?.renew(now);
        let reply = self.leases.renew(now, &renewal, &self.state);
        match self.session(daemon)?.accept(&reply) {
            Ok(()) => self.show(daemon),
            Err(err) => Ok(format!("{daemon}: {err}")),
        }
    }

    /// Prints the view of a daemon and whether it accepts new work.
    fn show(&mut self, daemon: &str) -> Result<String> {
        let now = self.now;
        let session = self.session(daemon)?;
        let view = session.view();
        let in_service = view.configuration().data_centres.iter().filter(|(_, dc)| dc.in_service);
        let in_service: Vec<&str> = in_service.map(|(name, _)| name.as_str()).collect();
        let work = match session.may_accept_work(now) {
            Ok(()) => "takes work".to_string(),
            Err(refusal) => format!("takes no work: {refusal}"),
        };
        Ok(format!("{daemon}: index {}, in service {in_service:?}, {work}", view.index()))
    }

    /// Prints whether each daemon owns an upstream.
    fn owners(&self, upstream: &str) -> String {
        let line = |(name, session): (&String, &Session)| match session.owns(upstream, self.now) {
            Ownership::Owner { epoch } => format!("{name}: owner, epoch {epoch}\n"),
            Ownership::Other { owner } => format!("{name}: owner is {owner:?}\n"),
            Ownership::Waiting => format!("{name}: waits\n"),
            Ownership::Refused(refusal) => format!("{name}: {refusal}\n"),
        };
        self.sessions.iter().map(line).collect()
    }

    /// Removes the daemons whose lease has expired.
    fn expire(&mut self) -> String {
        let expired = self.leases.expired(self.now, self.state.roster());
        expired.into_iter().map(|holder| self.apply(Command::Expire(holder)) + "\n").collect()
    }

    /// Prints whether an index is in force.
    fn in_force(&self, index: u64) -> String {
        match self.leases.in_force(index, self.now) {
            InForceStatus::Yes => "in force".to_string(),
            InForceStatus::No { lagging, is_leader_new } => {
                let names: Vec<String> = lagging
                    .iter()
                    .map(|lag| format!("{} for {:?}", lag.instance.daemon, lag.expires_in))
                    .collect();
                format!("not in force; lagging {names:?}, leader new: {is_leader_new}")
            }
        }
    }

    /// Applies a sheet. Its hash is the number of data centres in service.
    fn sheet(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let mut configuration = Configuration::new("cl-centro");
        for (key, in_service) in [("in", true), ("out", false)] {
            for name in args.take_key(key).unwrap_or_default().split_whitespace() {
                configuration.data_centres.insert(name.to_string(), DataCentre { in_service });
            }
        }
        let digest =
            [configuration.data_centres.values().filter(|dc| dc.in_service).count() as u8; 32];
        let operator = args.take_key("by").unwrap_or("ana").to_string();
        let number = number(args, "number")?;
        Ok(self.apply(Command::ApplySheet(ProposedSheet {
            number,
            digest,
            configuration,
            operator,
        })))
    }

    /// Claims, abandons or completes a key.
    fn call(&mut self, name: &str, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let key = text(args, "key")?;
        let request = text(args, "request")?;
        let holder = self.session(&text(args, "by")?)?.instance().clone();
        let id = claim_id(&key, &request, holder, 0);
        Ok(match name {
            "claim" => {
                let body = args.take_key("body").unwrap_or("1").parse()?;
                self.apply(claim(id, body))
            }
            "abandon" => self.apply(Command::AbandonKey(id)),
            _ => {
                let body = args.take_key("answer").unwrap_or("ok").as_bytes().to_vec();
                let answer =
                    StoredResponse { status: 200, content_type: String::new(), body: Some(body) };
                self.apply(Command::CompleteKey(Completion { id, answer }))
            }
        })
    }

    /// Charges the crash of an upstream to a request.
    fn charge(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let alone = args.take_key("alone") == Some("yes");
        let upstream = text(args, "upstream")?;
        let fingerprint = [number(args, "print")? as u8; 32];
        let charge = CrashCharge { fingerprint, upstream, incarnation: 1, alone, at_ms: 0 };
        Ok(self.apply(Command::Charge(charge)))
    }
}

fn text(args: &mut ArgumentConsumer<'_>, key: &str) -> Result<String> {
    args.take_key(key).map(str::to_string).ok_or_else(|| format!("{key} is missing").into())
}

fn number(args: &mut ArgumentConsumer<'_>, key: &str) -> Result<u64> {
    Ok(text(args, key)?.parse()?)
}

impl goldenscript::Runner for Region {
    type Command = goldenscript::Command;

    fn run(&mut self, cmd: &Self::Command, _cx: &goldenscript::Context) -> Result<String> {
        let mut args = cmd.consume_args();
        let first = args.next_pos().unwrap_or_default();
        let output = match cmd.name.as_str() {
            "sheet" => self.sheet(&mut args)?,
            "join" => self.join(first, number(&mut args, "run")?),
            "renew" => self.renew(first)?,
            "show" => self.show(first)?,
            "owners" => self.owners(first),
            "expire" => self.expire(),
            "in-force" => self.in_force(first.parse()?),
            "claim" | "complete" | "abandon" => self.call(&cmd.name, &mut args)?,
            "charge" => self.charge(&mut args)?,
            "tick" => self.apply(Command::Tick { at_ms: 0 }),
            "wait" => {
                self.now += Duration::from_millis(first.parse()?);
                String::new()
            }
            "elect" => {
                self.leases = Leases::new(self.now, self.state.roster());
                String::new()
            }
            "restore" => {
                self.state = State::restore(&self.state.snapshot())?;
                String::new()
            }
            "leave" => {
                let holder = self.session(first)?.instance().clone();
                self.session(first)?.end();
                self.leases.release(&holder);
                self.apply(Command::Leave(holder))
            }
            other => return Err(format!("unknown command {other}").into()),
        };
        args.reject_next()?;
        Ok(output)
    }
}

fn run(name: &str) {
    goldenscript::run(&mut Region::new(), format!("tests/scripts/{name}")).unwrap();
}

#[test]
fn operators_race() {
    run("operators_race");
}

#[test]
fn data_centre_out() {
    run("data_centre_out");
}

#[test]
fn new_leader() {
    run("new_leader");
}

#[test]
fn handover() {
    run("handover");
}

#[test]
fn ledger_bound() {
    run("ledger_bound");
}

#[test]
fn resend_after_crash() {
    run("resend_after_crash");
}

#[test]
fn poison() {
    run("poison");
}
