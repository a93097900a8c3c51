//! Which requests share a content digest, and which do not.

use super::content_digest;
use crate::wire::RequestHead;
use savorywood_gateway::ContentDigest;

fn digest(target: &str, lines: &str, body: &[u8]) -> ContentDigest {
    let text = format!("POST {target} HTTP/1.1\r\nHost: api.example\r\n{lines}\r\n");
    let head = RequestHead::parse(text.as_bytes()).expect("a head");
    content_digest(&head, body)
}

#[test]
fn repeat_with_another_request_id_has_the_same_digest() {
    let first = digest("/a/1", "X-Number: 1\r\n", b"body");
    assert_eq!(first, digest("/a/1", "X-Number: 2\r\n", b"body"));
    assert_eq!(first, digest("/a/1?try=2", "", b"body"));
}

#[test]
fn different_paths_bodies_and_queries_have_different_digests() {
    let first = digest("/a/1", "", b"body");
    assert_ne!(first, digest("/a/2", "", b"body"));
    assert_ne!(first, digest("/a/1", "", b"bodies"));
    assert_ne!(first, digest("/a/1b", "", b"ody"));
    assert_ne!(digest("/a?b=1", "", b""), digest("/a?b=2", "", b""));
}
