//! Which lines of a log are left out.

use log::Level;
use serde_json::Value;
use std::{
    env,
    process::{self, Command},
    time::{Duration, Instant},
};
use toucansilld::logs::{
    self,
    budget::{Admission, CallSite, LineBudget},
};

/// Maximum number of lines in one second.
const MAX_LINES_PER_SECOND: usize = 400;
/// Maximum number of queued lines.
const MAX_QUEUED_LINES: usize = 2_048;

/// Environment variable that is set in a process that logs too much.
const FLOODED: &str = "TOUCANSILL_TEST_FLOODED_LOG";

fn site(line: u32) -> CallSite {
    CallSite { module: Some("toucansilld::gateway::servers"), line: Some(line) }
}

/// Logs a line that is written at once. Returns whether it is.
fn write(budget: &mut LineBudget, now: Instant, line: u32) -> bool {
    let is_queued = budget.admit(now, site(line)) == Admission::Queued;
    if is_queued {
        budget.written(site(line));
    }
    is_queued
}

/// Guards against the loss of a leader's `member admitted` lines beside those of many callers.
#[test]
fn rare_lines_are_written_beside_frequent_ones() {
    const RARE: u32 = 1;
    let start = Instant::now();
    let mut budget = LineBudget::new(start);
    for second in 0..5 {
        let now = start + Duration::from_secs(second);
        // Several call sites, each of which alone would use the whole rate.
        let frequent = (0..2_000).filter(|i| write(&mut budget, now, 100 + i % 8)).count();
        assert!(frequent >= MAX_LINES_PER_SECOND / 2, "{frequent}");
        assert!((0..4).all(|_| write(&mut budget, now, RARE)), "second {second}");
    }
}

#[test]
fn the_rate_stays_bounded_whatever_the_number_of_call_sites() {
    let start = Instant::now();
    let mut budget = LineBudget::new(start);
    let written = (0..20_000).filter(|i| write(&mut budget, start, i % 1_000)).count();
    assert_eq!(written, MAX_LINES_PER_SECOND);
    assert!(!write(&mut budget, start + Duration::from_millis(999), 5_000));
    assert!(write(&mut budget, start + Duration::from_secs(1), 5_000));
}

/// Guards against a reader that is stuck for a minute, and a queue that holds nothing but frequent lines.
#[test]
fn the_queue_keeps_room_for_rare_lines_and_stays_bounded() {
    let start = Instant::now();
    let mut budget = LineBudget::new(start);
    let is_queued = |budget: &mut LineBudget, seconds, line| {
        let now = start + Duration::from_secs(seconds);
        budget.admit(now, site(line)) == Admission::Queued
    };
    let mut queued = 0;
    for second in 0..60 {
        queued += (0..400).filter(|i| is_queued(&mut budget, second, 100 + i % 8)).count();
    }
    assert_eq!(queued, MAX_QUEUED_LINES / 2);
    let rare = (0..30).filter(|second| is_queued(&mut budget, 60 + second, 1)).count();
    assert_eq!(rare, 30);
    queued += rare;
    for second in 100..200 {
        let lines = (0..400).map(|i| 1_000 + i);
        queued += lines.filter(|line| is_queued(&mut budget, second, *line)).count();
    }
    assert_eq!(queued, MAX_QUEUED_LINES);
    budget.written(site(1));
    assert!(is_queued(&mut budget, 300, 1));
    assert!(!is_queued(&mut budget, 300, 2));
}

/// Guards against lines that are missing from a record that doesn't say so.
#[test]
fn lines_that_are_left_out_are_counted_by_call_site_once_a_second() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut budget = LineBudget::new(start);
    let mut left_out = [0; 2];
    for i in 0..600 {
        let line = if i % 3 == 0 { 7 } else { 8 };
        match budget.admit(at(200), site(line)) {
            Admission::Queued => budget.written(site(line)),
            Admission::LeftOut { is_first } => {
                let count = &mut left_out[usize::from(line == 8)];
                assert_eq!(is_first, *count == 0);
                if is_first {
                    let text = format!("call {line} not answered: no leader is known");
                    budget.describe(site(line), Level::Warn, &text);
                }
                *count += 1;
            }
        }
    }
    assert_eq!(left_out.iter().sum::<usize>(), 400);
    assert_eq!(budget.due_report(at(1_100)), None);
    let text = budget.due_report(at(1_200)).expect("due");
    let [few, many] = left_out;
    assert_eq!(
        text,
        format!(
            "400 lines left out in 1.0 s: {many} servers:8 WARN \"call 8 not answered: no \", \
             {few} servers:7 WARN \"call 7 not answered: no \""
        )
    );
    assert_eq!(budget.due_report(at(9_000)), None);
    // A flush doesn't wait for the second to pass.
    assert_eq!((0..201).filter(|_| write(&mut budget, at(9_000), 9)).count(), 200);
    assert_eq!(budget.due_report(at(9_001)), None);
    let text = budget.report(at(9_500)).expect("a report");
    assert_eq!(text, "1 lines left out in 0.5 s: 1 servers:9");
}

/// Not a test by itself: a process that logs too much, if [`FLOODED`] is set.
#[test]
fn flooded_log() {
    if env::var_os(FLOODED).is_none() {
        return;
    }
    logs::install_bounded("d1");
    for i in 0..5_000 {
        log::info!(number = i; "frequent");
    }
    log::info!("rare");
    logs::flush();
    eprintln!("dropped {}", logs::dropped());
    // The log keeps standard output, to which the end of a test would be written.
    process::exit(0);
}

/// Guards against a process whose log lacks rare lines, or doesn't say that any were left out.
#[test]
fn a_process_that_logs_too_much_writes_rare_lines_and_what_it_left_out() {
    let mut child = Command::new(env::current_exe().expect("this program"));
    let child = child.args(["--exact", "flooded_log", "--nocapture"]).env(FLOODED, "1");
    let output = child.output().expect("output");
    let errors = String::from_utf8(output.stderr).expect("UTF-8");
    let output = String::from_utf8(output.stdout).expect("UTF-8");
    let dropped = errors.lines().find_map(|line| line.strip_prefix("dropped ")).expect("a number");
    let dropped: usize = dropped.parse().expect("a number");
    let is_line = |line: &&str| line.starts_with('{');
    let lines: Vec<Value> = output
        .lines()
        .filter(is_line)
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect();
    let texts: Vec<&str> =
        lines.iter().map(|line| line["text"].as_str().expect("a text")).collect();
    assert!(texts.contains(&"rare"), "{texts:?}");
    let written = texts.iter().filter(|text| **text == "frequent").count();
    // The log is written in the meantime, and a second may end.
    assert!((200..2_000).contains(&written), "{written}");
    assert_eq!(written + dropped, 5_000);
    let reports = lines.iter().zip(&texts).filter(|(_, text)| text.contains(" lines left out in "));
    let reported: Vec<usize> = reports
        .map(|(line, text)| {
            assert_eq!(
                (&line["level"], &line["target"]),
                (&"WARN".into(), &"toucansilld::logs".into())
            );
            assert!(text.contains(" INFO \"frequent\""), "{text}");
            text.split(' ').next().expect("a number").parse::<usize>().expect("a number")
        })
        .collect();
    assert_eq!(reported.iter().sum::<usize>(), dropped, "{texts:?}");
}
