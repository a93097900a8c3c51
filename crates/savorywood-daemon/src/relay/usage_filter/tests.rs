//! Streams split in any way.

use super::*;
use quickcheck::quickcheck;

const TOKEN: &str = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
const USAGE: &str = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":2}}\n\n";
const DONE: &str = "data: [DONE]\n\n";

quickcheck! {
    fn only_the_usage_event_is_left_out(cuts: Vec<u8>) -> bool {
        let text = [TOKEN, TOKEN, USAGE, DONE].concat();
        let mut filter = UsageFilter::default();
        let mut rest = text.as_bytes();
        let mut passed = Vec::new();
        for cut in cuts.iter().copied().map(usize::from).chain([usize::MAX]) {
            let (piece, after) = rest.split_at(cut.min(rest.len()));
            passed.extend(filter.pass(piece));
            rest = after;
        }
        passed.extend(filter.finish());
        passed == [TOKEN, TOKEN, DONE].concat().as_bytes()
    }
}

/// A stream that is cut off within an event: what came of it is passed on, as it was before.
#[test]
fn a_half_event_is_passed_on_at_the_end() {
    let mut filter = UsageFilter::default();
    assert_eq!(filter.pass(b"data: hal"), b"");
    assert_eq!(filter.finish(), b"data: hal");
}

#[test]
fn a_huge_event_is_not_held_back() {
    let mut filter = UsageFilter::default();
    let huge = vec![b'x'; MAX_HELD + 1];
    assert_eq!(filter.pass(&huge).len(), huge.len());
    assert_eq!(filter.pass(b"\"choices\":[] \"usage\"\n\n").len(), 22);
}
