//! Streams are cut at events only.

use proxy::{EventChunk, EventSplitter};

fn pieces(events: &mut EventSplitter) -> Vec<EventChunk> {
    std::iter::from_fn(|| events.next_chunk()).collect()
}

#[test]
fn an_event_is_passed_on_when_it_is_whole() {
    let mut events = EventSplitter::new();
    events.push(b"id: 7\ndata: a");
    assert!(events.next_chunk().is_none());
    events.push(b"b\n");
    assert!(events.next_chunk().is_none());
    events.push(b"\nid: 8\ndata");
    let piece = events.next_chunk().expect("whole");
    assert_eq!((&piece.bytes[..], piece.last_id), (&b"id: 7\ndata: ab\n\n"[..], Some(7)));
    assert_eq!(events.incomplete(), b"id: 8\ndata");
    assert!(events.next_chunk().is_none());
}

#[test]
fn several_events_at_once_carry_the_last_id() {
    let mut events = EventSplitter::new();
    events.push(b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n");
    let piece = events.next_chunk().expect("whole");
    assert_eq!((piece.bytes.len(), piece.last_id), (42, Some(2)));
    assert!(events.incomplete().is_empty());
}

#[test]
fn any_cut_of_a_stream_gives_the_same_bytes() {
    seeded::check().with_type::<(Vec<u8>, Vec<u8>)>().for_each(|(bytes, cuts)| {
        let mut events = EventSplitter::new();
        let mut out = Vec::new();
        let mut rest = bytes.as_slice();
        for cut in cuts {
            let (head, tail) = rest.split_at(usize::from(*cut).min(rest.len()));
            events.push(head);
            pieces(&mut events).iter().for_each(|piece| out.extend_from_slice(&piece.bytes));
            rest = tail;
        }
        events.push(rest);
        pieces(&mut events).iter().for_each(|piece| out.extend_from_slice(&piece.bytes));
        out.extend_from_slice(events.incomplete());
        assert_eq!(&out, bytes);
    });
}
