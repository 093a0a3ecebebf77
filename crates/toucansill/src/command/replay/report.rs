//! Stated outcomes beside those seen.

use super::{call::End, run::Record, trace::Outcomes};
use crate::{cli::Result, table::Table};
use serde::Serialize;
use std::{collections::BTreeMap, time::Duration};

/// One outcome.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Row {
    outcome: String,
    stated: String,
    seen: String,
    pub(crate) met: bool,
}

/// Requests of a run by how they ended.
#[derive(Clone, Debug, Serialize)]
struct Counts {
    requests: usize,
    answered: usize,
    refused: usize,
    deadline: usize,
    lost: usize,
    elapsed_s: f64,
    /// Requests without an answer by the error's code.
    reasons: BTreeMap<String, usize>,
}

#[derive(Serialize)]
struct Report<'a> {
    counts: &'a Counts,
    outcomes: &'a [Row],
}

/// Compares the outcomes.
pub(crate) fn rows(stated: &Outcomes, record: &Record) -> Vec<Row> {
    let count = |end| ended(record, end) as u64;
    let late = record.seen.iter().filter(|seen| seen.is_late).count() as u64;
    let wrong = record.seen.iter().filter(|seen| !seen.is_right).count() as u64;
    let executions = record.executions.values().copied().max().unwrap_or_default();
    let most = [
        ("requests lost", stated.lost_max, count(End::Lost)),
        ("ended for their deadline", stated.deadline_verdicts_max, count(End::Deadline)),
        ("answered late", stated.late_max, late),
        ("wrong answers", stated.wrong_text_max, wrong),
        ("executions of a booking", stated.executions_per_booking_max, executions),
        ("newly sent to a data centre out for 3 s", stated.sent_to_out_max, record.sent_to_out),
    ];
    let answered = stated.answered_percent_min.map(|min| answered_row(min, record));
    let first_tokens = (0..stated.first_token_p95.len()).map(|i| first_token(stated, i, record));
    answered
        .into_iter()
        .chain(most.into_iter().filter_map(|(name, max, seen)| Some(at_most(name, max?, seen))))
        .chain(first_tokens)
        .collect()
}

/// Prints the outcomes.
pub(crate) fn print(rows: &[Row], record: &Record, as_json: bool) -> Result<()> {
    let counts = counts(record);
    if as_json {
        println!("{}", serde_json::to_string(&Report { counts: &counts, outcomes: rows })?);
        return Ok(());
    }
    let mut table = Table::new(&["OUTCOME", "STATED", "SEEN", "MET"]);
    for row in rows {
        let met = String::from(if row.met { "yes" } else { "NO" });
        table.row(vec![row.outcome.clone(), row.stated.clone(), row.seen.clone(), met]);
    }
    print!("{}", table.text());
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

fn counts(record: &Record) -> Counts {
    let mut reasons = BTreeMap::new();
    for seen in record.seen.iter().filter(|seen| seen.end != End::Answered) {
        *reasons.entry(seen.reason.clone()).or_default() += 1;
    }
    Counts {
        requests: record.seen.len(),
        answered: ended(record, End::Answered),
        refused: ended(record, End::Refused),
        deadline: ended(record, End::Deadline),
        lost: ended(record, End::Lost),
        elapsed_s: record.elapsed.as_secs_f64(),
        reasons,
    }
}

fn ended(record: &Record, end: End) -> usize {
    record.seen.iter().filter(|seen| seen.end == end).count()
}

fn answered_row(min: f64, record: &Record) -> Row {
    let percent = ended(record, End::Answered) as f64 * 100.0 / record.seen.len() as f64;
    Row {
        outcome: String::from("answered"),
        stated: format!("at least {min} %"),
        seen: format!("{percent:.1} %"),
        met: percent >= min,
    }
}

fn at_most(outcome: &str, max: u64, seen: u64) -> Row {
    Row {
        outcome: String::from(outcome),
        stated: format!("at most {max}"),
        seen: seen.to_string(),
        met: seen <= max,
    }
}

fn first_token(stated: &Outcomes, i: usize, record: &Record) -> Row {
    let class = &stated.first_token_p95[i];
    let above = if i == 0 { 0 } else { stated.first_token_p95[i - 1].up_to_tokens };
    let mut times: Vec<Duration> = record
        .seen
        .iter()
        .filter(|seen| seen.prompt_tokens > above && seen.prompt_tokens <= class.up_to_tokens)
        .filter_map(|seen| seen.first_token)
        .collect();
    times.sort();
    // The smallest time that at least 95% of the requests stay within.
    let rank = (times.len() * 95).div_ceil(100);
    let p95 = rank.checked_sub(1).map(|i| times[i].as_secs_f64() * 1_000.0);
    Row {
        outcome: format!("first token p95, prompts to {} tokens", class.up_to_tokens),
        stated: format!("at most {} ms", class.ms),
        seen: p95.map_or_else(|| String::from("no first token"), |ms| format!("{ms:.1} ms")),
        met: p95.is_some_and(|ms| ms <= class.ms),
    }
}
