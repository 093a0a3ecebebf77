//! `toucansill check` on settings of a gateway.

use std::{fs, process::Command};

const GATEWAY: &str = "
daemon: entry-1
data_centre: dc-1
links: 127.0.0.1:7340
metrics: 127.0.0.1:9464
seeds: ['127.0.0.2:8229']
entry: {callers: '127.0.0.1:80', readiness: '127.0.0.1:81', max_connections: 1000}
";

/// Whether the command succeeds on a file with this text, and its output.
fn check(text: &str) -> (bool, String) {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("settings.yaml");
    fs::write(&path, text).expect("written");
    let output = Command::new(env!("CARGO_BIN_EXE_toucansill"))
        .arg("check")
        .arg(&path)
        .output()
        .expect("it runs");
    let output_text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&output_text).into_owned())
}

#[test]
fn valid_gateway_settings_pass() {
    let (passes, output_text) = check(GATEWAY);
    assert!(passes, "{output_text}");
}

/// Each fault must be reported with its key, so that operators find it in the file.
#[test]
fn each_fault_names_its_key() {
    let faults = [
        ("max_connections: 1000", "max_connections: 0", "entry.max_connections"),
        ("max_connections: 1000", "max_connections: 1000, memory_mb: 0", "entry.memory_mb"),
        ("127.0.0.1:81", "127.0.0.1:80", "entry.readiness"),
        ("127.0.0.1:9464", "127.0.0.1:7340", "metrics"),
        ("seeds: ['127.0.0.2:8229']", "seeds: []", "seeds"),
        ("daemon: entry-1", "daemon: entry-1\nbounds: {apply_ms: 0}", "bounds.apply_ms"),
        ("daemon: entry-1", "daemon: entry-1\nbounds: {retry_ratio: -0.1}", "bounds.retry_ratio"),
        ("daemon: entry-1", "daemon: entry-1\nbounds: {retry_ratio: .nan}", "bounds.retry_ratio"),
        ("daemon: entry-1", "daemon: entry-1\ncolour: red", "colour"),
        ("links: 127.0.0.1:7340", "links: here", "links"),
    ];
    for (valid, faulty, key) in faults {
        let (passes, output_text) = check(&GATEWAY.replace(valid, faulty));
        assert!(!passes && output_text.contains(key), "{faulty}: {output_text}");
    }
}
