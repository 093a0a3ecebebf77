//! Measures the time to parse, digest and compare a sheet of the target size: 240 organisations
//! and 1833 upstreams.
//!
//! ```text
//! cargo run --release -p sheet --example parse_time
//! ```

use std::time::Instant;

const ORGANISATIONS: usize = 240;
const UPSTREAMS: usize = 1833;
const ROUNDS: usize = 20;

fn main() {
    let text = sheet_text(1);
    let old = sheet::parse(text.as_bytes()).expect("the sheet has no fault");
    let new = sheet::parse(sheet_text(2).as_bytes()).expect("the sheet has no fault");
    let parse = shortest_us(|| drop(sheet::parse(text.as_bytes())));
    let digest = shortest_us(|| drop(old.digest().to_vec()));
    let compare = shortest_us(|| drop(sheet::difference(&old.configuration, &new.configuration)));
    println!("sheet of {} B: parse {parse:.0} us, digest {digest:.0} us", text.len());
    println!("difference {compare:.0} us");
}

fn sheet_text(weight: usize) -> String {
    let mut text = "kind,name,number,state,weight,tokens_per_second,key_sha256\n".to_string();
    text += "sheet,cl-centro,1,,,,\ndata_centre,dc-1,,in,,,\n";
    for number in 0..ORGANISATIONS {
        text += &format!("organisation,organisation-{number},,,{weight},20000,{number:064x}\n");
    }
    for number in 0..UPSTREAMS {
        text += &format!("upstream,engine-{number},,up,,,\n");
    }
    text
}

/// Shortest time of several runs, in microseconds.
fn shortest_us(round: impl Fn()) -> f64 {
    let measure = |_| {
        let started = Instant::now();
        round();
        started.elapsed()
    };
    (0..ROUNDS).map(measure).min().unwrap_or_default().as_secs_f64() * 1e6
}
