//! Fuzz tests: malformed messages and tokens cause no panic and are never decoded to more data than
//! was received.

#![allow(clippy::unwrap_used, reason = "a test that can't be set up fails")]

use quickcheck::TestResult;
use savorywood_protocol::{
    AttemptNumber, ConfigRevision, HostIncarnation, HostName, MoveName, TierRank, UpstreamName,
    WallTime,
    peer::{
        ConfigMessage, CreditMessage, DatagramError, DatagramKey, MembershipMessage, MoveMessage,
        PeerDatagram, PeerMessage,
        credits::{TierDemand, UpstreamDemand, UpstreamGrant},
        datagram::MAX_DATAGRAM_BYTES,
        membership::{MemberLocation, MemberState, MemberTableDigest, MemberUpdate},
        moves::{RouteStatistics, VersionStatistics},
        snapshot::{SnapshotContent, SnapshotRequest, SnapshotResponse, open_frame, seal_frame},
    },
    resource::ResourceDocument,
    resume_token::{ResumeKey, ResumeToken},
};
use savorywood_testing::{InputMutation, fuzz};
use serde::{Serialize, Serializer, de::DeserializeOwned, ser::SerializeTuple};
use std::time::Duration;

/// Number of inputs for each property.
const INPUTS: u64 = 2_000;

/// Difference in size between the tags of a frame and of a datagram, in bytes.
const TAG_SIZE_DIFFERENCE_BYTES: usize = 16;

const RESOURCES: &str = r#"[
    {"kind": "tier", "name": "storm", "spec": {"rank": 0}},
    {"kind": "service", "name": "notes", "spec": {"protocol": "model"}},
    {"kind": "upstream", "name": "engine-1", "spec": {"address": "127.0.0.1:7501",
        "service": "notes", "version": "v1", "zone": "zone-a", "seats": 16}}
]"#;

/// Bytes that are encoded unchanged, to seal content that no message encodes to.
struct RawBytes<'a>(&'a [u8]);

impl Serialize for RawBytes<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(self.0.len())?;
        for byte in self.0 {
            tuple.serialize_element(byte)?;
        }
        tuple.end()
    }
}

fn host(name: &str) -> HostName {
    HostName::new(name).unwrap()
}

fn key() -> DatagramKey {
    DatagramKey::derive(b"fuzz")
}

fn sealed_frame(content: &[u8]) -> Vec<u8> {
    seal_frame(&RawBytes(content), &host("entry-2"), &key()).unwrap()
}

/// Seals content as a datagram with a valid tag, which is the truncated tag of a frame.
fn sealed_datagram(content: &[u8]) -> Vec<u8> {
    let mut bytes = sealed_frame(content);
    bytes.truncate(bytes.len() - TAG_SIZE_DIFFERENCE_BYTES);
    bytes
}

fn updates() -> Vec<MemberUpdate> {
    let location = MemberLocation {
        peer_address: "10.12.13.14:7000".parse().unwrap(),
        caller_address: "[2001:db8::1]:8080".parse().unwrap(),
        zone: "north-1a".parse().unwrap(),
        region: "north-1".parse().unwrap(),
    };
    let update = MemberUpdate {
        host: host("entry-3"),
        incarnation: HostIncarnation(1_780_000_000_000),
        refutation: 3,
        state: MemberState::Leaving,
        config_revision: ConfigRevision(70_000),
        location: None,
    };
    let placed = MemberUpdate {
        location: Some(location),
        ..update.clone()
    };
    vec![update, placed]
}

fn membership_messages() -> Vec<MembershipMessage> {
    let newest_revision = ConfigRevision(7);
    vec![
        MembershipMessage::Ping {
            sequence: 9,
            newest_revision,
            digest: MemberTableDigest {
                first: 2,
                parts: vec![1, 70_000, u32::MAX],
            },
            updates: updates(),
        },
        MembershipMessage::Ack {
            sequence: 9,
            newest_revision,
            updates: updates(),
            table: updates(),
            synced: true,
        },
        MembershipMessage::PingRequest {
            sequence: 9,
            target: host("entry-4"),
            updates: updates(),
        },
        MembershipMessage::Nack { sequence: 9 },
        MembershipMessage::Updates {
            newest_revision,
            updates: updates(),
        },
    ]
}

