//! Keys, repeats and groups of claims, one case at a time.

#[path = "claim/cluster.rs"]
#[allow(dead_code)]
mod cluster;

use cluster::{FakeTable, queued_request};
use savorywood_core::{
    AnswerReport, DaemonEffect, EffectQueue, KeptAnswer, MemberRecord, MemberView, UpstreamEvent,
    claims::{ClaimEvent, ClaimKey, ClaimOptions, ClaimState, ClaimView, ClaimWish},
};
use savorywood_protocol::{
    AttemptNumber, ConfigRevision, CoreTime, HostIncarnation, MonotonicTime, OutcomeKind,
    RefusalCode, RequestId, RequestRefusal, TeamName, WallTime,
    peer::membership::MemberState,
    resource::ClaimRetention,
    table::{TableAnswer, TableRequest},
};
use std::{net::SocketAddr, time::Duration};
use uuid::Uuid;

const START: WallTime = WallTime(1_780_000_000_000);

/// One daemon with a healthy table.
struct TestDaemon {
    claims: ClaimState,
    table: FakeTable,
    now: CoreTime,
    members: MemberView,
    granted: Vec<RequestId>,
    refusals: Vec<RequestRefusal>,
    replays: Vec<KeptAnswer>,
    commits: usize,
}

impl TestDaemon {
    fn new(incarnation: u64) -> Self {
        let host = "entry-0".parse().expect("a name");
        let now = CoreTime {
            monotonic: MonotonicTime(1_000_000),
            wall: START,
        };
        Self {
            claims: ClaimState::new(ClaimOptions::new(host, HostIncarnation(incarnation), 1)),
            table: FakeTable::default(),
            now,
            members: MemberView::default(),
            granted: Vec::new(),
            refusals: Vec::new(),
            replays: Vec::new(),
            commits: 0,
        }
    }

    fn submit(&mut self, request: u128, key: &str, fingerprint: u8) {
        let claim = ClaimWish {
            request: queued_request(RequestId(request), self.now.monotonic),
            key: key.to_owned(),
            fingerprint: [fingerprint; 32],
            retention: ClaimRetention::Seconds(3_600),
        };
        self.step(ClaimEvent::Wanted(Box::new(claim)));
    }

    fn advance(&mut self, duration: Duration) {
        self.now = self.now.after(duration);
        for number in 0..3 {
            self.step(ClaimEvent::TimerFired { number });
        }
    }

    fn step(&mut self, event: ClaimEvent) {
        let mut effects = EffectQueue::new();
        let view = ClaimView {
            members: &self.members,
        };
        let decisions = self.claims.step(self.now, event, view, &mut effects);
        let granted = decisions.into_iter().map(|decision| match decision {
            savorywood_core::claims::ClaimVerdict::Granted(request) => request.request,
        });
        self.granted.extend(granted);
        let mut responses = Vec::new();
        for effect in effects.drain() {
            match effect {
                DaemonEffect::CallTable { call, request } => {
                    self.commits += usize::from(matches!(request, TableRequest::Commit(_)));
                    responses.push((call.number, self.table.execute(&request)));
                }
                DaemonEffect::Refuse { refusal, .. } => self.refusals.push(refusal),
                DaemonEffect::Replay { answer, .. } => self.replays.push(*answer),
                _ => {}
            }
        }
        for (number, answer) in responses {
            self.step(ClaimEvent::Table { number, answer });
        }
    }

    fn dispatch(&mut self, request: u128) -> bool {
        let mut effects = EffectQueue::new();
        self.claims
            .may_dispatch(RequestId(request), false, &mut effects)
    }

    fn finish(&mut self, request: u128, body: Vec<u8>) {
        let request = RequestId(request);
        let answer = Box::new(KeptAnswer {
            status: 200,
            content_type: String::new(),
            body: Some(body),
        });
        self.step(ClaimEvent::AnswerKept { request, answer });
        self.step(ClaimEvent::Upstream(UpstreamEvent::Finished {
            request,
            attempt: AttemptNumber(0),
            report: AnswerReport::default(),
        }));
        self.advance(Duration::from_millis(200));
    }
}

fn key_created_at(at: WallTime, number: u8) -> String {
    let number = u128::from(number) | 0x8000_0000_0000_0000;
    Uuid::from_u128(u128::from(at.0) << 80 | 7 << 76 | number).to_string()
}

fn key(number: u8) -> String {
    key_created_at(START, number)
}

fn parse(text: &str, retention: ClaimRetention) -> Result<ClaimKey, RequestRefusal> {
    let team = TeamName::new("shop").expect("a name");
    ClaimKey::parse(text, &team, retention, START, Duration::from_secs(60))
}

