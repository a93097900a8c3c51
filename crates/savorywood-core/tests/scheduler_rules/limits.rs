//! Limits, ejection, splits, affinity.

use crate::fixture::{BenchRequest, SchedulerBench};
use savorywood_core::{
    CacheEvent, CacheEventBatch, FailureCause, UpstreamEvent, VersionSplit,
    scheduler::{SchedulerEvent, SlotGrant},
};
use std::{collections::BTreeMap, time::Duration};

fn counts(bench: &SchedulerBench) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for order in bench.dispatches() {
        *counts.entry(order.upstream.to_string()).or_default() += 1;
    }
    counts
}

/// An upstream resets every connection and so always looks idle. Least-outstanding routing would
/// send it everything.
#[test]
fn failing_upstream_is_taken_out_and_tried_again_later() {
    let mut bench = SchedulerBench::new(4, 8);
    for _ in 0..200 {
        bench.send(&BenchRequest::default());
        let order = bench.dispatches().pop().unwrap();
        bench.pass(Duration::from_millis(10));
        if order.upstream.as_str() == "u0" {
            bench.upstream(UpstreamEvent::Failed {
                request: order.request,
                attempt: order.attempt,
                cause: FailureCause::Connection,
            });
        } else {
            bench.finish(&order);
        }
    }
    let failed = counts(&bench).get("u0").copied().unwrap_or_default();
    assert!(failed <= 3, "{failed} requests were given to it");
}

/// An engine stalls: it accepts everything and never answers. Until the first timeout each
/// request given to it is lost.
#[test]
fn silent_upstream_gets_no_more_work() {
    let mut bench = SchedulerBench::new(3, 8);
    for _ in 0..600 {
        bench.send(&BenchRequest::default());
        let order = bench.dispatches().pop().unwrap();
        bench.pass(Duration::from_millis(50));
        if order.upstream.as_str() != "u0" {
            bench.finish(&order);
        }
    }
    let lost = counts(&bench).get("u0").copied().unwrap_or_default();
    assert!(lost <= 8, "{lost} requests were given to it");
}

/// Every upstream works on one call that takes a minute, and nothing else comes for a while. If
/// that passed for a stall, the service would be closed until the slow calls end.
#[test]
fn slow_calls_do_not_close_a_service() {
    let mut bench = SchedulerBench::new(3, 8);
    bench.teach(Duration::from_millis(500));
    for _ in 0..12 {
        bench.send(&BenchRequest::default());
    }
    bench.pass(Duration::from_secs(20));
    for _ in 0..30 {
        let quick = bench.send(&BenchRequest::default());
        let order = bench.dispatches().pop().unwrap();
        assert_eq!(order.request, quick);
        bench.pass(Duration::from_millis(20));
        bench.finish(&order);
    }
}

/// An arbiter grants this daemon fewer seats than its own limit would allow.
#[test]
fn grant_bounds_the_seats_in_use() {
    let mut bench = SchedulerBench::new(1, 8);
    let upstream = "u0".parse().unwrap();
    bench.grants.insert(upstream, SlotGrant { slots: 2 });
    for _ in 0..6 {
        bench.send(&BenchRequest::default());
    }
    assert_eq!(bench.dispatches().len(), 2);
    bench.grants.clear();
    bench.step(SchedulerEvent::ViewChanged);
    assert_eq!(bench.dispatches().len(), 6);
}

/// A version is new and perhaps bad. Its share is a bound at any time, not only on average.
#[test]
fn split_is_kept_to_within_one_request() {
    let mut bench = SchedulerBench::new(2, 64);
    bench.add_upstream("w0", 64, "v2");
    bench.splits.insert(
        bench.service(),
        VersionSplit {
            move_name: "to-v2".parse().unwrap(),
            old: "v1".parse().unwrap(),
            new: "v2".parse().unwrap(),
            new_per_mille: 50,
        },
    );
    for sent in 1..=400_usize {
        bench.send(&BenchRequest::default());
        let order = bench.dispatches().pop().unwrap();
        bench.finish(&order);
        let new = counts(&bench).get("w0").copied().unwrap_or_default();
        let share = sent * 50 / 1_000;
        assert!(new.abs_diff(share) <= 1, "{new} of {sent}");
    }
}

