//! Scripted scenarios, one for each guarantee of a fleet and each failure that it handles. Every
//! step is also checked against the model in `common`.

use crate::common::{CheckedFleet, engine, job};
use goldenscript::{Argument, Command, Context, Runner};
use route::{
    Config, DesiredState, FailureCause, LoadCounters, LoadReport, Placement, PoisonDetector,
    PoisonDetectorConfig, Prefix, Priority, Restriction, TokenUsage,
};
use std::{collections::BTreeMap, error::Error, fmt::Write, time::Duration};

type Output = Result<String, Box<dyn Error>>;

/// State of a running script.
struct Script {
    checked: CheckedFleet,
    poison: PoisonDetector,
    /// Request hashes of submitted requests, from their `poison` argument.
    request_hashes: BTreeMap<String, u64>,
}

impl Script {
    fn new() -> Self {
        Self {
            checked: CheckedFleet::new(Config::default()),
            poison: PoisonDetector::new(PoisonDetectorConfig::default()),
            request_hashes: BTreeMap::new(),
        }
    }

    /// `announce <upstream>... [incarnation=1] [uptime=600] [leaving=true]`
    fn announce(&mut self, args: &Args) {
        for id in &args.names {
            let mut info = engine(id, args.get("incarnation", 1), args.seconds("uptime", 600));
            info.is_draining = args.get("leaving", false);
            self.checked.announce(info);
        }
    }

    /// `report <upstream> [incarnation=1] [requests=0] [memory=0]`
    fn report(&mut self, args: &Args) -> String {
        let counters =
            LoadCounters { requests: args.get("requests", 0), ..LoadCounters::default() };
        let report = LoadReport {
            incarnation: args.get("incarnation", 1),
            memory_used: args.get("memory", 0),
            counters,
            ..LoadReport::default()
        };
        format!("{:?}\n", self.checked.report(&args.names[0], report))
    }

    /// `submit <request>... [prompt=1000] [within=60] [urgent=true] [poison=7]
    /// [avoid=<upstream>] [prefix=<hash>]`
    fn submit(&mut self, args: &Args) -> String {
        let mut out = String::new();
        for request in &args.names {
            let deadline = self.checked.now + args.seconds("within", 60);
            let mut job = job(request, args.get("prompt", 1_000), deadline);
            if args.get("urgent", false) {
                job.priority = Priority::Urgent;
            }
            if let Some(request_hash) = args.keys.get("poison") {
                let request_hash: u64 = request_hash.parse().unwrap();
                if let Err(refusal) = self.poison.check_quarantine(self.checked.now, request_hash) {
                    writeln!(out, "{request}: {refusal}").unwrap();
                    continue;
                }
                job.is_suspect = self.poison.is_suspect(self.checked.now, request_hash);
                self.request_hashes.insert(request.clone(), request_hash);
            }
            job.avoid = args.keys.get("avoid").cloned().into_iter().collect();
            let hash = args.keys.get("prefix").and_then(|hash| hash.parse().ok());
            job.prefixes = hash.map(|hash| Prefix { hash, tokens: 512 }).into_iter().collect();
            if let Err(refusal) = self.checked.try_submit(job) {
                writeln!(out, "{request}: {refusal}").unwrap();
            }
        }
        out
    }

    fn dispatch(&mut self) -> String {
        let mut out = String::new();
        for dispatch in self.checked.dispatch() {
            match &dispatch.placement {
                Placement::Single(reservation) => {
                    writeln!(
                        out,
                        "{} -> {} ({})",
                        dispatch.request, reservation.upstream, reservation.tokens
                    )
                }
                Placement::Gang(segments) => {
                    let members: Vec<String> = segments
                        .iter()
                        .map(|s| {
                            format!(
                                "{} {}..{} ({})",
                                s.reservation.upstream, s.start, s.end, s.reservation.tokens
                            )
                        })
                        .collect();
                    writeln!(out, "{} -> gang: {}", dispatch.request, members.join(", "))
                }
            }
            .unwrap();
        }
        out
    }

    /// `die <upstream>`: the upstream crashes and its requests in flight are lost.
    fn die(&mut self, id: &String) -> String {
        let requests = self.checked.fleet.requests_on(id);
        let in_flight: Vec<u64> =
            requests.iter().filter_map(|r| self.request_hashes.get(r).copied()).collect();
        self.checked.remove(id);
        let quarantined = self.poison.upstream_crashed(self.checked.now, &in_flight);
        let lost = requests.join(" ");
        let mut out = format!("lost: {lost}\n");
        quarantined.iter().for_each(|hash| writeln!(out, "quarantined: {hash}").unwrap());
        out
    }

