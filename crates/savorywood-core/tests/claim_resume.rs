//! Streams that are read on through another daemon.

use savorywood_core::{
    ConfigView, ResumeArrival, TokenDigest,
    resume::{MAX_RESUME_TOKEN_AGE, resolve_resume},
};
use savorywood_protocol::{
    AttemptNumber, CoreTime, MonotonicTime, OutcomeKind, RefusalCode, RequestId, WallTime,
    resume_token::{ResumeKey, ResumeToken},
};
use std::time::Duration;

fn config(extensions: &str, draining: bool) -> ConfigView {
    let digest = "01".repeat(32);
    let texts = [
        r#"{"kind":"service","name":"notes","spec":{"protocol":"model"}}"#.to_owned(),
        format!(
            r#"{{"kind":"team","name":"survey","spec":{{"token_sha256":"{digest}","tiers":["t"]}}}}"#
        ),
        format!(
            r#"{{"kind":"upstream","name":"runner-7","spec":{{"address":"10.0.0.1:80",
               "service":"notes","version":"v1","zone":"z","extensions":[{extensions}],
               "draining":{draining}}}}}"#
        ),
    ];
    let mut config = ConfigView::default();
    for text in texts {
        let document = serde_json::from_str(&text).expect("a document");
        config.insert(document).expect("a name");
    }
    config
}

fn now() -> CoreTime {
    CoreTime {
        monotonic: MonotonicTime(1),
        wall: WallTime(1_780_000_000_000),
    }
}

fn arrival(key: &ResumeKey) -> ResumeArrival {
    let token = ResumeToken {
        upstream: "runner-7".parse().expect("a name"),
        stream: "s-1".to_owned(),
        service: "notes".parse().expect("a name"),
        team: "survey".parse().expect("a name"),
        attempt: AttemptNumber(0),
        issued_at: now().wall,
    };
    ResumeArrival {
        request: RequestId(5),
        token: Some(TokenDigest([1; 32])),
        resume_token: token.sign(key).expect("signed"),
        offset: 77,
    }
}

/// A daemon dies in the middle of a long answer. The caller goes to another daemon with its
/// token and gets the rest, from the engine that has it, also while that engine is drained.
#[test]
fn a_stream_is_read_on_at_its_upstream() {
    let key = ResumeKey::derive(b"secret");
    for draining in [false, true] {
        let config = config(r#""resume""#, draining);
        let order = resolve_resume(now(), &arrival(&key), &key, &config).expect("an order");
        assert_eq!((order.stream.as_str(), order.offset), ("s-1", 77));
        assert_eq!(order.upstream.as_str(), "runner-7");
    }
}

/// The stream can't be had any more. The caller must not be told that nothing ran: its tokens
/// were generated.
#[test]
fn no_refusal_of_a_resume_says_not_run() {
    let key = ResumeKey::derive(b"secret");
    let other = ResumeKey::derive(b"other");
    let able = config(r#""resume""#, false);
    let late = now().after(MAX_RESUME_TOKEN_AGE + Duration::from_secs(1));
    let nobody = ResumeArrival {
        token: None,
        ..arrival(&key)
    };
    let refused = [
        resolve_resume(now(), &arrival(&other), &key, &able),
        resolve_resume(late, &arrival(&key), &key, &able),
        resolve_resume(now(), &arrival(&key), &key, &config("", false)),
        resolve_resume(now(), &arrival(&key), &key, &ConfigView::default()),
        resolve_resume(now(), &nobody, &key, &able),
    ];
    let codes = refused.map(|refused| {
        let refusal = refused.expect_err("a refusal");
        assert_eq!(refusal.outcome, OutcomeKind::Unknown);
        refusal.code
    });
    let expected = [
        RefusalCode::BadResumeToken,
        RefusalCode::BadResumeToken,
        RefusalCode::NoUpstream,
        RefusalCode::Unauthorized,
        RefusalCode::Unauthorized,
    ];
    assert_eq!(codes, expected);
}
