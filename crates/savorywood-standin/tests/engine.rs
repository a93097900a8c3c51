//! The engine stand-in over HTTP: deterministic answers, resumed and cancelled streams, orders,
//! late events, and its faults.

use async_io::block_on;
use savorywood_standin::{
    BatchSettings, EngineFaults, EngineOptions, EngineServer, RunState, chat_prompt, output_text,
};
use savorywood_testing::{TestCall, background_executor, has_end_mark, streamed_text, wait_until};
use serde_json::{Value, json};
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(5);

fn start(options: EngineOptions) -> EngineServer {
    block_on(EngineServer::start(&background_executor(), options)).expect("an engine")
}

fn fast() -> EngineOptions {
    EngineOptions::new().batch(BatchSettings {
        decode_per_second: 1_000,
        ..BatchSettings::default()
    })
}

fn slow() -> EngineOptions {
    EngineOptions::new().batch(BatchSettings {
        decode_per_second: 50,
        ..BatchSettings::default()
    })
}

fn chat(engine: &EngineServer, content: &str, tokens: u32, stream: bool) -> TestCall {
    let body = json!({
        "model": "m",
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": content}],
    });
    TestCall::post(engine.address(), "/v1/chat/completions", body.to_string())
}

#[test]
fn the_same_request_gets_the_same_text_streamed_or_whole() {
    let engine = start(fast());
    let expected = output_text(&chat_prompt("hello"), 5);
    let whole = chat(&engine, "hello", 5, false).send().expect("an answer");
    let message = &whole.json()["choices"][0]["message"]["content"];
    assert_eq!(message.as_str(), Some(expected.as_str()));
    assert_eq!(whole.json()["usage"]["completion_tokens"], 5);
    let streamed = chat(&engine, "hello", 5, true).send().expect("an answer");
    assert_eq!(streamed_text(&streamed.body), expected);
    assert!(has_end_mark(&streamed.body));
}

