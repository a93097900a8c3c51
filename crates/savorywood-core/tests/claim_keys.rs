//! Keys, repeats and groups of claims, one case at a time.

#[path = "claim/store.rs"]
#[allow(dead_code)]
mod store;

use savorywood_core::{
    DaemonEffect, EffectQueue, KeptAnswer, MemberRecord, MemberView, ResponseReport, UpstreamEvent,
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
use store::{FakeTable, call};
use uuid::Uuid;

const START: WallTime = WallTime(1_780_000_000_000);

/// One daemon with a healthy table.
struct Desk {
    claims: ClaimState,
    table: FakeTable,
    now: CoreTime,
    members: MemberView,
    granted: Vec<RequestId>,
    refusals: Vec<RequestRefusal>,
    replays: Vec<KeptAnswer>,
    commits: usize,
}

impl Desk {
    fn new(life: u64) -> Self {
        let host = "entry-0".parse().expect("a name");
        let now = CoreTime {
            monotonic: MonotonicTime(1_000_000),
            wall: START,
        };
        Self {
            claims: ClaimState::new(ClaimOptions::new(host, HostIncarnation(life), 1)),
            table: FakeTable::default(),
            now,
            members: MemberView::default(),
            granted: Vec::new(),
            refusals: Vec::new(),
            replays: Vec::new(),
            commits: 0,
        }
    }

    fn want(&mut self, request: u128, key: &str, fingerprint: u8) {
        let wish = ClaimWish {
            request: call(RequestId(request), self.now.monotonic),
            key: key.to_owned(),
            fingerprint: [fingerprint; 32],
            retention: ClaimRetention::Seconds(3_600),
        };
        self.step(ClaimEvent::Wanted(Box::new(wish)));
    }

    fn pass(&mut self, duration: Duration) {
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
        let verdicts = self.claims.step(self.now, event, view, &mut effects);
        let granted = verdicts.into_iter().map(|verdict| match verdict {
            savorywood_core::claims::ClaimVerdict::Granted(request) => request.request,
        });
        self.granted.extend(granted);
        let mut answers = Vec::new();
        for effect in effects.drain() {
            match effect {
                DaemonEffect::CallTable { call, request } => {
                    self.commits += usize::from(matches!(request, TableRequest::Commit(_)));
                    answers.push((call.number, self.table.answer(&request)));
                }
                DaemonEffect::Refuse { refusal, .. } => self.refusals.push(refusal),
                DaemonEffect::Replay { response, .. } => self.replays.push(*response),
                _ => {}
            }
        }
        for (number, answer) in answers {
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
            report: ResponseReport::default(),
        }));
        self.pass(Duration::from_millis(200));
    }
}

fn key_made_at(at: WallTime, number: u8) -> String {
    let number = u128::from(number) | 0x8000_0000_0000_0000;
    Uuid::from_u128(u128::from(at.0) << 80 | 7 << 76 | number).to_string()
}

fn key(number: u8) -> String {
    key_made_at(START, number)
}

fn parse(text: &str, retention: ClaimRetention) -> Result<ClaimKey, RequestRefusal> {
    let team = TeamName::new("shop").expect("a name");
    ClaimKey::parse(text, &team, retention, START, Duration::from_secs(60))
}

/// A caller repeats a charge a day later, when its claim is deleted already, or its clock is
/// wrong, or its key carries no time. None of them can be told from a first call.
#[test]
fn keys_without_a_sure_claim_are_refused() {
    let kept = ClaimRetention::Seconds(3_600);
    let old = parse(&key_made_at(WallTime(START.0 - 3_601_000), 1), kept);
    assert_eq!(old.expect_err("refused").code, RefusalCode::KeyExpired);
    let future = parse(&key_made_at(WallTime(START.0 + 61_000), 1), kept);
    assert_eq!(future.expect_err("refused").code, RefusalCode::BadRequest);
    let timeless = parse("order-17", kept).expect_err("refused");
    assert_eq!(timeless.outcome, OutcomeKind::NotRun);
    assert!(timeless.detail.contains("version 7 UUID"));
    assert!(parse("order-17", ClaimRetention::Forever).is_ok());
    assert!(parse(&key_made_at(WallTime(START.0 + 59_000), 1), kept).is_ok());
}

