//! `timeline`: events of daemons, merged into one order.

use crate::{
    cli::{Command, Result},
    exit::{Exit, Failure},
    operator::{self, OperatorClient},
};
use event::{Event, Filter, filter, merge, read_file};
use getopts::{Matches, Options};
use std::path::Path;

pub(crate) const COMMAND: Command = Command {
    name: "timeline",
    arguments: "[FILE...]",
    summary: "Merges and prints events of daemons, from files or from a running daemon.",
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
        true => OperatorClient::from_options(matches)?.get("/timeline")?,
        false => read_events(&matches.free)?,
    };
    let selection = selection(matches)?;
    for event in filter(&merge([events]), &selection) {
        if matches.opt_present("json") {
            println!("{}", serde_json::to_string(event)?);
        } else {
            println!("{}", render(event));
        }
    }
    Ok(Exit::Done)
}

/// Reads the events of all files. The number of lines that can't be parsed is printed on standard
/// error.
fn read_events(files: &[String]) -> Result<Vec<Event>> {
    let mut all = Vec::new();
    for file in files {
        let file_events = read_file(Path::new(file))?;
        if file_events.bad_lines > 0 {
            eprintln!("{file}: skipped {} lines that are not events", file_events.bad_lines);
        }
        all.extend(file_events.events);
    }
    Ok(all)
}

/// Filter that the options select.
fn selection(matches: &Matches) -> Result<Filter> {
    let change = matches
        .opt_get("change")
        .map_err(|_| Failure::usage("timeline: --change needs a whole number (a log index)"))?;
    Ok(Filter {
        request: matches.opt_str("request"),
        upstream: matches.opt_str("upstream"),
        data_centre: matches.opt_str("data-centre"),
        change,
        ..Filter::default()
    })
}

/// One line for the terminal.
fn render(event: &Event) -> String {
    let ids = [&event.request, &event.upstream, &event.data_centre];
    let ids: Vec<&str> = ids.into_iter().flatten().map(String::as_str).collect();
    let change = event.change.map(|change| format!(" change {change}")).unwrap_or_default();
    format!(
        "{} {} {:?} {}{change} {}",
        event.time,
        event.daemon,
        event.kind,
        ids.join(" "),
        event.text
    )
}
