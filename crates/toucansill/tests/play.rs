//! `toucansill play`: comparison of policies, and faults of its options.

use std::{
    fs,
    process::{Command, Output},
};

fn play(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_toucansill")).arg("play").args(args).output().expect("it runs")
}

#[test]
fn policies_are_compared_and_plotted() {
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("ordinary.svg");
    let plot = file.to_str().expect("text");
    let args = ["--pattern", "ordinary", "--policy", "dispatcher", "--policy", "random"];
    let more = ["--seeds", "1", "--json", "--plot", plot];
    let output = play(&[&args[..], &more].concat());
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8(output.stdout).expect("text");
    let lines: Vec<serde_json::Value> =
        text.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect();
    assert_eq!(lines.len(), 2);
    assert!(lines[0]["earned"].as_f64() > lines[1]["earned"].as_f64(), "{text}");
    assert!(fs::read_to_string(file).expect("drawn").contains("dispatcher"));
}

#[test]
fn unknown_option_values_are_named() {
    for args in [["--pattern", "storm"], ["--policy", "best"], ["--seeds", "none"]] {
        let output = play(&args);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && stderr.contains(args[0].trim_start_matches('-')),
            "{stderr}"
        );
    }
}
