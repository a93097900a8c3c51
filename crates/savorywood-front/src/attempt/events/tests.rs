//! Event streams split at arbitrary positions.

use super::*;
use quickcheck::quickcheck;

fn stream(count: u8, line_end: &str) -> String {
    let events = (1..=count).map(|id| format!("id: {id}{line_end}data: x{id}{line_end}{line_end}"));
    events.collect()
}

quickcheck! {
    fn split_events_are_complete_and_in_order(count: u8, cuts: Vec<u8>, carriage: bool) -> bool {
        let text = stream(count, if carriage { "\r\n" } else { "\n" });
        let mut buffer = EventBuffer::default();
        let mut rest = text.as_bytes();
        let mut ids = Vec::new();
        let mut bytes = Vec::new();
        for cut in cuts.iter().copied().map(usize::from).chain([usize::MAX]) {
            let (piece, after) = rest.split_at(cut.min(rest.len()));
            buffer.input_mut().extend_from_slice(piece);
            rest = after;
            while let Some(event) = buffer.take_event() {
                ids.extend(event.id.and_then(|id| id.parse::<u8>().ok()));
                bytes.extend(event.bytes);
            }
        }
        ids == (1..=count).collect::<Vec<_>>() && bytes == text.as_bytes() && buffer.is_empty()
    }
}

/// Guards against forwarding the first half of an event when an upstream fails within it.
#[test]
fn incomplete_event_is_not_forwarded() {
    let mut buffer = EventBuffer::default();
    buffer
        .input_mut()
        .extend_from_slice(b"id: 1\ndata: a\n\nid: 2\ndata: hal");
    assert!(buffer.take_event().is_some());
    assert_eq!(buffer.take_event(), None);
    assert!(!buffer.is_empty());
}
