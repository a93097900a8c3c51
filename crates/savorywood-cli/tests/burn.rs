//! The burn report: sums, rates, verdicts and members that do not answer.

#![allow(clippy::unwrap_used, reason = "a test that can't be set up fails")]

#[path = "support/fake_daemon.rs"]
mod fake_daemon;

use fake_daemon::FakeDaemon;
use quickcheck::quickcheck;
use savorywood_cli::{
    burn::{BurnReport, BurnVerdict, ReportInput, WindowRate, build_report, judge},
    client::OperatorClient,
    commands::report,
};
use savorywood_protocol::burn::{BurnObjective, BurnSample, BurnWindow, DaemonBurnReport};
use serde_json::json;
use std::net::{SocketAddr, TcpListener};
use strum::IntoEnumIterator;

fn sample(window: BurnWindow, good: u64, total: u64) -> BurnSample {
    BurnSample {
        service: "notes".parse().unwrap(),
        rank: Default::default(),
        objective: BurnObjective::FirstToken,
        window,
        good,
        total,
    }
}

fn daemon(host: &str, samples: Vec<BurnSample>) -> DaemonBurnReport {
    DaemonBurnReport {
        host: host.parse().unwrap(),
        observed_ms: 90_000,
        untracked: 2,
        samples,
    }
}

/// Rates for the four windows from the shortest, each over 1,000 requests.
fn rates(burn_rates: [f64; 4]) -> Vec<WindowRate> {
    let windows = BurnWindow::iter().zip(burn_rates);
    windows
        .map(|(window, burn_rate)| WindowRate {
            window,
            good: 0,
            total: 1_000,
            burn_rate,
        })
        .collect()
}

#[test]
fn counts_are_summed_over_daemons_and_held_against_the_target() {
    let resources = json!([
        {"kind": "tier", "name": "storm", "spec": {"rank": 0}},
        {"kind": "service", "name": "notes",
         "spec": {"protocol": "model", "objectives": {"target_per_mille": 990}}}
    ]);
    let report = build_report(ReportInput {
        resources: serde_json::from_value(resources).unwrap(),
        daemons: vec![
            daemon("a", vec![sample(BurnWindow::OneHour, 480, 500)]),
            daemon("b", vec![sample(BurnWindow::OneHour, 500, 500)]),
        ],
        silent: Vec::new(),
    });
    let row = &report.rows[0];
    assert_eq!(row.tier.as_deref(), Some("storm"));
    let hour = row
        .windows
        .iter()
        .find(|rate| rate.window == BurnWindow::OneHour)
        .unwrap();
    assert_eq!((hour.good, hour.total), (980, 1_000));
    assert!((hour.burn_rate - 2.0).abs() < 1e-9, "{}", hour.burn_rate);
    assert_eq!(report.untracked, 4);
    let text = report.to_string();
    assert!(
        text.contains("2.00 (1000)") && text.contains("counts of 2 of 2 live daemons"),
        "{text}"
    );
}

#[test]
fn both_windows_of_a_rule_must_burn() {
    let judged = |burn_rates| judge(&rates(burn_rates), 950);
    assert_eq!(judged([15.0, 15.0, 0.0, 0.0]), BurnVerdict::Page);
    assert_eq!(judged([15.0, 5.0, 0.0, 0.0]), BurnVerdict::Ok);
    assert_eq!(judged([0.0, 15.0, 0.0, 0.0]), BurnVerdict::Ok);
    assert_eq!(judged([0.0, 7.0, 7.0, 0.0]), BurnVerdict::Page);
    assert_eq!(judged([0.0, 0.0, 1.5, 1.5]), BurnVerdict::Ticket);
    assert_eq!(judged([0.0, 0.0, 0.5, 1.5]), BurnVerdict::Ok);
}

/// A target of 900 in a thousand allows a tenth to fail, so even a total failure burns at only
/// ten times the allowed rate. With the usual threshold of 14.4 it would never page.
#[test]
fn a_total_failure_pages_whatever_the_target() {
    for target in [1, 500, 900, 950, 999] {
        let highest = 1_000.0 / f64::from(1_000 - target);
        assert_eq!(
            judge(&rates([highest; 4]), target),
            BurnVerdict::Page,
            "{target}"
        );
    }
}

#[test]
fn a_handful_of_requests_pages_nobody() {
    let mut few = rates([20.0; 4]);
    for rate in &mut few {
        rate.total = 3;
    }
    assert_eq!(judge(&few, 950), BurnVerdict::Ok);
}

quickcheck! {
    /// More bad requests never make a verdict milder.
    fn verdicts_rise_with_the_burn(first: [u16; 4], more: [u16; 4], target: u16) -> bool {
        let target = target % 999 + 1;
        let low = first.map(|rate| f64::from(rate % 300) / 10.0);
        let mut high = low;
        for (rate, more) in high.iter_mut().zip(more) {
            *rate += f64::from(more % 300) / 10.0;
        }
        judge(&rates(low), target) <= judge(&rates(high), target)
    }
}

fn member(host: &str, state: &str, address: SocketAddr) -> serde_json::Value {
    json!({"host": host, "state": state, "caller_address": address, "peer_address": address,
        "zone": "a", "region": "r", "config_revision": 1})
}

fn report_of(daemon: &FakeDaemon) -> BurnReport {
    let client = OperatorClient::new(daemon.address(), Some("operators-token".to_owned()));
    build_report(async_io::block_on(report::collect(&client)).unwrap())
}

/// A host fails while the report is made, and another one was replaced so that its address now
/// answers for another host. Left out silently, the report would show a burn of the rest as if it
/// were that of all.
#[test]
fn members_that_do_not_answer_are_named() {
    let asked = FakeDaemon::start("host-1");
    let other = FakeDaemon::start("host-2");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    other.put_burn(|burn| burn.samples = vec![sample(BurnWindow::FiveMinutes, 1, 4)]);
    asked.put_members(vec![
        member("host-1", "alive", asked.address()),
        member("host-2", "leaving", other.address()),
        member("host-3", "suspect", closed),
        member("host-4", "alive", other.address()),
        member("host-5", "dead", closed),
    ]);
    let report = report_of(&asked);
    assert_eq!(report.answered, 2);
    let silent: Vec<_> = report.silent.iter().map(|m| m.host.as_str()).collect();
    assert_eq!(silent, ["host-3", "host-4"]);
    assert_eq!(report.rows[0].windows[0].total, 4);
    let text = report.to_string();
    assert!(text.contains("counts of 2 of 4 live daemons"), "{text}");
    assert!(
        text.contains(&format!("missing: host-3 at {closed}: ")),
        "{text}"
    );
    assert!(
        text.contains("host host-2 answers at its address"),
        "{text}"
    );
}
