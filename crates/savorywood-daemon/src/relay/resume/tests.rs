//! When the rest of a stream ends it.

use super::StreamTail;

/// Whether a rest that comes in these pieces ends the stream.
fn ends(pieces: &[&str]) -> bool {
    let mut tail = StreamTail::default();
    for piece in pieces {
        tail.push(piece.as_bytes());
    }
    tail.ends_stream()
}

/// An engine broke its stream off just where the caller's part ends, and has nothing more. A clean
/// end would make that part a whole answer.
#[test]
fn empty_rest_is_no_end() {
    assert!(!ends(&[]));
    assert!(!ends(&["\n\n"]));
}

/// A caller's part may end within the end mark itself.
#[test]
fn end_mark_is_seen_wherever_the_rest_begins() {
    assert!(ends(&["data: {}\n\n", "data: [DO", "NE]\n\n"]));
    assert!(ends(&["NE]\n\n"]));
    assert!(ends(&["data: [DONE]"]));
    assert!(!ends(&["data: {\"a\": 1}\n\n"]));
    assert!(!ends(&["data: [DON"]));
}
