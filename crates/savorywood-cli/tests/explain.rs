//! `savorywood explain` over logs of daemons.

use savorywood_testing::{BinaryName, binary_path};
use std::{
    fs,
    io::Write,
    process::{Command, Stdio},
};

/// Lines as two daemons wrote them: the request was refused by a runner, sent once more, broke.
const FIRST: &str = "\
at=2026-01-01T00:00:01.000Z level=info event=readiness ready=true config=7 proof_age_ms=3
at=2026-01-01T00:00:02.000Z level=info event=request-admitted request=aa route=charge team=x
at=2026-01-01T00:00:02.001Z level=info event=request-dispatched request=aa upstream=i-1 send=1
at=2026-01-01T00:00:02.100Z level=info event=request-again request=aa after=not-run sends=1
at=2026-01-01T00:00:02.101Z level=info event=request-dispatched request=aa upstream=i-2 send=2
at=2026-01-01T00:00:02.300Z level=info event=request-ended request=aa end=broken-answer took_ms=300
at=2026-01-01T00:00:02.400Z level=info event=request-admitted request=bb route=charge team=x
at=2026-01-01T00:00:03.000Z level=warn event=log-omitted over_budget=17 unread=0
";
const SECOND: &str = "\
at=2026-01-01T00:00:01.500Z level=warn event=upstream-suspected upstream=i-2 cause=\"stream broken\"
at=2026-01-01T00:00:01.600Z level=warn event=upstream-suspected upstream=i-9 cause=silent
not a line of a daemon
";

fn explain(request: &str) -> String {
    let folder = tempfile::tempdir().expect("a folder");
    let first = folder.path().join("host-a.out");
    let second = folder.path().join("host-b.out");
    fs::write(&first, FIRST).expect("a file");
    fs::write(&second, SECOND).expect("a file");
    let mut command = Command::new(binary_path(BinaryName::Savorywood));
    let output = command
        .args(["explain", request])
        .args([first, second])
        .output();
    let output = output.expect("the command runs");
    assert!(output.status.success());
    String::from_utf8(output.stdout).expect("text")
}

#[test]
fn a_failed_request_is_told_in_order_with_what_decided_it() {
    let text = explain("aa");
    let places = [
        "request-admitted",
        "upstream=i-1",
        "after=not-run",
        "upstream=i-2",
        "end=broken-answer",
        "what was believed",
        "readiness",
        "cause=stream broken",
        "lines were left out",
    ];
    let mut last = 0;
    for place in places {
        let found = text[last..].find(place);
        last += found.unwrap_or_else(|| panic!("{place} is missing or misplaced in\n{text}"));
    }
    assert!(
        !text.contains("i-9") && !text.contains("request=bb"),
        "{text}"
    );
    assert!(
        text.contains("[host-a.out]") && text.contains("[host-b.out]"),
        "{text}"
    );
}

/// A daemon died with the request: its log has no end of it. The engineer must see that the end is
/// missing, not that there was none.
#[test]
fn a_missing_end_is_told() {
    assert!(explain("bb").contains("no line tells its end"));
    assert!(explain("cc").contains("no line names this request"));
}

#[test]
fn logs_may_come_by_standard_input() {
    let mut command = Command::new(binary_path(BinaryName::Savorywood));
    command
        .args(["explain", "aa"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped());
    let mut child = command.spawn().expect("the command runs");
    let mut input = child.stdin.take().expect("an input");
    input.write_all(FIRST.as_bytes()).expect("lines");
    drop(input);
    let output = child.wait_with_output().expect("an end");
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(text.contains("end=broken-answer"), "{text}");
}
