//! Streams that are read on through another daemon.

use savorywood_standin::{chat_prompt, output_text};
use savorywood_testing::{
    ClusterPlan, PartialBody, ProcessSignal, StandinProcess, TEAM_TOKEN, TestCall, TestCluster,
    has_end_mark, streamed_text,
};
use std::time::Duration;

const TOKEN_HEADER: &str = "x-savorywood-resume-token";

/// Characters from the end of a resume token that surely belong to its signature.
const SIGNATURE_TAIL: usize = 8;

/// Tokens of each stream; at the engine's speed they take about two seconds.
const TOKENS: u32 = 120;

struct ResumeSetup {
    engine: StandinProcess,
    cluster: TestCluster,
}

/// The bytes of a stream that broke with its daemon, and what is needed to read it on.
struct BrokenStream {
    token: String,
    part: PartialBody,
}

fn start() -> ResumeSetup {
    let engine = StandinProcess::engine(&["--decode", "60"]);
    let cluster = TestCluster::start(&ClusterPlan::default());
    cluster.declare(&[engine.address()], &[]);
    ResumeSetup { engine, cluster }
}

impl ResumeSetup {
    /// Streams some tokens through the first daemon and kills it.
    fn break_stream(&mut self) -> BrokenStream {
        let call = self.cluster.chat(0, "hello", TOKENS);
        let mut answer = call.open().expect("a head");
        assert_eq!(answer.status(), 200);
        let token = answer.header(TOKEN_HEADER).expect("a resume token");
        let token = token.to_owned();
        let mut bytes = answer.read_at_least(1_000).expect("some tokens");
        self.cluster.daemons[0].kill();
        let mut part = answer.read_until_break();
        assert!(part.end.is_err(), "the answer ended as if it were whole");
        bytes.append(&mut part.bytes);
        part.bytes = bytes;
        BrokenStream { token, part }
    }

    fn resume(&self, token: &str, offset: usize) -> TestCall {
        let target = format!("/v1/streams?offset={offset}");
        let call = TestCall::get(self.cluster.daemons[1].callers(), &target);
        call.token(TEAM_TOKEN).header(TOKEN_HEADER, token)
    }

    fn assert_whole(&self, broken: &BrokenStream, rest: Vec<u8>) {
        let all = [broken.part.bytes.clone(), rest].concat();
        assert!(has_end_mark(&all));
        let expected = output_text(&chat_prompt("hello"), TOKENS);
        assert_eq!(streamed_text(&all), expected);
        assert_eq!(self.engine.runs().total(), 1, "reading on is no second run");
    }
}

/// A daemon dies in the middle of a stream. The caller goes to another daemon with its resume
/// token and the number of bytes that it has, and gets exactly the bytes that are missing. The
/// engine does the work once.
#[test]
fn another_daemon_reads_on_where_the_dead_one_stopped() {
    let mut setup = start();
    let broken = setup.break_stream();
    let rest = setup.resume(&broken.token, broken.part.bytes.len()).send();
    let rest = rest.expect("the rest");
    assert_eq!(rest.status(), 200, "{}", rest.text());
    setup.assert_whole(&broken, rest.body);
}

/// Somebody makes a resume token up, to read another team's stream. One that differs in its
/// signature alone, or in what it says, is refused.
#[test]
fn a_changed_token_is_refused() {
    let mut setup = start();
    let broken = setup.break_stream();
    let length = broken.token.len();
    for place in [length / 2, length - SIGNATURE_TAIL] {
        let mut changed = broken.token.clone().into_bytes();
        changed[place] = if changed[place] == b'A' { b'B' } else { b'A' };
        let changed = String::from_utf8_lossy(&changed).into_owned();
        let refused = setup.resume(&changed, 0).send().expect("a refusal");
        assert_eq!(refused.status(), 400, "{}", refused.text());
        assert_eq!(
            refused.json()["code"],
            "bad-resume-token",
            "{}",
            refused.text()
        );
    }
}

/// The daemon that reads a stream on is stopped as planned. A planned stop cuts off no request,
/// so the rest must come whole before the process ends.
#[test]
fn a_planned_stop_does_not_cut_off_a_stream_that_is_read_on() {
    let mut setup = start();
    let broken = setup.break_stream();
    let call = setup.resume(&broken.token, broken.part.bytes.len());
    let mut answer = call.open().expect("a head");
    assert_eq!(answer.status(), 200);
    let mut rest = answer.read_at_least(1).expect("a token");
    setup.cluster.daemons[1].signal(ProcessSignal::Terminate);
    let more = answer.read_until_break();
    assert!(
        more.end.is_ok(),
        "the stop cut the answer off: {:?}",
        more.end
    );
    rest.extend(more.bytes);
    setup.assert_whole(&broken, rest);
    let status = setup.cluster.daemons[1].wait_for_end(Duration::from_secs(8));
    assert!(status.success(), "{status}");
}
