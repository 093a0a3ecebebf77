//! Compares the expected outcomes of a trace with those of the run and prints both.

use super::{call::CallOutcome, run::RunRecord, trace::Outcomes};
use crate::{cli::Result, table::Table};
use serde::Serialize;
use std::{collections::BTreeMap, time::Duration};

/// One expected outcome (`stated`), the value of the run (`seen`) and whether it meets the bound.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Row {
    outcome: String,
    stated: String,
    seen: String,
    pub(crate) met: bool,
}

/// Number of requests of a run, by how they ended.
#[derive(Clone, Debug, Serialize)]
struct Counts {
    requests: usize,
    answered: usize,
    refused: usize,
    deadline: usize,
    lost: usize,
    elapsed_s: f64,
    /// Number of requests without a complete response, by error code or cause.
    reasons: BTreeMap<String, usize>,
}

#[derive(Serialize)]
struct Report<'a> {
    counts: &'a Counts,
    outcomes: &'a [Row],
}

/// One row per outcome that the trace expects.
pub(crate) fn rows(expected: &Outcomes, record: &RunRecord) -> Vec<Row> {
    let count = |outcome| count_outcome(record, outcome) as u64;
    let late = record.results.iter().filter(|result| result.is_late).count() as u64;
    let wrong = record.results.iter().filter(|result| !result.has_expected_text).count() as u64;
    let executions = record.executions.values().copied().max().unwrap_or_default();
    let most = [
        ("requests lost", expected.lost_max, count(CallOutcome::Lost)),
        ("ended for their deadline", expected.deadline_verdicts_max, count(CallOutcome::Deadline)),
        ("answered late", expected.late_max, late),
        ("wrong answers", expected.wrong_text_max, wrong),
        ("executions of a booking", expected.executions_per_booking_max, executions),
        ("newly sent to a data centre out for 3 s", expected.sent_to_out_max, record.sent_to_out),
    ];
    let answered = expected.answered_percent_min.map(|min| answered_row(min, record));
    let first_tokens =
        (0..expected.first_token_p95.len()).map(|i| first_token_row(expected, i, record));
    answered
        .into_iter()
        .chain(most.into_iter().filter_map(|(name, max, seen)| Some(at_most_row(name, max?, seen))))
        .chain(first_tokens)
        .collect()
}

/// Prints the rows and the counts.
pub(crate) fn print(rows: &[Row], record: &RunRecord, as_json: bool) -> Result<()> {
    let counts = counts(record);
    if as_json {
        println!("{}", serde_json::to_string(&Report { counts: &counts, outcomes: rows })?);
        return Ok(());
    }
    let mut table = Table::new(&["OUTCOME", "STATED", "SEEN", "MET"]);
    for row in rows {
        let met = String::from(if row.met { "yes" } else { "NO" });
        table.add_row(vec![row.outcome.clone(), row.stated.clone(), row.seen.clone(), met]);
    }
    print!("{}", table.render());
    println!(
        "{} requests in {:.1} s: {} answered, {} refused, {} ended for their deadline, {} lost",
        counts.requests,
        counts.elapsed_s,
        counts.answered,
        counts.refused,
        counts.deadline,
        counts.lost
    );
    counts.reasons.iter().for_each(|(reason, n)| println!("  {n} without an answer: {reason}"));
    Ok(())
}

/// Counts the requests of a run by outcome and reason.
fn counts(record: &RunRecord) -> Counts {
    let mut reasons = BTreeMap::new();
    for result in record.results.iter().filter(|result| result.outcome != CallOutcome::Answered) {
        *reasons.entry(result.reason.clone()).or_default() += 1;
    }
    Counts {
        requests: record.results.len(),
        answered: count_outcome(record, CallOutcome::Answered),
        refused: count_outcome(record, CallOutcome::Refused),
        deadline: count_outcome(record, CallOutcome::Deadline),
        lost: count_outcome(record, CallOutcome::Lost),
        elapsed_s: record.elapsed.as_secs_f64(),
        reasons,
    }
}

fn count_outcome(record: &RunRecord, outcome: CallOutcome) -> usize {
    record.results.iter().filter(|result| result.outcome == outcome).count()
}

/// Row for the share of requests with a complete response.
fn answered_row(min: f64, record: &RunRecord) -> Row {
    let percent =
        count_outcome(record, CallOutcome::Answered) as f64 * 100.0 / record.results.len() as f64;
    Row {
        outcome: String::from("answered"),
        stated: format!("at least {min} %"),
        seen: format!("{percent:.1} %"),
        met: percent >= min,
    }
}

/// Row for a count with an upper bound.
fn at_most_row(outcome: &str, max: u64, seen: u64) -> Row {
    Row {
        outcome: String::from(outcome),
        stated: format!("at most {max}"),
        seen: seen.to_string(),
        met: seen <= max,
    }
}

/// Row for the 95th percentile of the time to the first token, of prompts longer than the previous
/// bound's length and up to this one's.
fn first_token_row(expected: &Outcomes, i: usize, record: &RunRecord) -> Row {
    let bound = &expected.first_token_p95[i];
    let above = if i == 0 { 0 } else { expected.first_token_p95[i - 1].up_to_tokens };
    let mut times: Vec<Duration> = record
        .results
        .iter()
        .filter(|result| result.prompt_tokens > above && result.prompt_tokens <= bound.up_to_tokens)
        .filter_map(|result| result.first_token)
        .collect();
    times.sort();
    // Nearest rank: the smallest time that at least 95% of the requests do not exceed.
    let rank = (times.len() * 95).div_ceil(100);
    let p95 = rank.checked_sub(1).map(|i| times[i].as_secs_f64() * 1_000.0);
    Row {
        outcome: format!("first token p95, prompts to {} tokens", bound.up_to_tokens),
        stated: format!("at most {} ms", bound.ms),
        seen: p95.map_or_else(|| String::from("no first token"), |ms| format!("{ms:.1} ms")),
        met: p95.is_some_and(|ms| ms <= bound.ms),
    }
}
