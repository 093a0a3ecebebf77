//! `toucansill replay`: the committed traces meet their expected outcomes, and faults in a trace
//! are reported.

use serde_json::Value;
use std::{fs, process::Command};

/// Outcomes that depend on the speed of the computer. The command checks them; these tests do not.
const TIMED: &[&str] = &["answered late"];

fn trace_file(name: &str) -> String {
    format!("{}/traces/{name}.yaml", env!("CARGO_MANIFEST_DIR"))
}

/// Exit code, standard output and standard error.
fn replay(args: &[&str]) -> (Option<i32>, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_toucansill"))
        .arg("replay")
        .args(args)
        .output()
        .expect("the command runs");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    (output.status.code(), text(output.stdout), text(output.stderr))
}

fn check(name: &str, outcomes: usize) {
    let (_, stdout, stderr) = replay(&["--json", &trace_file(name)]);
    let report: Value = serde_json::from_str(&stdout).unwrap_or_else(|_| panic!("{stderr}"));
    let rows = report["outcomes"].as_array().expect("outcomes");
    let untimed =
        rows.iter().filter(|row| !TIMED.contains(&row["outcome"].as_str().expect("a name")));
    let missed: Vec<&Value> = untimed.filter(|row| row["met"] != true).collect();
    assert!(missed.is_empty(), "missed: {missed:?}; counts: {}", report["counts"]);
    assert_eq!(rows.len(), outcomes);
}

#[test]
fn pacifico_meets_its_outcomes() {
    check("pacifico", 7);
}

#[test]
fn kaltbrunn_meets_its_outcomes() {
    check("kaltbrunn", 6);
}

/// A committed trace must be what the generator writes for its seed; otherwise it can't be
/// regenerated after a change of the format.
#[test]
fn committed_traces_equal_generated_ones() {
    let dir = tempfile::tempdir().expect("a temporary folder");
    for name in ["pacifico", "kaltbrunn"] {
        let file = dir.path().join(name);
        let path = file.to_str().expect("UTF-8");
        let (code, _, stderr) = replay(&["--generate", name, "--seed", "7", path]);
        assert_eq!((code, stderr.as_str()), (Some(0), ""));
        let written = fs::read_to_string(path).expect("a trace");
        assert_eq!(written, fs::read_to_string(trace_file(name)).expect("a trace"));
    }
}

/// Replays a committed trace with `old` replaced by `new`, which must be rejected, and returns the
/// error line.
fn rejection_of(old: &str, new: &str) -> String {
    let text = fs::read_to_string(trace_file("pacifico")).expect("a trace");
    assert!(text.contains(old));
    let dir = tempfile::tempdir().expect("a temporary folder");
    let file = dir.path().join("trace.yaml");
    fs::write(&file, text.replacen(old, new, 1)).expect("a file");
    let (code, _, stderr) = replay(&[file.to_str().expect("UTF-8")]);
    assert_eq!(code, Some(1));
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
    stderr
}

#[test]
fn faults_are_one_line_with_file_key_and_reason() {
    let unknown = rejection_of("delay_ms: 5", "delays_ms: 5");
    assert!(unknown.contains("trace.yaml: deployment.service: unknown field `delays_ms`"));
    let missing = rejection_of("  daemons: 3\n", "");
    assert!(missing.contains("trace.yaml: deployment: missing field `daemons`"), "{missing}");
    let wrong = rejection_of("daemons: 3", "daemons: 30");
    assert!(wrong.contains("trace.yaml: deployment.daemons: 30 is not within 1 to 9"), "{wrong}");
    let foreign = rejection_of("target: dc-2", "target: dc-4");
    assert!(foreign.contains("events[0].target: 'dc-4' is not in the deployment"), "{foreign}");
}
