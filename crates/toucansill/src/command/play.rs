//! `play`: simulates load patterns under placement policies, in virtual time.

use crate::{
    cli::{Command, Result},
    exit::{Exit, Failure},
    table::Table,
};
use getopts::{Matches, Options};
use load::{Pattern, Policy, Summary, patterns, plot_first_events, policies, summarize};
use serde_json::json;
use std::path::Path;

/// Default number of engines: that of the users' first sites.
const ENGINES: usize = 18;
/// Default number of runs of each pattern under each policy.
const SEEDS: u64 = 4;

pub(crate) const COMMAND: Command = Command {
    name: "play",
    arguments: "",
    summary: "Simulates load patterns under placement policies in virtual time.",
    examples: &[
        "toucansill play",
        "toucansill play --pattern digests --policy dispatcher --seeds 16",
        "toucansill play --pattern digests --plot digests.svg",
    ],
    options,
    run,
};

fn options(options: &mut Options) {
    options.optmulti("", "pattern", "pattern to simulate, repeatable (default all)", "NAME");
    options.optmulti("", "policy", "policy to simulate, repeatable (default all)", "NAME");
    options.optopt("", "engines", "number of engines (default 18)", "N");
    options.optopt(
        "",
        "seeds",
        "runs of each pattern and policy, with seeds from 1 (default 4)",
        "N",
    );
    options.optopt(
        "",
        "plot",
        "plot the times to the first event; needs one --pattern",
        "FILE.svg",
    );
    options.optflag("", "json", "print JSON lines");
}

fn run(matches: &Matches) -> Result<Exit> {
    let engines = matches.opt_get_default("engines", ENGINES).ok().filter(|n| *n > 0);
    let engines = engines
        .ok_or_else(|| Failure::usage("play: --engines needs a whole number of at least 1"))?;
    let seeds = matches.opt_get_default("seeds", SEEDS).ok().filter(|n| *n > 0);
    let seeds =
        seeds.ok_or_else(|| Failure::usage("play: --seeds needs a whole number of at least 1"))?;
    let patterns: Vec<(&str, Pattern)> =
        select(&matches.opt_strs("pattern"), "pattern", patterns(), |(name, _)| name)?;
    let policies: Vec<Policy> =
        select(&matches.opt_strs("policy"), "policy", policies(), |policy| policy.name)?;
    let plot = matches.opt_str("plot");
    if plot.is_some() && patterns.len() != 1 {
        return Err(Failure::usage("play: --plot needs exactly one --pattern").into());
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

/// Items of `all` whose names are in `names`, or all items if `names` is empty.
fn select<T>(
    names: &[String],
    what: &str,
    mut all: Vec<T>,
    name_of: impl Fn(&T) -> &'static str,
) -> Result<Vec<T>> {
    let known: Vec<&str> = all.iter().map(&name_of).collect();
    if let Some(unknown) = names.iter().find(|name| !known.contains(&name.as_str())) {
        let text = format!("play: unknown {what} '{unknown}'; choose from {}", known.join(", "));
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
        for (i, (kind, result)) in summary.kinds.iter().enumerate() {
            let first = |text: String| if i == 0 { text } else { String::new() };
            table.add_row(vec![
                first(summary.policy.to_owned()),
                first(format!("{:.3}", summary.earned_share)),
                String::from(*kind),
                result.requests.to_string(),
                result.on_time.to_string(),
                result.late.to_string(),
                result.refused.to_string(),
            ]);
        }
    }
    println!("{}", table.render());
    let mut table = Table::new(&["POLICY", "PROMPT UP TO", "ANSWERED", "FIRST EVENT P50", "P95"]);
    for summary in summaries {
        for bucket in summary.first_events.iter().filter(|bucket| bucket.answered > 0) {
            let max_tokens = match bucket.max_tokens {
                u64::MAX => String::from("any"),
                tokens => tokens.to_string(),
            };
            table.add_row(vec![
                summary.policy.to_owned(),
                max_tokens,
                bucket.answered.to_string(),
                format!("{:.0} ms", bucket.median_ms),
                format!("{:.0} ms", bucket.p95_ms),
            ]);
        }
    }
    println!("{}", table.render());
}

fn print_json(pattern: &str, summary: &Summary) {
    let kinds = summary.kinds.iter().map(|(kind, result)| {
        let figures = json!({
            "asked": result.requests, "on_time": result.on_time, "late": result.late,
            "refused": result.refused, "returned": result.retried,
        });
        ((*kind).to_owned(), figures)
    });
    let kinds: serde_json::Map<String, serde_json::Value> = kinds.collect();
    let buckets = summary.first_events.iter().map(|bucket| {
        json!({
            "prompt_up_to": bucket.max_tokens, "answered": bucket.answered,
            "first_event_p50_ms": bucket.median_ms, "first_event_p95_ms": bucket.p95_ms,
        })
    });
    let line = json!({
        "pattern": pattern, "policy": summary.policy, "earned": summary.earned_share,
        "kinds": kinds, "first_events": buckets.collect::<Vec<_>>(),
    });
    println!("{line}");
}
