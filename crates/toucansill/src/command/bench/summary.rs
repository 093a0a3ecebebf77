//! Results of the runs, and their ratios to the first one.

use super::load::Samples;
use crate::{cli::Result, table::Table};
use serde::Serialize;
use std::time::Duration;

/// Results of one run; times in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Row {
    path: &'static str,
    requests_per_s: f64,
    failed: usize,
    first_token_p50_ms: f64,
    first_token_p95_ms: f64,
    whole_p50_ms: f64,
}

impl Row {
    /// Computes the results of a run. `path` names the path that its requests took.
    pub(crate) fn of(path: &'static str, samples: Samples) -> Self {
        let times = |f: fn(&super::load::Sample) -> Duration| {
            let mut times: Vec<Duration> = samples.answered.iter().map(f).collect();
            times.sort();
            times
        };
        let first_token = times(|sample| sample.first_token);
        let whole = times(|sample| sample.whole);
        let elapsed = samples.elapsed.as_secs_f64().max(f64::EPSILON);
        Self {
            path,
            requests_per_s: samples.answered.len() as f64 / elapsed,
            failed: samples.failed,
            first_token_p50_ms: quantile_ms(&first_token, 0.50),
            first_token_p95_ms: quantile_ms(&first_token, 0.95),
            whole_p50_ms: quantile_ms(&whole, 0.50),
        }
    }
}

/// Prints the rows.
pub(crate) fn print(rows: &[Row], as_json: bool) -> Result<()> {
    if as_json {
        for row in rows {
            println!("{}", serde_json::to_string(row)?);
        }
        return Ok(());
    }
    let headings = ["PATH", "REQUESTS/S", "FAILED", "FIRST TOKEN P50", "P95", "WHOLE P50", "RATIO"];
    let mut table = Table::new(&headings);
    let baseline = rows.first().map_or(1.0, |row| row.first_token_p95_ms);
    for row in rows {
        table.add_row(vec![
            String::from(row.path),
            format!("{:.0}", row.requests_per_s),
            row.failed.to_string(),
            format!("{:.2} ms", row.first_token_p50_ms),
            format!("{:.2} ms", row.first_token_p95_ms),
            format!("{:.2} ms", row.whole_p50_ms),
            format!("{:.2}", row.first_token_p95_ms / baseline),
        ]);
    }
    print!("{}", table.render());
    println!("RATIO is the p95 of the first token divided by that of the first row.");
    Ok(())
}

/// Quantile `q` (0 to 1) of sorted times, in milliseconds: the one at the nearest index, or NaN
/// without values.
fn quantile_ms(sorted: &[Duration], q: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * q).round() as usize;
    sorted.get(index).map_or(f64::NAN, |time| time.as_secs_f64() * 1_000.0)
}
