//! Completion requests with mistakes in them.

use super::{CompletionBody, shape};
use quickcheck::TestResult;
use savorywood_testing::{InputMutation, fuzz};

/// Inputs where nothing else is asked for.
const RUNS: u64 = 3_000;

const BODIES: [&[u8]; 3] = [
    br#"{"model": "notes", "stream": true, "max_tokens": 12, "messages": [
        {"role": "system", "content": "short"},
        {"role": "user", "content": [{"type": "text", "text": "How large is the delay?"}]}]}"#,
    br#"{"model": "notes", "prompt": ["one", "two"], "max_completion_tokens": 7}"#,
    br#"{"model": "notes", "prompt": "\u00e9\ud83c\udf27", "temperature": 1e300}"#,
];

/// Callers' bodies are damaged on the way or made by hand. Each is read or refused, never costs
/// the process, and is never taken for more work than its bytes can hold.
#[test]
fn damaged_bodies_do_no_harm() {
    fn is_bounded(which: usize, mutation: InputMutation) -> TestResult {
        let body = mutation.apply(BODIES[which % BODIES.len()]);
        let lines = body.split(|byte| *byte == b'\n').count();
        match serde_json::from_slice::<CompletionBody>(&body) {
            Ok(parsed) => {
                let shape = shape(&parsed);
                let tokens = shape.tokens as usize;
                TestResult::from_bool((1..=body.len()).contains(&tokens))
            }
            Err(error) => TestResult::from_bool(error.line() <= lines),
        }
    }
    fuzz(
        41,
        RUNS,
        is_bounded as fn(usize, InputMutation) -> TestResult,
    );
}

/// A body of nothing but opening brackets must not end the process by its depth.
#[test]
fn deep_body_is_refused() {
    let body = format!(
        "{{\"model\": \"notes\", \"prompt\": {}",
        "[".repeat(100_000)
    );
    assert!(serde_json::from_str::<CompletionBody>(&body).is_err());
}
