//! `timeline`: events of all daemons in one order.

use crate::{
    cli::{Command, Result},
    exit::{Exit, Failure},
    operator::{self, Operator},
};
use event::{Event, Filter, filter, merge, read_file};
use getopts::{Matches, Options};
use std::path::Path;

pub(crate) const COMMAND: Command = Command {
    name: "timeline",
    arguments: "[FILE...]",
    summary: "Merges events of daemons, from their files or from a running daemon.",
    examples: &[
        "toucansill timeline entry-1.timeline entry-2.timeline --request entry-1-1a2b-3",
        "toucansill timeline -a 10.0.0.1:8082 -t operator.token --upstream engine-3",
    ],
    options,
    run,
};

fn options(options: &mut Options) {
    operator::options(options);
    options.optopt("", "request", "only events about this request", "ID");
    options.optopt("", "upstream", "only events about this upstream", "ID");
    options.optopt("", "data-centre", "only events about this data centre", "ID");
    options.optopt("", "change", "only events about this log index", "N");
}

fn run(matches: &Matches) -> Result<Exit> {
    let events = match matches.free.is_empty() {
        true => Operator::of(matches)?.get("/timeline")?,
        false => read(&matches.free)?,
    };
    let wanted = wanted(matches)?;
    for event in filter(&merge([events]), &wanted) {
        if matches.opt_present("json") {
            println!("{}", serde_json::to_string(event)?);
        } else {
            println!("{}", line(event));
        }
    }
    Ok(Exit::Done)
}

fn read(files: &[String]) -> Result<Vec<Event>> {
    let mut all = Vec::new();
    for file in files {
        let read = read_file(Path::new(file))?;
        if read.bad_lines > 0 {
            eprintln!("{file}: {} lines are no event", read.bad_lines);
        }
        all.extend(read.events);
    }
    Ok(all)
}

fn wanted(matches: &Matches) -> Result<Filter> {
    let change = matches
        .opt_get("change")
        .map_err(|_| Failure::usage("timeline: --change takes a whole number"))?;
    Ok(Filter {
        request: matches.opt_str("request"),
        upstream: matches.opt_str("upstream"),
        data_centre: matches.opt_str("data-centre"),
        change,
        ..Filter::default()
    })
}

fn line(event: &Event) -> String {
    let about = [&event.request, &event.upstream, &event.data_centre];
    let about: Vec<&str> = about.into_iter().flatten().map(String::as_str).collect();
    let change = event.change.map(|change| format!(" change {change}")).unwrap_or_default();
    format!(
        "{} {} {:?} {}{change} {}",
        event.time,
        event.daemon,
        event.kind,
        about.join(" "),
        event.text
    )
}
