//! Resume tokens: which are accepted and which are refused.

use quickcheck::quickcheck;
use savorywood_protocol::{
    AttemptNumber, TeamName, WallTime,
    resume_token::{ResumeKey, ResumeToken, ResumeTokenError},
};
use std::time::Duration;

const ISSUED: WallTime = WallTime(1_780_000_000_000);
const MAX_AGE: Duration = Duration::from_secs(600);

fn key() -> ResumeKey {
    ResumeKey::derive(b"secret")
}

fn team(name: &str) -> TeamName {
    TeamName::new(name).expect("a name")
}

fn token() -> ResumeToken {
    ResumeToken {
        upstream: "runner-7".parse().expect("a name"),
        stream: "stream-42".to_owned(),
        service: "notes".parse().expect("a name"),
        team: team("survey"),
        attempt: AttemptNumber(1),
        issued_at: ISSUED,
    }
}

fn verify(text: &str, team_name: &str, age: u64) -> Result<ResumeToken, ResumeTokenError> {
    let now = ISSUED + Duration::from_secs(age);
    ResumeToken::verify(text, &key(), &team(team_name), now, MAX_AGE)
}

#[test]
fn a_signed_token_is_verified() {
    let text = token().sign(&key()).expect("signed");
    assert_eq!(verify(&text, "survey", 60), Ok(token()));
    assert!(
        text.bytes()
            .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
    );
}

/// Guards against disclosing a stream to a caller that changed a token or got the token of another
/// team.
#[test]
fn errors_of_refused_tokens_are_distinguished() {
    let text = token().sign(&key()).expect("signed");
    assert_eq!(verify(&text, "farm", 60), Err(ResumeTokenError::OtherTeam));
    let expired = verify(&text, "survey", 601);
    assert!(matches!(expired, Err(ResumeTokenError::Expired { .. })));
    let other = token().sign(&ResumeKey::derive(b"other")).expect("signed");
    assert_eq!(
        verify(&other, "survey", 60),
        Err(ResumeTokenError::BadSignature)
    );
    assert_eq!(verify("", "survey", 60), Err(ResumeTokenError::Malformed));
    assert_eq!(verify("%", "survey", 60), Err(ResumeTokenError::Malformed));
    for position in 0..text.len() {
        let mut changed = text.clone().into_bytes();
        changed[position] = if changed[position] == b'A' {
            b'B'
        } else {
            b'A'
        };
        let changed = String::from_utf8(changed).expect("text");
        assert!(
            verify(&changed, "survey", 60).is_err(),
            "position {position}"
        );
    }
}

quickcheck! {
    fn arbitrary_text_is_refused(text: String) -> bool {
        verify(&text, "survey", 60).is_err()
    }
}