    fn finish(&mut self, args: &Args) {
        for request in &args.names {
            self.checked.finish(request, TokenUsage::default());
            if let Some(request_hash) = self.request_hashes.get(request) {
                self.poison.request_finished(*request_hash);
            }
        }
    }

    fn show(&self, id: &String) -> String {
        let Some(explanation) = self.checked.fleet.explain(self.checked.now, id) else {
            return format!("{id}: not known\n");
        };
        let restrictions: Vec<String> =
            explanation.restrictions.iter().map(format_restriction).collect();
        format!(
            "{id}: running={} reserved={} room={} [{}]\n",
            explanation.running,
            explanation.reserved_tokens,
            explanation.free_tokens,
            restrictions.join(", ")
        )
    }
}

fn format_restriction(restriction: &Restriction) -> String {
    format!("{restriction:?}")
}

/// Arguments of a command.
struct Args {
    names: Vec<String>,
    keys: BTreeMap<String, String>,
}

impl Args {
    fn of(command: &Command) -> Self {
        let mut args = Self { names: Vec::new(), keys: BTreeMap::new() };
        for arg in &command.args {
            match arg {
                Argument::KeyValue(key, value) => {
                    args.keys.insert(key.clone(), value.clone());
                }
                Argument::Positional(name) => args.names.push(name.clone()),
                _ => unreachable!("no other kinds of arguments"),
            }
        }
        args
    }

    fn get<T: std::str::FromStr>(&self, key: &str, default: T) -> T {
        self.keys.get(key).and_then(|value| value.parse().ok()).unwrap_or(default)
    }

    fn seconds(&self, key: &str, default: u64) -> Duration {
        Duration::from_secs(self.get(key, default))
    }
}

impl Runner for Script {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Output {
        let args = Args::of(command);
        let mut out = String::new();
        match command.name.as_str() {
            "announce" => self.announce(&args),
            "report" => out = self.report(&args),
            "advance" => self.checked.advance(Duration::from_millis(args.get("ms", 0))),
            "retire" => self.checked.set_desired_state(&args.names[0], DesiredState::Retired),
            "bring-up" => self.checked.set_desired_state(&args.names[0], DesiredState::Up),
            "data-centre" => self.checked.set_in_service(args.names[0] == "in"),
            "submit" => out = self.submit(&args),
            "dispatch" => out = self.dispatch(),
            "first-token" => args.names.iter().for_each(|r| self.checked.first_token(r)),
            "finish" => self.finish(&args),
            "fail" => args.names.iter().for_each(|r| self.checked.fail(r, FailureCause::Upstream)),
            "cancel" => args.names.iter().for_each(|r| self.checked.cancel(r)),
            "die" => out = self.die(&args.names[0]),
            "expired" => {
                for refused in self.checked.refused() {
                    writeln!(out, "{}: {}", refused.request, refused.refusal)?;
                }
            }
            "show" => args.names.iter().for_each(|id| out += &self.show(id)),
            other => return Err(format!("unknown command {other}").into()),
        }
        Ok(out)
    }

    fn end_script(&mut self) -> Result<(), Box<dyn Error>> {
        self.checked.drain();
        Ok(())
    }
}

macro_rules! scenarios {
    ($($name:ident),* $(,)?) => {
        $(#[test]
        fn $name() {
            let path = format!("tests/scripts/{}", stringify!($name));
            goldenscript::run(&mut Script::new(), path).expect("the script can be run");
        })*
    };
}

scenarios! {
    admitted_requests_finish_or_fail_in_time,
    no_engine_loses_memory_for_good,
    cold_start_bears_its_load,
    cold_start_without_warning,
    data_centre_out_gets_no_new_work,
    leaving_upstream_gets_no_new_work,
    retired_upstream_gets_no_new_work,
    engine_dies_with_requests_in_flight,
    poison_among_many,
    prompt_beyond_one_engine,
    prompt_beyond_all_engines,
    surge_is_refused_at_once,
    short_beside_enormous,
    data_centre_out_while_engine_dies,
    cold_start_while_poison_returns,
}