#[test]
fn a_repeated_prompt_is_counted_as_cached() {
    let engine = start(fast());
    let content = "x".repeat(1_000);
    let cached = || {
        let reply = chat(&engine, &content, 1, false).send().expect("an answer");
        reply.json()["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64()
    };
    assert_eq!(cached(), Some(0));
    assert_eq!(cached(), Some(192));
}

/// A connection breaks in the middle of an answer. The engine goes on; whoever comes back with
/// the bytes that it has gets exactly the missing ones.
#[test]
fn a_broken_stream_is_read_on_from_its_offset() {
    let engine = start(fast().faults(EngineFaults {
        close_after_tokens: Some(3),
        ..EngineFaults::default()
    }));
    let call = chat(&engine, "hello", 10, true).header("X-Savorywood-Stream", "s");
    let first = call.open().expect("a head").read_until_break();
    assert!(first.end.is_err(), "the break must show");
    assert_eq!(
        streamed_text(&first.bytes),
        output_text(&chat_prompt("hello"), 3)
    );
    let target = format!("/savorywood/streams/s?offset={}", first.bytes.len());
    let rest = TestCall::get(engine.address(), &target)
        .send()
        .expect("the rest");
    let all = [first.bytes, rest.body].concat();
    assert_eq!(streamed_text(&all), output_text(&chat_prompt("hello"), 10));
    assert!(has_end_mark(&all));
    assert_eq!(engine.runs().total, 1, "a resume is no second run");
}

/// A whole answer is cut off in its middle. Its announced length tells the caller.
#[test]
fn a_whole_answer_that_breaks_can_be_told() {
    let engine = start(fast().faults(EngineFaults {
        close_after_tokens: Some(1),
        ..EngineFaults::default()
    }));
    let broken = chat(&engine, "hello", 10, false).send();
    assert!(broken.is_err());
}

#[test]
fn a_cancelled_stream_stops_and_frees_the_engine() {
    let engine = start(slow());
    let call = chat(&engine, "hello", 1_000, true).header("X-Savorywood-Stream", "s");
    let mut stream = call.open().expect("a head");
    stream.read_at_least(1).expect("a token");
    let target = "/savorywood/streams/s";
    let cancel = TestCall::new(engine.address(), "DELETE", target)
        .send()
        .expect("an answer");
    assert_eq!(cancel.json()["state"], "cancelled");
    assert!(stream.read_until_break().end.is_err());
    assert_eq!(engine.runs().runs[0].state, RunState::Cancelled);
    let load = TestCall::get(engine.address(), "/savorywood/load")
        .send()
        .expect("a report");
    assert_eq!(load.json()["running"], 0);
}

#[test]
fn nobody_can_come_back_for_an_unnamed_stream_so_it_is_dropped() {
    let engine = start(slow());
    let mut stream = chat(&engine, "hello", 1_000, true).open().expect("a head");
    stream.read_at_least(1).expect("a token");
    drop(stream);
    wait_until("the cancelled run", LIMIT, || {
        engine.runs().runs[0].state == RunState::Cancelled
    });
}

#[test]
fn a_stream_is_forgotten_after_its_time() {
    let engine = start(fast().keep_streams(Duration::from_millis(50)));
    let call = chat(&engine, "hello", 1, true).header("X-Savorywood-Stream", "s");
    call.send().expect("an answer");
    let again = || TestCall::get(engine.address(), "/savorywood/streams/s").send();
    wait_until("the lost stream", LIMIT, || {
        again().is_ok_and(|reply| reply.status() == 404)
    });
}

/// A paused operator's order comes after its successor's. An engine that checks fencing numbers
/// refuses it; one that does not takes it, and the record shows that it was stale.
#[test]
fn an_old_fencing_number_is_refused_only_by_engines_that_check() {
    for checks in [true, false] {
        let options = fast().checks_fencing(checks).load_time(Duration::ZERO);
        let engine = start(options);
        let order = |fencing: u64, version: &str| {
            let body = json!({"fencing": fencing, "version": version}).to_string();
            let put = TestCall::put(engine.address(), "/savorywood/orders", body);
            put.send().expect("an answer").status()
        };
        assert_eq!(order(7, "v2"), 200);
        assert_eq!(order(6, "v1"), if checks { 409 } else { 200 });
        assert!(engine.orders()[1].stale);
        let expected = if checks { "v2" } else { "v1" };
        wait_until("the version", LIMIT, || {
            let get = TestCall::get(engine.address(), "/savorywood/orders");
            let state = get.send().expect("a state").json();
            state["version"] == expected && state["ready"] == true
        });
    }
}

#[test]
fn cache_events_come_late_and_with_gaps() {
    let engine = start(fast().seed(3).faults(EngineFaults {
        cache_lag_ms: 1_000,
        cache_loss_per_mille: 500,
        ..EngineFaults::default()
    }));
    let content = "x".repeat(256 * 40);
    chat(&engine, &content, 1, false).send().expect("an answer");
    let events = |after: u64| {
        let target = format!("/savorywood/cache-events?after={after}");
        let reply = TestCall::get(engine.address(), &target)
            .send()
            .expect("events");
        let reply = reply.json();
        let count = reply["events"].as_array().map_or(0, Vec::len) as u64;
        (reply["first_sequence"].as_u64().unwrap_or(0), count)
    };
    assert_eq!(events(0).1, 0, "nothing is told before its time");
    wait_until("late events", LIMIT, || events(0).1 > 0);
    let mut after = 0;
    let mut gaps = 0;
    loop {
        let (first, count) = events(after);
        if count == 0 {
            break;
        }
        gaps += u64::from(first > after + 1);
        after = first + count - 1;
    }
    assert!(gaps > 0 && after <= 40, "gaps={gaps} after={after}");
}

#[test]
fn the_load_report_lags() {
    let engine = start(slow().faults(EngineFaults {
        load_lag_ms: 1_000,
        ..EngineFaults::default()
    }));
    let call = chat(&engine, "hello", 500, true).header("X-Savorywood-Stream", "s");
    let mut stream = call.open().expect("a head");
    stream.read_at_least(1).expect("a token");
    let report = || {
        let get = TestCall::get(engine.address(), "/savorywood/load");
        get.send().expect("a report").json()
    };
    let early = report();
    assert_eq!(
        (&early["running"], &early["age_ms"]),
        (&json!(0), &json!(1_000))
    );
    wait_until("the late report", LIMIT, || report()["running"] == 1);
}

#[test]
fn faults_strike_by_route_count_and_load() {
    let engine = start(fast());
    let status = |path: &str| {
        let body = json!({"model": "m", "prompt": "p", "max_tokens": 1}).to_string();
        let call = TestCall::post(engine.address(), path, body);
        call.send().expect("an answer").status()
    };
    let set = |faults: Value| {
        let put = TestCall::put(engine.address(), "/standin/faults", faults.to_string());
        assert_eq!(put.send().expect("an answer").status(), 200);
    };
    set(json!({"fail_per_mille": 1000, "only_route": "/v1/chat"}));
    assert_eq!(status("/v1/completions"), 200);
    assert_eq!(status("/v1/chat/completions"), 500);
    set(json!({"fail_after_requests": 3}));
    assert_eq!(status("/v1/completions"), 200);
    assert_eq!(status("/v1/completions"), 500);
    set(json!({"fail_above_load": 0}));
    assert_eq!(status("/v1/completions"), 200);
    assert_eq!(engine.runs().total, 5, "failed requests are on record too");
}

#[test]
fn blocks_move_between_engines_of_one_version() {
    let from = start(fast());
    let to = start(fast());
    let content = "x".repeat(1_000);
    chat(&from, &content, 1, false).send().expect("an answer");
    let events = TestCall::get(from.address(), "/savorywood/cache-events?after=0");
    let events = events.send().expect("events").json();
    let stored = events["events"].as_array().expect("a list").iter();
    let blocks: Vec<Value> = stored.map(|event| event["block"].clone()).collect();
    let wanted = json!({"blocks": blocks}).to_string();
    let export = TestCall::post(from.address(), "/savorywood/kv/export", wanted);
    let export = export.send().expect("blocks");
    let import = TestCall::post(to.address(), "/savorywood/kv/import", export.body);
    assert_eq!(import.send().expect("an answer").status(), 200);
    let reply = chat(&to, &content, 1, false).send().expect("an answer");
    let cached = &reply.json()["usage"]["prompt_tokens_details"]["cached_tokens"];
    assert_eq!(cached.as_u64(), Some(192));
}