/// A client library writes the same UUID in capitals on its second try. Taken for another key,
/// the charge would be made twice.
#[test]
fn the_spelling_of_a_uuid_does_not_matter() {
    let kept = ClaimRetention::Seconds(3_600);
    let one = parse(&key(1), kept).expect("a key");
    let capitals = parse(&key(1).to_uppercase(), kept).expect("a key");
    assert_eq!(one, capitals);
    let bare = parse(&key(1).replace('-', ""), kept).expect("a key");
    assert_eq!(one, bare);
}

/// A caller did not see the answer to its charge and sends it again, to a daemon that has been
/// restarted meanwhile. It must get the first answer and no second charge.
#[test]
fn a_repeat_gets_the_recorded_answer() {
    let mut desk = Desk::new(1);
    desk.want(1, &key(1), 7);
    desk.pass(Duration::from_millis(10));
    assert!(desk.dispatch(1));
    desk.finish(1, b"charged".to_vec());
    assert_eq!(desk.claims.open_claims(), 0);
    let table = std::mem::take(&mut desk.table);
    let mut other = Desk::new(2);
    other.table = table;
    other.want(2, &key(1), 7);
    other.pass(Duration::from_millis(10));
    assert_eq!(other.replays[0].body.as_deref(), Some(&b"charged"[..]));
    assert!(other.granted.is_empty());
}

/// A repeat comes while the first call runs. Whether it will succeed is not known yet, and the
/// caller must not be told that nothing ran.
#[test]
fn a_repeat_of_a_running_call_is_told_so() {
    let mut desk = Desk::new(1);
    desk.want(1, &key(1), 7);
    desk.pass(Duration::from_millis(10));
    assert!(desk.dispatch(1));
    desk.want(2, &key(1), 7);
    let refusal = &desk.refusals[0];
    assert_eq!(refusal.code, RefusalCode::KeyUsed);
    assert_eq!(refusal.outcome, OutcomeKind::Unknown);
    assert!(refusal.retry_after.is_some());
}

/// The daemon that ran a charge died before it could record the outcome. Asking again and again
/// would not help the caller, who has to look at the service's own books.
#[test]
fn a_claim_of_a_dead_daemon_stays_unknown() {
    let mut desk = Desk::new(1);
    desk.want(1, &key(1), 7);
    desk.pass(Duration::from_millis(10));
    assert!(desk.dispatch(1));
    let mut other = Desk::new(2);
    other.table = std::mem::take(&mut desk.table);
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
    other.members.members.insert(host, record);
    other.want(2, &key(1), 7);
    other.pass(Duration::from_millis(10));
    let refusal = &other.refusals[0];
    assert_eq!(refusal.outcome, OutcomeKind::Unknown);
    assert_eq!(refusal.retry_after, None);
    assert!(refusal.detail.contains("stopped before it recorded"));
}

/// A caller uses one key for two different charges. Giving the second the first one's answer
/// would make it believe in a charge that was never made.
#[test]
fn a_key_of_another_call_is_refused() {
    let mut desk = Desk::new(1);
    desk.want(1, &key(1), 7);
    desk.pass(Duration::from_millis(10));
    assert!(desk.dispatch(1));
    desk.finish(1, b"charged".to_vec());
    desk.want(2, &key(1), 8);
    desk.pass(Duration::from_millis(10));
    assert_eq!(desk.refusals[0].code, RefusalCode::KeyUsed);
    assert_eq!(desk.refusals[0].outcome, OutcomeKind::NotRun);
    assert!(desk.replays.is_empty());
}

/// No upstream could be reached, so no byte left. The caller tries again with the same key, as it
/// was told to, and the charge must then be made.
#[test]
fn a_call_that_never_left_may_be_tried_again() {
    let mut desk = Desk::new(1);
    desk.want(1, &key(1), 7);
    desk.pass(Duration::from_millis(10));
    assert!(desk.dispatch(1));
    let request = RequestId(1);
    desk.step(ClaimEvent::Upstream(UpstreamEvent::NotSent {
        request,
        attempt: AttemptNumber(0),
    }));
    desk.step(ClaimEvent::Closed { request });
    desk.pass(Duration::from_millis(200));
    assert_eq!(desk.table.live_rows(), 0);
    desk.want(2, &key(1), 7);
    desk.pass(Duration::from_millis(200));
    assert_eq!(desk.granted, [RequestId(1), RequestId(2)]);
}