/// The prefix of a prompt is cached on one upstream only. Elsewhere it would be computed again,
/// which costs the caller seconds and the engine its capacity.
#[test]
fn request_goes_where_its_prefix_is_cached() {
    let mut bench = SchedulerBench::new(6, 64);
    let request = BenchRequest {
        prompt_tokens: 4_000,
        prefix_hashes: (1..=60).collect(),
        ..BenchRequest::default()
    };
    bench.send(&request);
    let first = bench.dispatches()[0].clone();
    bench.finish(&first);
    for _ in 0..5 {
        bench.send(&request);
        let order = bench.dispatches().pop().unwrap();
        assert_eq!(order.upstream, first.upstream);
        bench.finish(&order);
    }
}

/// Events say that a prefix was evicted. Late ones may be older than a dispatch of our own, so
/// only knowledge older than they can be is dropped.
#[test]
fn evicted_prefix_is_forgotten() {
    let mut bench = SchedulerBench::new(2, 64);
    let request = BenchRequest {
        prompt_tokens: 4_000,
        prefix_hashes: vec![11, 12, 13, 14],
        ..BenchRequest::default()
    };
    bench.send(&request);
    let first = bench.dispatches()[0].clone();
    bench.finish(&first);
    bench.pass(Duration::from_secs(30));
    bench.upstream(UpstreamEvent::CacheChanged {
        upstream: first.upstream.clone(),
        batch: CacheEventBatch {
            first_sequence: 1,
            events: vec![CacheEvent::Cleared],
        },
    });
    for _ in 0..40 {
        let other = bench.send(&BenchRequest::default());
        let order = bench.dispatches().pop().unwrap();
        assert_eq!(order.request, other);
        bench.finish(&order);
    }
    let wasted = bench.scheduler.counters().prefill.cache_miss;
    bench.send(&request);
    let order = bench.dispatches().pop().unwrap();
    bench.finish(&order);
    assert_eq!(bench.scheduler.counters().prefill.cache_miss, wasted);
}

/// A move is completed, but the old version still runs and has a caller's long prompt cached. The
/// operators were told that all traffic is on the new version; the caller must not get answers of
/// the old one, and must not wait for it either.
#[test]
fn completed_move_leaves_nothing_to_the_old_version() {
    let mut bench = SchedulerBench::new(1, 4);
    let request = BenchRequest {
        prompt_tokens: 4_000,
        prefix_hashes: (1..=60).collect(),
        ..BenchRequest::default()
    };
    bench.send(&request);
    let first = bench.dispatches().pop().unwrap();
    bench.finish(&first);
    bench.add_upstream("n0", 4, "v2");
    bench.splits.insert(
        bench.service(),
        VersionSplit {
            move_name: "to-v2".parse().unwrap(),
            old: "v1".parse().unwrap(),
            new: "v2".parse().unwrap(),
            new_per_mille: 1_000,
        },
    );
    bench.step(SchedulerEvent::ViewChanged);
    for _ in 0..20 {
        let before = bench.dispatches().len();
        bench.send(&request);
        let orders = bench.dispatches();
        assert_eq!(orders.len(), before + 1, "the request waits");
        let order = orders.last().unwrap().clone();
        assert_eq!(order.upstream.as_str(), "n0");
        bench.finish(&order);
        bench.pass(Duration::from_millis(500));
    }
}

/// A plain call counts as a unit or two of work and has no prefix that anybody could hold. An idle
/// daemon must send it on at once; its caller saw each call take a tenth of a second.
#[test]
fn smallest_request_is_sent_at_once() {
    for prompt_tokens in 1..=4 {
        let mut bench = SchedulerBench::new(2, 4);
        for sent in 1..=5 {
            bench.send(&BenchRequest {
                prompt_tokens,
                ..BenchRequest::default()
            });
            let orders = bench.dispatches();
            assert_eq!(orders.len(), sent, "{prompt_tokens} tokens");
            bench.finish(&orders[sent - 1]);
            bench.pass(Duration::from_millis(500));
        }
    }
}
