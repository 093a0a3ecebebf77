//! Property tests of the replicated state. Voters that apply the same log must reach the
//! same state and outcomes, whether or not they restart from snapshots, and a daemon's
//! view at an index must equal the state at that index.

mod common;

use bolero::generator::produce_with;
use common::{claim, claim_id, holder, join, sheet};
use control::{
    ChangeSet, Command, CrashCharge, FencingTokenRequest, PartsCharge, RegionView, State,
    UpstreamDeparture,
};
use std::collections::BTreeMap;

/// Returns the command that the bytes select.
fn command(op: u8, arg: u8, extra: u8, at_ms: u64) -> Command {
    let daemon = ["a", "b", "c"][usize::from(arg % 3)];
    let own = holder(daemon, u64::from(extra % 4));
    let upstream = format!("u{}", arg % 4);
    let fingerprint = [arg % 5; 32];
    match op % 14 {
        0 | 1 => sheet(u64::from(arg % 32), extra % 4, "ana"),
        2 | 3 => join(daemon, own.incarnation, "dc-1"),
        4 => Command::Leave(own),
        5 => Command::GrantFence(FencingTokenRequest { upstream, holder: own }),
        6 => claim(claim_id(&format!("k{extra}"), &format!("r{arg}"), own, at_ms), 1),
        7 => Command::AbandonKey(claim_id(&format!("k{extra}"), &format!("r{arg}"), own, at_ms)),
        8 => {
            let incarnation = u64::from(extra % 3);
            let alone = extra.is_multiple_of(2);
            Command::Charge(CrashCharge { fingerprint, upstream, incarnation, alone, at_ms })
        }
        9 => Command::RecordDeparture(UpstreamDeparture {
            upstream,
            started_at_ms: u64::from(extra % 3),
            has_left: extra.is_multiple_of(2),
            sequence: u64::from(arg),
            at_ms,
        }),
        10 => Command::RecordUnknownDeparture { upstream, at_ms },
        11 => Command::ChargeParts(PartsCharge {
            parts: vec![[20; 32], [arg % 3; 32]],
            request: [extra; 32],
            upstream,
            incarnation: u64::from(extra % 3),
            at_ms,
        }),
        12 => Command::AcquitPart { part: [arg % 3; 32], at_ms },
        _ => Command::Acquit { fingerprint, at_ms },
    }
}

/// Returns the commands that the bytes select, some of them in batches, with timestamps
/// that may go back.
fn commands(ops: &[(u8, u8, u8)]) -> Vec<Command> {
    let stamped = ops.iter().enumerate().map(|(position, (op, arg, extra))| {
        command(*op, *arg, *extra, position as u64 * 2000 + u64::from(*extra) * 50)
    });
    let singles: Vec<Command> = stamped.collect();
    singles
        .chunks(3)
        .flat_map(|chunk| match ops.len() % 2 {
            0 => vec![Command::Batch(chunk.to_vec())],
            _ => chunk.to_vec(),
        })
        .collect()
}

#[test]
fn snapshots_equal_replay() {
    let ops = produce_with::<Vec<(u8, u8, u8)>>().len(1..300usize);
    seeded::check().with_generator(ops).for_each(|ops| {
        let (mut replayed, mut restored) = (State::new(), State::new());
        for (position, cmd) in commands(ops).iter().enumerate() {
            let index = 1 + 2 * position as u64;
            let clock_ms = replayed.clock_ms();
            assert_eq!(replayed.apply(index, cmd), restored.apply(index, cmd));
            assert!(replayed.clock_ms() >= clock_ms, "the clock went back");
            if ops[position % ops.len()].0 % 8 == 0 {
                restored = State::restore(&restored.snapshot()).unwrap();
            }
        }
        assert_eq!(replayed, restored);
        assert_eq!(replayed.snapshot(), restored.snapshot());
    });
}

#[test]
fn a_view_is_the_state_at_its_index_and_never_goes_back() {
    let ops = produce_with::<Vec<(u8, u8, u8)>>().len(1..200usize);
    seeded::check().with_generator(ops).for_each(|ops| {
        let mut state = State::new();
        let mut views = [RegionView::new(), RegionView::new()];
        let mut at_index: BTreeMap<u64, RegionView> = BTreeMap::from([(0, RegionView::new())]);
        let mut delayed: Vec<ChangeSet> = Vec::new();
        for (position, cmd) in commands(ops).iter().enumerate() {
            state.apply(1 + position as u64, cmd);
            let mut fresh = RegionView::new();
            fresh.advance(&state.changes_since(0)).unwrap();
            at_index.insert(state.applied(), fresh);
            let (_, arg, extra) = ops[position];
            let view = &mut views[usize::from(arg % 2)];
            delayed.push(state.changes_since(view.index()));
            let changes = &delayed[delayed.len() - 1 - usize::from(extra) % delayed.len().min(6)];
            let before = view.index();
            let is_gap = view.advance(changes).is_err_and(|err| err.is_gap());
            assert_eq!(is_gap, changes.from > before && changes.to > before);
            assert!(view.index() >= before);
            assert_eq!(*view, at_index[&view.index()]);
        }
    });
}

#[test]
fn a_view_too_far_behind_gets_the_full_state() {
    let mut state = State::new();
    let mut view = RegionView::new();
    state.apply(1, &join("a", 1, "dc-1"));
    view.advance(&state.changes_since(0)).unwrap();
    (2..3000).for_each(|number| {
        state.apply(number, &sheet(number, number as u8, "ana"));
    });
    view.advance(&state.changes_since(view.index())).unwrap();
    assert_eq!(view.configuration(), state.configuration());
    assert_eq!(view.roster(), state.roster());
}

#[test]
fn a_truncated_snapshot_or_one_of_another_format_is_refused() {
    let mut state = State::new();
    state.apply(1, &join("a", 1, "dc-1"));
    let former = state.snapshot();
    let departure = UpstreamDeparture {
        upstream: "u".to_owned(),
        started_at_ms: 1,
        has_left: true,
        sequence: 1,
        at_ms: 0,
    };
    state.apply(2, &Command::RecordDeparture(departure));
    let with_departures = state.snapshot();
    let charge = PartsCharge {
        parts: vec![[1; 32]],
        request: [2; 32],
        upstream: "u".to_owned(),
        incarnation: 1,
        at_ms: 0,
    };
    state.apply(3, &Command::ChargeParts(charge));
    // A state with parts of prompts has the newest format, one without what it adds an earlier one.
    let buf = state.snapshot();
    for buf in [&former, &with_departures, &buf] {
        for len in 0..buf.len() {
            assert!(State::restore(&buf[..len]).unwrap_err().is_malformed());
        }
        assert!(State::restore(&[&buf[..], &[0]].concat()).unwrap_err().is_malformed());
    }
    let mut newer = buf;
    newer[0] += 1;
    assert!(State::restore(&newer).unwrap_err().is_unknown_version());
}
