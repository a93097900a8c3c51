//! Checks that a stream is resumed through another daemon, and what a refused resume reports.

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
    let documents = [
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
    for text in documents {
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

/// A daemon crashes during a long stream. The caller resumes through another daemon with its token
/// and gets the rest from the same engine, also while that engine is draining.
#[test]
fn a_stream_resumes_at_its_upstream() {
    let key = ResumeKey::derive(b"secret");
    for draining in [false, true] {
        let config = config(r#""resume""#, draining);
        let order = resolve_resume(now(), &arrival(&key), &key, &config).expect("an order");
        assert_eq!((order.stream.as_str(), order.offset), ("s-1", 77));
        assert_eq!(order.upstream.as_str(), "runner-7");
    }
}

/// When a stream can't be resumed, the refusal must not report the request as not run, since its
/// tokens were generated.
#[test]
fn refused_resumes_never_report_not_run() {
    let key = ResumeKey::derive(b"secret");
    let other_key = ResumeKey::derive(b"other");
    let resumable = config(r#""resume""#, false);
    let after_expiry = now().after(MAX_RESUME_TOKEN_AGE + Duration::from_secs(1));
    let without_token = ResumeArrival {
        token: None,
        ..arrival(&key)
    };
    let refused = [
        resolve_resume(now(), &arrival(&other_key), &key, &resumable),
        resolve_resume(after_expiry, &arrival(&key), &key, &resumable),
        resolve_resume(now(), &arrival(&key), &key, &config("", false)),
        resolve_resume(now(), &arrival(&key), &key, &ConfigView::default()),
        resolve_resume(now(), &without_token, &key, &resumable),
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
