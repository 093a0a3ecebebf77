//! Checks the operators' pages against the code: settings, sheets and names of metrics.

use std::{
    fs,
    path::{Path, PathBuf},
};
use toucansilld::Settings;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(name: &str) -> String {
    fs::read_to_string(root().join("docs/ops").join(name)).expect("an operators' page")
}

/// Code blocks of a page in one language.
fn blocks(page: &str, language: &str) -> Vec<String> {
    let fence = format!("```{language}\n");
    page.split(&fence)
        .skip(1)
        .filter_map(|rest| rest.split("```").next())
        .map(String::from)
        .collect()
}

/// Adds the Rust files below a folder to `found`.
fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

// Operators copy the settings from the pages, so each block must be valid.
#[test]
fn settings_on_the_pages_are_valid() {
    let counts = ["install.md", "replace.md"].map(|name| {
        let blocks = blocks(&page(name), "yaml");
        for block in &blocks {
            Settings::parse(name, block).expect("valid settings");
        }
        blocks.len()
    });
    assert_eq!(counts, [9, 1]);
}

// The pages show the settings of a whole fleet. Two daemons with one name or one address would not
// start together.
#[test]
fn daemons_on_the_page_have_unique_names_and_addresses() {
    let blocks = blocks(&page("install.md"), "yaml");
    let fleet: Vec<Settings> = blocks
        .iter()
        .skip(1)
        .map(|block| Settings::parse("install.md", block).expect("valid settings"))
        .collect();
    for (i, one) in fleet.iter().enumerate() {
        for other in &fleet[i + 1..] {
            assert_ne!(one.daemon, other.daemon);
            assert_ne!(one.listen.links, other.listen.links);
        }
    }
}

#[test]
fn sheets_on_the_page_are_valid() {
    let blocks = blocks(&page("sheet.md"), "csv");
    assert_eq!(blocks.len(), 2);
    for block in blocks {
        sheet::parse(block.as_bytes()).expect("a sheet without faults");
    }
}

// A counter that is added to the code without a line on the page stays unknown to operators.
#[test]
fn each_counter_is_on_the_page_of_metrics() {
    let page = page("metrics.md");
    let mut files = Vec::new();
    for entry in fs::read_dir(root().join("crates")).expect("the crates") {
        sources(&entry.expect("a crate").path().join("src"), &mut files);
    }
    let texts = files.iter().map(|path| fs::read_to_string(path).expect("a source file"));
    let names: Vec<String> = texts.flat_map(|text| counters(&text)).collect();
    assert!(names.len() > 15, "{names:?}");
    for name in names {
        assert!(page.contains(&format!("| `{name}` |")), "{name} is missing");
    }
}

/// Names of counters in a source file, given to `counter!` directly or by the helper of the links.
fn counters(text: &str) -> Vec<String> {
    let direct = text.split("counter!(\"").skip(1);
    let by_helper = text.split(", \"link_").skip(1);
    let name = |rest: &str| rest.split('"').next().map(String::from);
    direct
        .filter_map(name)
        .chain(by_helper.filter_map(name).map(|name| format!("link_{name}")))
        .collect()
}
