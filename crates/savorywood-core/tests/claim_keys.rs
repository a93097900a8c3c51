//! Checks how claim keys are parsed, how repeated requests are handled and how claims are batched
//! into transactions.

#[path = "claim/cluster.rs"]
#[allow(dead_code)]
mod cluster;

use cluster::{FakeTable, queued_request};
use savorywood_core::{
    DaemonEffect, EffectQueue, MemberRecord, MemberView, ResponseReport, StoredResponse,
    UpstreamEvent,
    claims::{ClaimEvent, ClaimKey, ClaimOptions, ClaimRequest, ClaimState, ClaimView},
};
use savorywood_protocol::{
    AttemptNumber, ConfigRevision, CoreTime, HostIncarnation, MonotonicTime, OutcomeKind,
    RefusalCode, RequestId, RequestRefusal, TeamName, WallTime,
    peer::membership::MemberState,
    resource::ClaimRetention,
    table::{TableRequest, TableResponse},
};
use std::{net::SocketAddr, time::Duration};
use uuid::Uuid;

const START: WallTime = WallTime(1_780_000_000_000);

/// The claim state of one daemon over a table without faults.
struct TestDaemon {
    claims: ClaimState,
    table: FakeTable,
    now: CoreTime,
    members: MemberView,
    granted: Vec<RequestId>,
    refusals: Vec<RequestRefusal>,
    replays: Vec<StoredResponse>,
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
        let claim = ClaimRequest {
            request: queued_request(RequestId(request), self.now.monotonic),
            key: key.to_owned(),
            fingerprint: [fingerprint; 32],
            retention: ClaimRetention::Seconds(3_600),
        };
        self.step(ClaimEvent::Requested(Box::new(claim)));
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
            savorywood_core::claims::ClaimDecision::Granted(request) => request.request,
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
                DaemonEffect::Replay { response, .. } => self.replays.push(*response),
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
            .authorize_dispatch(RequestId(request), false, &mut effects)
    }

    fn finish(&mut self, request: u128, body: Vec<u8>) {
        let request = RequestId(request);
        let answer = Box::new(StoredResponse {
            status: 200,
            content_type: String::new(),
            body: Some(body),
        });
        self.step(ClaimEvent::ResponseReceived { request, answer });
        self.step(ClaimEvent::Upstream(UpstreamEvent::Finished {
            request,
            attempt: AttemptNumber(0),
            report: ResponseReport::default(),
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

/// Guards against a second execution of a request whose claim may have been deleted. A key older
/// than the retention, a key from a clock that runs ahead and a key without a time may belong to a
/// first request or to a repeat, so all three are refused. A claim that is kept forever needs no
/// time in its key.
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

/// Guards against two executions of one request when a client writes the same UUID in upper case or
/// without hyphens on its retry.
#[test]
fn the_spelling_of_a_uuid_does_not_matter() {
    let retention = ClaimRetention::Seconds(3_600);
    let canonical = parse(&key(1), retention).expect("a key");
    let uppercase = parse(&key(1).to_uppercase(), retention).expect("a key");
    assert_eq!(canonical, uppercase);
    let without_hyphens = parse(&key(1).replace('-', ""), retention).expect("a key");
    assert_eq!(canonical, without_hyphens);
}

/// Guards against a second charge when a caller lost the response and repeats the request at a
/// restarted daemon: it must get the recorded response.
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

/// A repeat that arrives while the first request still runs must not be reported as not run, since
/// its outcome is not known yet.
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

/// A daemon that crashed before it recorded the outcome leaves a claim that never resolves. The
/// refusal has no retry-after delay, since retries can't help: the caller has to check the
/// service's own records.
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

/// Guards against replaying the response of one request to a different request that reuses its key.
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

/// No upstream could be reached, so no byte was sent. A retry with the same key must be executed.
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

/// Claims are committed in batches, and the table commits a transaction completely or not at all.
/// One key that is in use already must not fail the other claims of its batch.
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

/// The runtime must not dispatch a request that holds no claim. If it tries to, the dispatch is
/// denied and reported as an invariant breach.
#[test]
fn a_dispatch_without_a_claim_is_a_breach() {
    let mut daemon = TestDaemon::new(1);
    let mut effects = EffectQueue::new();
    let may_dispatch = daemon
        .claims
        .authorize_dispatch(RequestId(9), false, &mut effects);
    assert!(!may_dispatch);
    assert!(matches!(
        effects.as_slice(),
        [DaemonEffect::InvariantViolated(_)]
    ));
}

/// While the store is unavailable a request is refused as not run with a retry-after delay, and a
/// later retry with the same key is executed.
#[test]
fn without_the_store_requests_are_refused_as_not_run() {
    let mut daemon = TestDaemon::new(1);
    let mut effects = EffectQueue::new();
    let claim = ClaimRequest {
        request: queued_request(RequestId(1), daemon.now.monotonic),
        key: key(1),
        fingerprint: [7; 32],
        retention: ClaimRetention::Seconds(3_600),
    };
    let members = MemberView::default();
    let view = ClaimView { members: &members };
    let event = ClaimEvent::Requested(Box::new(claim));
    daemon.claims.step(daemon.now, event, view, &mut effects);
    let later = daemon.now.after(Duration::from_millis(10));
    let event = ClaimEvent::TimerFired { number: 0 };
    daemon.claims.step(later, event, view, &mut effects);
    let event = ClaimEvent::Table {
        number: 1,
        answer: TableResponse::Unavailable,
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

/// A response above the size limit is recorded without its body, so that a repeat still learns that
/// the request was executed.
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