/// Many charges come at once and one of their keys is taken. The store takes a transaction whole
/// or not at all, so the others would fail with it.
#[test]
fn one_taken_key_does_not_fail_its_group() {
    let mut desk = Desk::new(1);
    desk.want(1, &key(1), 7);
    desk.pass(Duration::from_millis(200));
    let mut other = Desk::new(2);
    other.table = std::mem::take(&mut desk.table);
    for number in 1..=20 {
        other.want(u128::from(number), &key(number), 7);
    }
    other.pass(Duration::from_millis(10));
    other.pass(Duration::from_millis(200));
    assert_eq!(other.granted.len(), 19);
    assert_eq!(other.refusals.len(), 1);
    assert_eq!(other.commits, 2);
}

/// The shell has a fault and dispatches a charge that holds no claim. The daemon must notice
/// before the charge leaves, and say so.
#[test]
fn a_dispatch_without_a_claim_is_a_breach() {
    let mut desk = Desk::new(1);
    let mut effects = EffectQueue::new();
    let may = desk.claims.may_dispatch(RequestId(9), false, &mut effects);
    assert!(!may);
    assert!(matches!(
        effects.as_slice(),
        [DaemonEffect::InvariantViolated(_)]
    ));
}

/// The store is away. The charge must be refused as not run, with a time to come back, and the
/// same key must work then.
#[test]
fn without_the_store_nothing_runs() {
    let mut desk = Desk::new(1);
    let mut effects = EffectQueue::new();
    let wish = ClaimWish {
        request: call(RequestId(1), desk.now.monotonic),
        key: key(1),
        fingerprint: [7; 32],
        retention: ClaimRetention::Seconds(3_600),
    };
    let members = MemberView::default();
    let view = ClaimView { members: &members };
    let event = ClaimEvent::Wanted(Box::new(wish));
    desk.claims.step(desk.now, event, view, &mut effects);
    let later = desk.now.after(Duration::from_millis(10));
    let event = ClaimEvent::TimerFired { number: 0 };
    desk.claims.step(later, event, view, &mut effects);
    let event = ClaimEvent::Table {
        number: 1,
        answer: TableAnswer::Unavailable,
    };
    desk.claims.step(later, event, view, &mut effects);
    let refusals = effects.drain().filter_map(|effect| match effect {
        DaemonEffect::Refuse { refusal, .. } => Some(refusal),
        _ => None,
    });
    let refusals: Vec<_> = refusals.collect();
    assert_eq!(refusals[0].code, RefusalCode::StoreUnavailable);
    assert_eq!(refusals[0].outcome, OutcomeKind::NotRun);
    assert!(refusals[0].retry_after.is_some());
    desk.want(2, &key(1), 7);
    desk.pass(Duration::from_millis(200));
    assert_eq!(desk.granted, [RequestId(2)]);
}

/// An answer is larger than what is kept. A repeat must still learn that the call ran.
#[test]
fn a_large_answer_is_kept_without_its_body() {
    let mut desk = Desk::new(1);
    desk.want(1, &key(1), 7);
    desk.pass(Duration::from_millis(10));
    assert!(desk.dispatch(1));
    desk.finish(1, vec![0; 16 * 1_024 + 1]);
    desk.want(2, &key(1), 7);
    desk.pass(Duration::from_millis(200));
    assert_eq!(desk.replays.len(), 1);
    assert_eq!(desk.replays[0].body, None);
}

#[test]
fn old_claims_are_swept_and_young_ones_kept() {
    let mut desk = Desk::new(1);
    desk.want(1, &key(1), 7);
    desk.pass(Duration::from_millis(200));
    desk.pass(Duration::from_secs(3_600));
    desk.want(2, &key_made_at(desk.now.wall, 2), 7);
    desk.pass(Duration::from_secs(1));
    assert_eq!(desk.table.live_rows(), 2);
    desk.pass(Duration::from_secs(700));
    assert_eq!(desk.table.live_rows(), 1);
    assert_eq!(desk.claims.counters().swept, 1);
}