/// A caller repeats a charge a day later, when its claim is deleted already, or its clock is
/// wrong, or its key carries no time. None of them can be told from a first call.
#[test]
fn expired_future_and_untimed_keys_are_refused() {
    let retention = ClaimRetention::Seconds(3_600);
    let old = parse(&key_created_at(WallTime(START.0 - 3_601_000), 1), retention);
    assert_eq!(old.expect_err("refused").code, RefusalCode::KeyExpired);
    let future = parse(&key_created_at(WallTime(START.0 + 61_000), 1), retention);
    assert_eq!(future.expect_err("refused").code, RefusalCode::BadRequest);
    let without_time = parse("order-17", retention).expect_err("refused");
    assert_eq!(without_time.outcome, OutcomeKind::NotRun);
    assert!(without_time.detail.contains("version 7 UUID"));
    assert!(parse("order-17", ClaimRetention::Forever).is_ok());
    assert!(parse(&key_created_at(WallTime(START.0 + 59_000), 1), retention).is_ok());
}

/// A client library writes the same UUID in capitals on its second try. Taken for another key,
/// the charge would be made twice.
#[test]
fn the_spelling_of_a_uuid_does_not_matter() {
    let retention = ClaimRetention::Seconds(3_600);
    let canonical = parse(&key(1), retention).expect("a key");
    let uppercase = parse(&key(1).to_uppercase(), retention).expect("a key");
    assert_eq!(canonical, uppercase);
    let without_hyphens = parse(&key(1).replace('-', ""), retention).expect("a key");
    assert_eq!(canonical, without_hyphens);
}

/// A caller did not see the answer to its charge and sends it again, to a daemon that has been
/// restarted meanwhile. It must get the first answer and no second charge.
#[test]
fn a_repeat_gets_the_recorded_response() {
    let mut daemon = TestDaemon::new(1);
    daemon.submit(1, &key(1), 7);
    daemon.advance(Duration::from_millis(10));
    assert!(daemon.dispatch(1));
    daemon.finish(1, b"charged".to_vec());
    assert_eq!(daemon.claims.open_claims(), 0);
    let table = std::mem::take(&mut daemon.table);
    let mut second = TestDaemon::new(2);
    second.table = table;
    second.submit(2, &key(1), 7);
    second.advance(Duration::from_millis(10));
    assert_eq!(second.replays[0].body.as_deref(), Some(&b"charged"[..]));
    assert!(second.granted.is_empty());
}

/// A repeat comes while the first call runs. Whether it will succeed is not known yet, and the
/// caller must not be told that nothing ran.
#[test]
fn a_repeat_of_a_running_request_is_refused_as_unknown() {
    let mut daemon = TestDaemon::new(1);
    daemon.submit(1, &key(1), 7);
    daemon.advance(Duration::from_millis(10));
    assert!(daemon.dispatch(1));
    daemon.submit(2, &key(1), 7);
    let refusal = &daemon.refusals[0];
    assert_eq!(refusal.code, RefusalCode::KeyUsed);
    assert_eq!(refusal.outcome, OutcomeKind::Unknown);
    assert!(refusal.retry_after.is_some());
}

/// The daemon that ran a charge died before it could record the outcome. Asking again and again
/// would not help the caller, who has to look at the service's own books.
#[test]
fn a_claim_of_a_crashed_daemon_stays_unknown() {
    let mut daemon = TestDaemon::new(1);
    daemon.submit(1, &key(1), 7);
    daemon.advance(Duration::from_millis(10));
    assert!(daemon.dispatch(1));
    let mut second = TestDaemon::new(2);
    second.table = std::mem::take(&mut daemon.table);
    let record = MemberRecord {
        incarnation: HostIncarnation(2),
        state: MemberState::Alive,
        peer_address: SocketAddr::from(([10, 0, 0, 1], 7000)),
        caller_address: SocketAddr::from(([10, 0, 0, 1], 8080)),
        zone: "z".parse().expect("a name"),
        region: "r".parse().expect("a name"),
        config_revision: ConfigRevision(1),
    };
    let host = "entry-0".parse().expect("a name");
    second.members.members.insert(host, record);
    second.submit(2, &key(1), 7);
    second.advance(Duration::from_millis(10));
    let refusal = &second.refusals[0];
    assert_eq!(refusal.outcome, OutcomeKind::Unknown);
    assert_eq!(refusal.retry_after, None);
    assert!(refusal.detail.contains("stopped before it recorded"));
}

/// A caller uses one key for two different charges. Giving the second the first one's answer
/// would make it believe in a charge that was never made.
#[test]
fn a_key_used_for_another_request_is_refused() {
    let mut daemon = TestDaemon::new(1);
    daemon.submit(1, &key(1), 7);
    daemon.advance(Duration::from_millis(10));
    assert!(daemon.dispatch(1));
    daemon.finish(1, b"charged".to_vec());
    daemon.submit(2, &key(1), 8);
    daemon.advance(Duration::from_millis(10));
    assert_eq!(daemon.refusals[0].code, RefusalCode::KeyUsed);
    assert_eq!(daemon.refusals[0].outcome, OutcomeKind::NotRun);
    assert!(daemon.replays.is_empty());
}