fn credit_messages() -> Vec<CreditMessage> {
    let demand = |rank| TierDemand {
        rank: TierRank(rank),
        slots: 300,
    };
    let upstream: UpstreamName = "engine-1".parse().unwrap();
    vec![
        CreditMessage::Demand {
            sequence: 300,
            upstreams: vec![UpstreamDemand {
                upstream: upstream.clone(),
                limit: 16,
                in_use: 7,
                tiers: vec![demand(0), demand(1)],
                shedding: Some(TierRank(1)),
            }],
        },
        CreditMessage::Grant {
            sequence: 300,
            demand_sequence: 299,
            term_ms: 1_500,
            grants: vec![UpstreamGrant {
                upstream: upstream.clone(),
                slots: 8,
                floor: TierRank(2),
                contended: true,
            }],
        },
        CreditMessage::Survey {
            upstreams: vec![upstream.clone(), upstream],
        },
    ]
}

fn move_messages() -> Vec<MoveMessage> {
    let name: MoveName = "notes-to-v2".parse().unwrap();
    let revision = ConfigRevision(12);
    let statistics = VersionStatistics {
        finished: 300,
        failed: 2,
        timed: 290,
        log_sum: 2_900.5,
        log_square: 29_000.25,
    };
    let route = RouteStatistics {
        route: "/v1/completions".to_owned(),
        old: statistics,
        new: VersionStatistics::default(),
    };
    vec![
        MoveMessage::Stop {
            name: name.clone(),
            revision,
            reason: "errors on /v1/completions".to_owned(),
            at: WallTime(1_780_000_000_000),
        },
        MoveMessage::Statistics {
            name,
            revision,
            sequence: 9,
            routes: vec![route],
        },
    ]
}

fn datagrams() -> Vec<PeerDatagram> {
    let in_force = ConfigMessage::InForce {
        revision: ConfigRevision(12),
    };
    let membership = membership_messages().into_iter();
    let credits = credit_messages().into_iter();
    let mut messages: Vec<_> = membership.map(PeerMessage::Membership).collect();
    messages.extend(credits.map(PeerMessage::Credits));
    messages.push(PeerMessage::Config(in_force));
    messages.extend(move_messages().into_iter().map(PeerMessage::Moves));
    let datagram = |message| PeerDatagram {
        from: host("entry-1"),
        incarnation: HostIncarnation(1_780_000_000_000),
        sequence: 7,
        message,
    };
    messages.into_iter().map(datagram).collect()
}

/// Checks that the decoded value isn't larger than the input, so that a small message can't make a
/// daemon allocate much memory.
fn not_larger_than_input<T: Serialize>(decoded: &T, content: &[u8]) -> TestResult {
    let encoded = postcard::to_stdvec(decoded).unwrap();
    TestResult::from_bool(encoded.len() <= content.len())
}

/// Guards against panics on authenticated but malformed datagrams, from a daemon of another version
/// or with corrupt memory: one such daemon could stop all others.
#[test]
fn malformed_datagrams_cause_no_panic() {
    fn opens(index: usize, mutation: InputMutation) -> TestResult {
        let datagrams = datagrams();
        let valid = postcard::to_stdvec(&datagrams[index % datagrams.len()]).unwrap();
        let content = mutation.apply(&valid);
        let opened = PeerDatagram::open(&sealed_datagram(&content), &host("entry-2"), &key());
        match opened {
            Ok(datagram) => not_larger_than_input(&datagram, &content),
            Err(DatagramError::Undecodable { reason }) => TestResult::from_bool(!reason.is_empty()),
            Err(error) => TestResult::error(error.to_string()),
        }
    }
    fuzz(1, INPUTS, opens as fn(usize, InputMutation) -> TestResult);
}

