//! Event streams split at arbitrary positions.

use super::*;
use quickcheck::quickcheck;
use std::time::{Duration, Instant};

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
            while let Ok(Some(event)) = buffer.take_event() {
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
    assert!(matches!(buffer.take_event(), Ok(Some(_))));
    assert_eq!(buffer.take_event(), Ok(None));
    assert!(!buffer.is_empty());
}

/// Guards against an event without an end that fills the memory, and against a search of the whole
/// buffer at each read, which took minutes for one event in small pieces.
#[test]
fn endless_event_is_cut_in_linear_time() {
    let started = Instant::now();
    let mut buffer = EventBuffer::default();
    let mut received = 0;
    let cut = loop {
        buffer.input_mut().extend_from_slice(b"data: x\n");
        received += 8;
        match buffer.take_event() {
            Ok(event) => assert_eq!(event, None),
            Err(limit) => break limit,
        }
    };
    assert_eq!(cut, InputLimit::Event);
    assert!(received <= MAX_EVENT_BYTES + 8, "{received}");
    assert!(started.elapsed() < Duration::from_secs(5));
}

/// Guards against an event of the maximum size that is cut, and against a complete one above it that
/// is not, as it arrived in one read.
#[test]
fn event_size_is_limited_complete_or_not() {
    for (size, fits) in [(MAX_EVENT_BYTES, true), (MAX_EVENT_BYTES + 1, false)] {
        let mut buffer = EventBuffer::default();
        let mut event = vec![b'x'; size - 2];
        event.extend_from_slice(b"\n\n");
        buffer.input_mut().extend_from_slice(&event);
        assert_eq!(matches!(buffer.take_event(), Ok(Some(_))), fits, "{size}");
    }
}

/// Guards against a copy of all following bytes for each of many small events received together.
#[test]
fn many_events_are_taken_in_linear_time() {
    let started = Instant::now();
    let mut buffer = EventBuffer::default();
    buffer
        .input_mut()
        .extend_from_slice(&b"a\n\n".repeat(1_000_000));
    let mut count = 0;
    while let Ok(Some(event)) = buffer.take_event() {
        assert_eq!(event.bytes, b"a\n\n");
        count += 1;
    }
    assert_eq!(count, 1_000_000);
    assert!(buffer.input_mut().is_empty());
    assert!(started.elapsed() < Duration::from_secs(5));
}
