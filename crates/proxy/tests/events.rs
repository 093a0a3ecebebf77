//! Guards against streams that are split within an event: a caller would receive half an event, and
//! the stream could not be resumed at another upstream after the last id.

use proxy::{EventChunk, EventSplitter};

/// All whole events received so far.
fn chunks(events: &mut EventSplitter) -> Vec<EventChunk> {
    std::iter::from_fn(|| events.next_chunk()).collect()
}

/// An event that arrives in several parts must not be returned before its empty line has arrived.
#[test]
fn an_event_is_returned_only_once_it_is_whole() {
    let mut events = EventSplitter::new();
    events.push(b"id: 7\ndata: a");
    assert!(events.next_chunk().is_none());
    events.push(b"b\n");
    assert!(events.next_chunk().is_none());
    events.push(b"\nid: 8\ndata");
    let chunk = events.next_chunk().expect("whole");
    assert_eq!((&chunk.bytes[..], chunk.last_id), (&b"id: 7\ndata: ab\n\n"[..], Some(7)));
    assert_eq!(events.incomplete(), b"id: 8\ndata");
    assert!(events.next_chunk().is_none());
}

/// A stream is resumed after the last id. Had events that arrive together the id of an earlier one,
/// or none because the last event has no id, the next upstream would repeat events.
#[test]
fn several_events_at_once_have_the_last_id() {
    let mut events = EventSplitter::new();
    events.push(b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n");
    let chunk = events.next_chunk().expect("whole");
    assert_eq!((chunk.bytes.len(), chunk.last_id), (42, Some(2)));
    assert!(events.incomplete().is_empty());
}

/// The head of another response must not be passed on as an event, nor an event that it cuts off.
#[test]
fn the_head_of_another_response_ends_the_events() {
    for (stream, whole) in [
        ("id: 1\ndata: a\n\nHTTP/1.1 503 Service Unavailable\r\n\r\n", 15),
        ("id: 1\ndata: a\n\nid: 2\ndata:\nHTTP/1.1 503 Service Unavailable\r\n\r\n", 15),
        ("HTTP/1.1 500 Internal Server Error\r\n\r\nid: 1\n\n", 0),
    ] {
        for split in 0..stream.len() {
            let mut events = EventSplitter::new();
            let (first, rest) = stream.as_bytes().split_at(split);
            events.push(first);
            let mut passed: Vec<u8> =
                chunks(&mut events).iter().flat_map(|c| c.bytes.to_vec()).collect();
            events.push(rest);
            passed.extend(chunks(&mut events).iter().flat_map(|c| c.bytes.to_vec()));
            assert_eq!(passed, &stream.as_bytes()[..whole], "split at {split}");
            assert!(events.has_foreign_head());
        }
    }
    let mut events = EventSplitter::new();
    events.push(b"data: HTTP/1.1 503 is no head here\n\n");
    assert!(events.next_chunk().is_some() && !events.has_foreign_head());
}

/// However the network splits a stream, no byte may be lost, repeated or moved.
#[test]
fn bytes_are_the_same_however_the_stream_is_split() {
    seeded::check().with_type::<(Vec<u8>, Vec<u8>)>().for_each(|(bytes, lengths)| {
        let mut events = EventSplitter::new();
        let mut out = Vec::new();
        let mut remaining = bytes.as_slice();
        for length in lengths {
            let (head, tail) = remaining.split_at(usize::from(*length).min(remaining.len()));
            events.push(head);
            chunks(&mut events).iter().for_each(|chunk| out.extend_from_slice(&chunk.bytes));
            remaining = tail;
        }
        events.push(remaining);
        chunks(&mut events).iter().for_each(|chunk| out.extend_from_slice(&chunk.bytes));
        out.extend_from_slice(events.incomplete());
        assert_eq!(&out, bytes);
    });
}

/// Bytes that never end an event must be noticed before they fill the memory.
#[test]
fn an_event_without_end_is_noticed() {
    let mut events = EventSplitter::new();
    let megabyte = vec![b'x'; 1 << 20];
    events.push(&megabyte);
    assert!(events.next_chunk().is_none() && !events.is_event_too_long());
    events.push(b"x");
    assert!(events.next_chunk().is_none() && events.is_event_too_long());
}