/// Guards against accepting datagrams that were changed in transit by an attacker without the key:
/// neither sender, sequence number nor message may be trusted.
#[test]
fn changed_datagrams_are_dropped() {
    fn is_dropped(index: usize, mutation: InputMutation) -> TestResult {
        let datagrams = datagrams();
        let datagram = &datagrams[index % datagrams.len()];
        let sealed = datagram.seal(&host("entry-2"), &key()).unwrap();
        let changed = mutation.apply(&sealed);
        if sealed.len() > MAX_DATAGRAM_BYTES {
            return TestResult::error("a datagram over the limit was sealed");
        }
        if changed == sealed {
            return TestResult::discard();
        }
        let opened = PeerDatagram::open(&changed, &host("entry-2"), &key());
        TestResult::from_bool(opened.is_err())
    }
    fuzz(
        2,
        INPUTS,
        is_dropped as fn(usize, InputMutation) -> TestResult,
    );
}

fn frame_opens<T: Serialize + DeserializeOwned>(valid: &T, mutation: &InputMutation) -> TestResult {
    let content = mutation.apply(&postcard::to_stdvec(valid).unwrap());
    match open_frame::<T>(&sealed_frame(&content), &host("entry-2"), &key()) {
        Ok(frame) => not_larger_than_input(&frame, &content),
        Err(error) => TestResult::from_bool(!error.to_string().is_empty()),
    }
}

/// Guards against panics on a malformed configuration from a peer: the daemon must continue with
/// its current one.
#[test]
fn malformed_snapshot_frames_cause_no_panic() {
    fn opens(is_request: bool, mutation: InputMutation) -> TestResult {
        let nonce = u128::MAX / 3;
        let request = SnapshotRequest {
            from: host("entry-1"),
            nonce,
        };
        let content = SnapshotContent {
            revision: ConfigRevision(70_000),
            table_revision: 80_000,
            documents: RESOURCES.to_owned(),
        };
        let reply = SnapshotResponse {
            nonce,
            content: Some(content),
        };
        if is_request {
            frame_opens(&request, &mutation)
        } else {
            frame_opens(&reply, &mutation)
        }
    }
    fuzz(3, INPUTS, opens as fn(bool, InputMutation) -> TestResult);
}

/// Guards against panics on malformed resources in a snapshot. They are JSON text, parsed after the
/// frame was decoded.
#[test]
fn malformed_snapshot_resources_cause_no_panic() {
    fn reads(mutation: InputMutation) -> TestResult {
        let text = mutation.apply(RESOURCES.as_bytes());
        match serde_json::from_slice::<Vec<ResourceDocument>>(&text) {
            Ok(documents) => TestResult::from_bool(documents.len() <= text.len()),
            Err(error) => {
                let lines = text.split(|byte| *byte == b'\n').count();
                TestResult::from_bool(error.line() <= lines)
            }
        }
    }
    fuzz(4, INPUTS, reads as fn(InputMutation) -> TestResult);
}

/// Guards against accepting a resume token that a caller changed, to read the stream of another
/// team or at another upstream.
#[test]
fn changed_resume_tokens_are_refused() {
    fn is_refused(mutation: InputMutation) -> TestResult {
        let key = ResumeKey::derive(b"fuzz");
        let token = ResumeToken {
            upstream: "engine-1".parse().unwrap(),
            stream: "01a2395a-bbe6-72f7-b363-71cf401830ec.0".to_owned(),
            service: "notes".parse().unwrap(),
            team: "survey".parse().unwrap(),
            attempt: AttemptNumber(0),
            issued_at: WallTime(1_780_000_000_000),
        };
        let signed = token.sign(&key).unwrap();
        let changed = mutation.apply(signed.as_bytes());
        let Ok(changed) = String::from_utf8(changed) else {
            return TestResult::discard();
        };
        let now = token.issued_at;
        let max_age = Duration::from_secs(60);
        let verified = ResumeToken::verify(&changed, &key, &token.team, now, max_age);
        TestResult::from_bool(verified.is_err() || changed == signed)
    }
    fuzz(5, INPUTS, is_refused as fn(InputMutation) -> TestResult);
}