/// No upstream could be reached, so no byte left. The caller tries again with the same key, as it
/// was told to, and the charge must then be made.
#[test]
fn an_unsent_request_may_be_retried() {
    let mut daemon = TestDaemon::new(1);
    daemon.submit(1, &key(1), 7);
    daemon.advance(Duration::from_millis(10));
    assert!(daemon.dispatch(1));
    let request = RequestId(1);
    daemon.step(ClaimEvent::Upstream(UpstreamEvent::NotSent {
        request,
        attempt: AttemptNumber(0),
    }));
    daemon.step(ClaimEvent::Closed { request });
    daemon.advance(Duration::from_millis(200));
    assert_eq!(daemon.table.live_rows(), 0);
    daemon.submit(2, &key(1), 7);
    daemon.advance(Duration::from_millis(200));
    assert_eq!(daemon.granted, [RequestId(1), RequestId(2)]);
}

/// Many charges come at once and one of their keys is taken. The store takes a transaction whole
/// or not at all, so the others would fail with it.
#[test]
fn one_used_key_does_not_fail_its_batch() {
    let mut daemon = TestDaemon::new(1);
    daemon.submit(1, &key(1), 7);
    daemon.advance(Duration::from_millis(200));
    let mut second = TestDaemon::new(2);
    second.table = std::mem::take(&mut daemon.table);
    for number in 1..=20 {
        second.submit(u128::from(number), &key(number), 7);
    }
    second.advance(Duration::from_millis(10));
    second.advance(Duration::from_millis(200));
    assert_eq!(second.granted.len(), 19);
    assert_eq!(second.refusals.len(), 1);
    assert_eq!(second.commits, 2);
}

/// The shell has a fault and dispatches a charge that holds no claim. The daemon must notice
/// before the charge leaves, and say so.
#[test]
fn a_dispatch_without_a_claim_is_a_breach() {
    let mut daemon = TestDaemon::new(1);
    let mut effects = EffectQueue::new();
    let may_dispatch = daemon
        .claims
        .may_dispatch(RequestId(9), false, &mut effects);
    assert!(!may_dispatch);
    assert!(matches!(effects.as_slice(), [DaemonEffect::Breach(_)]));
}

/// The store is away. The charge must be refused as not run, with a time to come back, and the
/// same key must work then.
#[test]
fn without_the_store_requests_are_refused_as_not_run() {
    let mut daemon = TestDaemon::new(1);
    let mut effects = EffectQueue::new();
    let claim = ClaimWish {
        request: queued_request(RequestId(1), daemon.now.monotonic),
        key: key(1),
        fingerprint: [7; 32],
        retention: ClaimRetention::Seconds(3_600),
    };
    let members = MemberView::default();
    let view = ClaimView { members: &members };
    let event = ClaimEvent::Wanted(Box::new(claim));
    daemon.claims.step(daemon.now, event, view, &mut effects);
    let later = daemon.now.after(Duration::from_millis(10));
    let event = ClaimEvent::TimerFired { number: 0 };
    daemon.claims.step(later, event, view, &mut effects);
    let event = ClaimEvent::Table {
        number: 1,
        answer: TableAnswer::Unavailable,
    };
    daemon.claims.step(later, event, view, &mut effects);
    let refusals = effects.drain().filter_map(|effect| match effect {
        DaemonEffect::Refuse { refusal, .. } => Some(refusal),
        _ => None,
    });
    let refusals: Vec<_> = refusals.collect();
    assert_eq!(refusals[0].code, RefusalCode::StoreUnavailable);
    assert_eq!(refusals[0].outcome, OutcomeKind::NotRun);
    assert!(refusals[0].retry_after.is_some());
    daemon.submit(2, &key(1), 7);
    daemon.advance(Duration::from_millis(200));
    assert_eq!(daemon.granted, [RequestId(2)]);
}

/// An answer is larger than what is kept. A repeat must still learn that the call ran.
#[test]
fn a_large_response_is_recorded_without_its_body() {
    let mut daemon = TestDaemon::new(1);
    daemon.submit(1, &key(1), 7);
    daemon.advance(Duration::from_millis(10));
    assert!(daemon.dispatch(1));
    daemon.finish(1, vec![0; 16 * 1_024 + 1]);
    daemon.submit(2, &key(1), 7);
    daemon.advance(Duration::from_millis(200));
    assert_eq!(daemon.replays.len(), 1);
    assert_eq!(daemon.replays[0].body, None);
}

#[test]
fn expired_claims_are_swept_and_current_ones_kept() {
    let mut daemon = TestDaemon::new(1);
    daemon.submit(1, &key(1), 7);
    daemon.advance(Duration::from_millis(200));
    daemon.advance(Duration::from_secs(3_600));
    daemon.submit(2, &key_created_at(daemon.now.wall, 2), 7);
    daemon.advance(Duration::from_secs(1));
    assert_eq!(daemon.table.live_rows(), 2);
    daemon.advance(Duration::from_secs(700));
    assert_eq!(daemon.table.live_rows(), 1);
    assert_eq!(daemon.claims.counters().swept, 1);
}
