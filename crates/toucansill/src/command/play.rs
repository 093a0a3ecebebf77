//! `play`: load patterns over placement policies, in virtual time.

use crate::{
    cli::{Command, Result},
    exit::{Exit, Failure},
    table::Table,
};
use getopts::{Matches, Options};
use load::{Pattern, Policy, Summary, patterns, plot_first_events, policies, summarize};
use serde_json::json;
use std::path::Path;

/// Engines of the users' first sites.
const ENGINES: usize = 18;
/// Runs of each pattern under each policy.
const SEEDS: u64 = 4;

pub(crate) const COMMAND: Command = Command {
    name: "play",
    arguments: "",
    summary: "Plays load patterns over placement policies on engines in virtual time.",
    examples: &[
        "toucansill play",
        "toucansill play --pattern digests --policy dispatcher --seeds 16",
        "toucansill play --pattern digests --plot digests.svg",
    ],
    options,
    run,
};

fn options(options: &mut Options) {
    options.optmulti("", "pattern", "a pattern; all without it", "NAME");
    options.optmulti("", "policy", "a policy; all without it", "NAME");
    options.optopt("", "engines", "engines (default 18)", "N");
    options.optopt("", "seeds", "runs of each, with seeds from 1 (default 4)", "N");
    options.optopt("", "plot", "draw times to the first event; one pattern", "FILE.svg");
    options.optflag("", "json", "print JSON lines");
}

fn run(matches: &Matches) -> Result<Exit> {
    let engines = matches.opt_get_default("engines", ENGINES).ok().filter(|n| *n > 0);
    let engines = engines.ok_or_else(|| Failure::usage("play: --engines takes a number from 1"))?;
    let seeds = matches.opt_get_default("seeds", SEEDS).ok().filter(|n| *n > 0);
    let seeds = seeds.ok_or_else(|| Failure::usage("play: --seeds takes a number from 1"))?;
    let patterns: Vec<(&str, Pattern)> =
        chosen(&matches.opt_strs("pattern"), "pattern", patterns(), |(name, _)| name)?;
    let policies: Vec<Policy> =
        chosen(&matches.opt_strs("policy"), "policy", policies(), |policy| policy.name)?;
    let plot = matches.opt_str("plot");
    if plot.is_some() && patterns.len() != 1 {
        return Err(Failure::usage("play: --plot needs one --pattern").into());
    }
    for (name, pattern) in &patterns {
        let summaries: Vec<Summary> =
            policies.iter().map(|policy| summarize(policy, pattern, engines, seeds)).collect();
        match matches.opt_present("json") {
            true => summaries.iter().for_each(|summary| print_json(name, summary)),
            false => print_table(name, &summaries),
        }
        if let Some(file) = &plot {
            plot_first_events(Path::new(file), name, &summaries)
                .map_err(|err| Failure::new(Exit::Faults, format!("{file}: {err}")))?;
        }
    }
    Ok(Exit::Done)
}

/// Those of `all` that were named, or all if none was.
fn chosen<T>(
    names: &[String],
    what: &str,
    mut all: Vec<T>,
    name_of: impl Fn(&T) -> &'static str,
) -> Result<Vec<T>> {
    let known: Vec<&str> = all.iter().map(&name_of).collect();
    if let Some(unknown) = names.iter().find(|name| !known.contains(&name.as_str())) {
        let text = format!("play: no {what} {unknown}; there are {}", known.join(", "));
        return Err(Failure::usage(text).into());
    }
    all.retain(|item| names.is_empty() || names.iter().any(|name| name == name_of(item)));
    Ok(all)
}

fn print_table(pattern: &str, summaries: &[Summary]) {
    println!("{pattern}:");
    let mut table =
        Table::new(&["POLICY", "EARNED", "KIND", "ASKED", "ON TIME", "LATE", "REFUSED"]);
    for summary in summaries {
        for (i, (kind, tally)) in summary.kinds.iter().enumerate() {
            let first = |text: String| if i == 0 { text } else { String::new() };
            table.row(vec![
                first(summary.policy.to_owned()),
                first(format!("{:.3}", summary.earned_share)),
                String::from(*kind),
                tally.requests.to_string(),
                tally.on_time.to_string(),
                tally.late.to_string(),
                tally.refused.to_string(),
            ]);
        }
    }
    println!("{}", table.text());
    let mut table = Table::new(&["POLICY", "PROMPT UP TO", "ANSWERED", "FIRST EVENT P50", "P95"]);
    for summary in summaries {
        for class in summary.first_events.iter().filter(|class| class.answered > 0) {
            let up_to = match class.max_tokens {
                u64::MAX => String::from("any"),
                tokens => tokens.to_string(),
            };
            table.row(vec![
                summary.policy.to_owned(),
                up_to,
                class.answered.to_string(),
                format!("{:.0} ms", class.median_ms),
                format!("{:.0} ms", class.p95_ms),
            ]);
        }
    }
    println!("{}", table.text());
}

fn print_json(pattern: &str, summary: &Summary) {
    let kinds = summary.kinds.iter().map(|(kind, tally)| {
        let figures = json!({
            "asked": tally.requests, "on_time": tally.on_time, "late": tally.late,
            "refused": tally.refused, "returned": tally.retried,
        });
        ((*kind).to_owned(), figures)
    });
    let kinds: serde_json::Map<String, serde_json::Value> = kinds.collect();
    let classes = summary.first_events.iter().map(|class| {
        json!({
            "prompt_up_to": class.max_tokens, "answered": class.answered,
            "first_event_p50_ms": class.median_ms, "first_event_p95_ms": class.p95_ms,
        })
    });
    let line = json!({
        "pattern": pattern, "policy": summary.policy, "earned": summary.earned_share,
        "kinds": kinds, "first_events": classes.collect::<Vec<_>>(),
    });
    println!("{line}");
}
