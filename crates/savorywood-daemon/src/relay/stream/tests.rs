//! Token streams with mistakes in them, in pieces of any size.

use super::{MAX_LINE_BYTES, TokenStream};
use quickcheck::TestResult;
use savorywood_testing::{InputMutation, fuzz};

/// Inputs for each property where nothing else is asked for.
const RUNS: u64 = 5_000;

const STREAM: &[u8] = b"data: {\"choices\": [{\"delta\": {\"content\": \"one\"}}]}\n\n\
    : keep-alive\n\ndata: {\"choices\":[]}\r\n\r\nevent: note\ndata:{\"a\": \"b\"}\n\ndata: {\"content\":\"\"}\n\n\
    data: {\"usage\": {\"prompt_tokens\": 3, \"completion_tokens\": 2}}\n\ndata: [DONE]\n\n";

/// What a reader of whole texts sees: lines of data before and after their end marks.
fn data_lines(text: &[u8]) -> Vec<&[u8]> {
    let mut lines: Vec<_> = text.split(|byte| *byte == b'\n').collect();
    // What follows the last line feed is no line yet.
    lines.pop();
    let data = lines.into_iter();
    let data = data.filter_map(|line| line.strip_prefix(b"data:"));
    data.map(<[u8]>::trim_ascii).collect()
}

/// An engine's stream is changed or cut off, and its packets end anywhere. The count of tokens
/// must not depend on where they end, and the end mark must be seen only if it came: a caller
/// would get a cut stream as a whole one.
#[test]
fn any_pieces_give_what_the_whole_gives() {
    fn agrees(mutation: InputMutation, cuts: Vec<u8>) -> TestResult {
        let text = mutation.apply(STREAM);
        let mut stream = TokenStream::default();
        let mut tokens = 0;
        let mut rest = &text[..];
        for cut in cuts {
            let (piece, later) = rest.split_at(usize::from(cut).min(rest.len()));
            tokens += stream.observe(piece);
            rest = later;
        }
        tokens += stream.observe(rest);
        let data = data_lines(&text);
        let is_mark = |line: &[u8]| line == b"[DONE]";
        let holds = |line: &[u8], part: &[u8]| line.windows(part.len()).any(|found| found == part);
        let has_token = |line: &[u8]| {
            !is_mark(line) && !holds(line, b"\"choices\":[]") && !holds(line, b"\"content\":\"\"")
        };
        let expected = data.iter().filter(|line| has_token(line)).count();
        let is_done = data.iter().any(|line| is_mark(line));
        let usage = data.iter().rfind(|line| holds(line, b"\"usage\""));
        let agrees = tokens as usize == expected
            && stream.is_done() == is_done
            && stream.usage_data() == usage.copied();
        TestResult::from_bool(agrees)
    }
    fuzz(31, RUNS, agrees as fn(InputMutation, Vec<u8>) -> TestResult);
}

/// An engine sends a line without end. The daemon must not keep it all.
#[test]
fn line_without_end_is_not_kept() {
    let mut stream = TokenStream::default();
    assert_eq!(stream.observe(b"data: "), 0);
    for _ in 0..100 {
        assert_eq!(stream.observe(&[b'a'; 4_096]), 0);
        assert!(stream.line.len() <= MAX_LINE_BYTES);
    }
    assert_eq!(stream.observe(b"\n"), 1);
    assert!(stream.line.is_empty());
}
