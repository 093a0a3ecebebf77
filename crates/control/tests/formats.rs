//! Recorded bytes of what outlives a build. An earlier or later build reads them, so a change here is
//! one of the format: see `docs/notes/upgrades.md`.

use control::{
    Claim, ClaimId, Command, Completion, CrashCharge, DaemonInstance, FencingTokenRequest,
    JoinRequest, LedgerKey, PartsCharge, PublishedRouting, State, StoredResponse,
    UpstreamDeparture, decode, encode,
};

fn instance() -> DaemonInstance {
    DaemonInstance { daemon: "d1".to_owned(), incarnation: 7 }
}

fn claim_id() -> ClaimId {
    let (organisation, service) = ("o1".to_owned(), "s1".to_owned());
    let key = LedgerKey { organisation, service, key: "k1".to_owned() };
    ClaimId { key, holder: instance(), request: "r1".to_owned(), at_ms: 300 }
}

fn departure() -> UpstreamDeparture {
    UpstreamDeparture {
        upstream: "u1".to_owned(),
        started_at_ms: 9,
        has_left: true,
        sequence: 4,
        at_ms: 300,
    }
}

fn parts_charge() -> PartsCharge {
    PartsCharge {
        parts: vec![[2; 32]],
        request: [1; 32],
        upstream: "u1".to_owned(),
        incarnation: 9,
        at_ms: 300,
    }
}

/// A command of each kind but sheets, whose parts change with the mode with owners.
fn commands() -> Vec<Command> {
    let upstream = "u1".to_owned();
    let charge = CrashCharge {
        fingerprint: [1; 32],
        upstream: upstream.clone(),
        incarnation: 9,
        alone: true,
        at_ms: 300,
    };
    vec![
        Command::Join(JoinRequest {
            holder: instance(),
            address: "10.0.0.1:1".to_owned(),
            data_centre: "dc1".to_owned(),
        }),
        Command::Leave(instance()),
        Command::Expire(instance()),
        Command::ClaimKey(Claim { id: claim_id(), body_hash: [3; 32] }),
        Command::CompleteKey(Completion {
            id: claim_id(),
            answer: StoredResponse {
                status: 200,
                content_type: "text/plain".to_owned(),
                body: Some(vec![1, 2]),
            },
        }),
        Command::AbandonKey(claim_id()),
        Command::Charge(charge),
        Command::Acquit { fingerprint: [1; 32], at_ms: 300 },
        Command::GrantFence(FencingTokenRequest { upstream: upstream.clone(), holder: instance() }),
        Command::Tick { at_ms: 300 },
        Command::Batch(vec![Command::Tick { at_ms: 1 }]),
        Command::GiveUpKey(claim_id()),
        Command::PublishRouting(PublishedRouting { version: 5, document: vec![1, 2, 3] }),
        Command::CloseDataCentre { data_centre: "dc1".to_owned(), is_closed: true },
        Command::RecordDeparture(departure()),
        Command::RecordUnknownDeparture { upstream, at_ms: 300 },
        Command::ChargeParts(parts_charge()),
        Command::AcquitPart { part: [2; 32], at_ms: 300 },
    ]
}

/// Hexadecimal digits, with runs of equal bytes as `xx*N`.
fn hex(buf: &[u8]) -> String {
    let runs = buf.chunk_by(|a, b| a == b);
    runs.map(|run| match run.len() {
        1..=3 => format!("{:02x}", run[0]).repeat(run.len()),
        n => format!(" {:02x}*{n} ", run[0]),
    })
    .collect()
}

#[test]
fn commands_have_their_recorded_bytes() {
    let recorded: Vec<&str> = include_str!("formats/commands.txt").lines().collect();
    for (command, recorded) in commands().iter().zip(&recorded) {
        assert_eq!(hex(&encode(command)), *recorded, "{command:?}");
        assert_eq!(decode::<Command>(&encode(command)).expect("readable"), *command);
    }
    assert_eq!(commands().len(), recorded.len(), "a new command needs recorded bytes");
}

/// States that use more and more of the format are written in the earliest format that holds them.
#[test]
fn snapshots_have_their_recorded_bytes() {
    let mut state = State::new();
    let steps = [
        Command::PublishRouting(PublishedRouting { version: 5, document: vec![1, 2, 3] }),
        Command::RecordDeparture(departure()),
        Command::ChargeParts(parts_charge()),
    ];
    let recorded = include_str!("formats/snapshots.txt").lines();
    for ((index, command), recorded) in (1..).zip(&steps).zip(recorded) {
        state.apply(index, command);
        assert_eq!(hex(&state.snapshot()), recorded, "{command:?}");
        let restored = State::restore(&state.snapshot()).expect("readable");
        assert_eq!(restored.snapshot(), state.snapshot());
    }
}

/// Damaged bytes of a command or a snapshot are an error, or another value, but never a panic.
#[test]
fn damaged_bytes_are_read_or_refused() {
    let mut state = State::new();
    (1..).zip(commands()).for_each(|(index, command)| drop(state.apply(index, &command)));
    let snapshot = state.snapshot();
    seeded::check().with_type::<(u8, u16, u8)>().for_each(|(kind, at, byte)| {
        for mut buf in commands().iter().map(encode).chain([snapshot.clone()]) {
            let at = usize::from(*at) % buf.len();
            match kind % 3 {
                0 => buf.truncate(at),
                1 => buf.push(*byte),
                _ => buf[at] ^= 1 << (byte % 8),
            }
            let _ = decode::<Command>(&buf);
            let _ = State::restore(&buf);
        }
    });
}
