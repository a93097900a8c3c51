//! The whole path with every part as a process of its own.

use savorywood_standin::{chat_prompt, output_text};
use savorywood_testing::{
    ClusterPlan, StandinProcess, TEAM_TOKEN, TestCall, TestCluster, has_end_mark, streamed_text,
};

/// Nothing fails here. Callers ask any daemon for addresses, stream a completion and make a plain
/// call through each daemon, and operators see the state of what they declared.
#[test]
fn every_daemon_serves_callers_and_operators() {
    let engine = StandinProcess::engine(&["--decode", "500"]);
    let plain = StandinProcess::plain(&[]);
    let cluster = TestCluster::start(&ClusterPlan::default());
    cluster.declare(&[engine.address()], &[plain.address()]);
    let expected = output_text(&chat_prompt("hello"), 5);

    for (number, daemon) in cluster.daemons.iter().enumerate() {
        let target = "/v1/addresses?service=notes";
        let addresses = TestCall::get(daemon.callers(), target).token(TEAM_TOKEN);
        let addresses = addresses.send().expect("addresses").json();
        let listed = addresses["addresses"].as_array();
        assert!(listed.is_some_and(|list| !list.is_empty()), "{addresses}");

        let answer = cluster
            .chat(number, "hello", 5)
            .send()
            .expect("a whole answer");
        assert_eq!(answer.status(), 200, "{}", answer.text());
        assert!(has_end_mark(&answer.body));
        assert_eq!(streamed_text(&answer.body), expected);

        let story = TestCall::get(daemon.callers(), "/services/shop/story?id=7");
        let story = story.token(TEAM_TOKEN).send().expect("an answer");
        assert_eq!(story.status(), 200, "{}", story.text());
        assert_eq!(story.text(), "GET /story?id=7\n");

        let resource = cluster.get(number, "service", "notes");
        assert_eq!(resource.status(), 200, "{}", resource.text());
        assert!(resource.json()["status"].is_object(), "{}", resource.text());
    }
    assert_eq!(plain.runs().total(), 2);
    assert_eq!(engine.runs().repeated_requests(), Vec::<String>::new());
}
