//! Parsing of sheets in the formats that spreadsheets export, and of invalid input.

use sheet::Sheet;
use std::fs;

const PACIFICO: &str = include_str!("../examples-data/pacifico.csv");
const KALTBRUNN: &str = include_str!("../examples-data/kaltbrunn.csv");

fn parse(text: &str) -> Sheet {
    sheet::parse(text.as_bytes()).unwrap()
}

/// The sheet with its rows in reverse order; the comment and the header stay on top.
fn reversed(text: &str) -> String {
    let mut lines: Vec<&str> = text.lines().collect();
    lines[2..].reverse();
    lines.join("\n")
}

#[test]
fn example_sheets_have_no_faults() {
    let pacifico = parse(PACIFICO).to_configuration();
    assert_eq!(pacifico.region, "cl-centro");
    assert_eq!(pacifico.organisations.len(), 10);
    assert!(!pacifico.is_in_service("quintero"));
    assert!(pacifico.is_retired("yard-qu-1"));
    let kaltbrunn = parse(KALTBRUNN).to_configuration();
    assert_eq!(kaltbrunn.region, "west-java");
    assert_eq!(kaltbrunn.services["jobs"].routes.len(), 5);
}

/// The same content must have the same digest in every export format; otherwise a second export
/// would be refused as another sheet with the same number.
#[test]
fn digest_does_not_depend_on_the_export_format() {
    let plain = parse(PACIFICO);
    let quoted: String = PACIFICO
        .lines()
        .filter(|line| !line.starts_with('#'))
        .map(|line| {
            let cells: Vec<String> = line.split(',').map(|cell| format!("\" {cell} \"")).collect();
            cells.join(",") + "\r\n"
        })
        .collect();
    let variants = [
        format!("\u{feff}{}", PACIFICO.replace(',', ";")),
        PACIFICO.replace('\n', "\r\n"),
        PACIFICO.replace(',', ";"),
        PACIFICO.replace(',', "\t"),
        PACIFICO.replace(',', " , "),
        format!("{PACIFICO},,,,\n\n , \n"),
        format!("\n{PACIFICO}"),
        quoted,
        reversed(PACIFICO),
    ];
    for variant in variants {
        assert_eq!(parse(&variant).digest(), plain.digest(), "{variant}");
    }
}

#[test]
fn digest_depends_on_number_and_content() {
    let sheet = parse(PACIFICO);
    let renumbered = Sheet { number: sheet.number + 1, ..sheet.clone() };
    assert_ne!(sheet.digest(), renumbered.digest());
    let changed = parse(&PACIFICO.replace("quintero,,out", "quintero,,in"));
    assert_ne!(sheet.digest(), changed.digest());
}

#[test]
fn rendered_sheet_parses_to_an_equal_sheet() {
    for text in [PACIFICO, KALTBRUNN] {
        let sheet = parse(text);
        assert_eq!(parse(&sheet.to_csv()), sheet);
    }
}

#[test]
fn invalid_utf8_is_reported_with_its_row() {
    let faults = sheet::parse(b"kind,name\nsheet,\xe9\n").unwrap_err();
    assert_eq!(faults[0].row, 2);
}

#[test]
fn bytes_rows_and_faults_are_bounded() {
    let long = vec![b'x'; sheet::MAX_BYTES + 1];
    assert_eq!(sheet::parse(&long).unwrap_err().len(), 1);
    let rows = "kind,name\n".to_string() + &"x,y\n".repeat(sheet::MAX_ROWS + 1);
    let faults = sheet::parse(rows.as_bytes()).unwrap_err();
    assert!(faults.iter().any(|fault| fault.reason.contains("more than")));
    let faulty = "kind,name\n".to_string() + &"x,y\n".repeat(sheet::MAX_FAULTS * 2);
    assert_eq!(sheet::parse(faulty.as_bytes()).unwrap_err().len(), sheet::MAX_FAULTS + 1);
}

/// An operator may enter an API key instead of its hash. The fault must not show the key, as
/// faults are printed and sent over the network.
#[test]
fn fault_does_not_show_a_key_entered_instead_of_its_hash() {
    let text = "kind,name,tokens_per_second,key_sha256\norganisation,acme,5,secret-key\n";
    let faults = sheet::parse(text.as_bytes()).unwrap_err();
    assert!(faults.iter().any(|fault| fault.column == "key_sha256"));
    assert!(faults.iter().all(|fault| !fault.to_string().contains("secret-key")));
}

#[test]
fn arbitrary_bytes_parse_or_report_faults() {
    seeded::check().with_type::<Vec<u8>>().for_each(|buf| {
        if let Err(faults) = sheet::parse(buf) {
            assert!(!faults.is_empty());
        }
    });
}

/// A damaged sheet that still parses must render and parse to itself.
#[test]
fn damaged_sheet_is_consistent_or_reports_faults() {
    seeded::check().with_type::<(u16, u8, u8)>().for_each(|(offset, len, byte)| {
        let mut buf = KALTBRUNN.as_bytes().to_vec();
        let start = usize::from(*offset) % buf.len();
        let end = (start + usize::from(*len) % 9).min(buf.len());
        buf.splice(start..end, [*byte]);
        match sheet::parse(&buf) {
            Ok(sheet) => assert_eq!(parse(&sheet.to_csv()), sheet),
            Err(faults) => assert!(!faults.is_empty()),
        }
    });
}

#[test]
fn operators_page_contains_the_example_sheets() {
    let page = fs::read_to_string("../../docs/ops/sheet.md").unwrap();
    assert!(page.contains(PACIFICO));
    assert!(page.contains(KALTBRUNN));
}
