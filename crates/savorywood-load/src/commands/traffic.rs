//! `traffic`: a mix shaped like a deployment, and what its callers got.

use crate::{
    mix::{AddressBook, DeploymentMix, RunAudit, TrafficLedger, TrafficRun},
    runtime,
};
use bpaf::Bpaf;
use std::{net::SocketAddr, process::ExitCode, time::Duration};

/// Options of `traffic`.
#[derive(Debug, Clone, Bpaf)]
pub struct TrafficOptions {
    /// Address of a daemon; give several, the tool asks them for addresses as callers do
    #[bpaf(argument("ADDR"), some("at least one --server is needed"))]
    server: Vec<SocketAddr>,
    /// Address of a stand-in whose record of runs is compared with the refusals
    #[bpaf(argument("ADDR"))]
    standin: Vec<SocketAddr>,
    /// Shape of the mix: ionoveld or fil-presse
    #[bpaf(argument("NAME"), fallback(DeploymentMix::Ionoveld))]
    deployment: DeploymentMix,
    /// Model service
    #[bpaf(argument("NAME"), fallback("notes".to_owned()))]
    model: String,
    /// Plain service
    #[bpaf(argument("NAME"), fallback("wire".to_owned()))]
    plain: String,
    /// Token of a team that may use all tiers
    #[bpaf(argument("TOKEN"), fallback("dev-team".to_owned()))]
    token: String,
    /// Arrivals a second, 2000 at most
    #[bpaf(argument("RATE"), fallback(20.0))]
    rate: f64,
    /// Length of the run in seconds, 600 at most
    #[bpaf(argument("SECONDS"), fallback(30))]
    seconds: u64,
    /// Seed of arrivals and lengths
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
}

/// Longest run.
const MAX_SECONDS: u64 = 600;

/// Most arrivals a second.
const MAX_RATE: f64 = 2_000.0;

/// Runs the command.
pub fn run(options: &TrafficOptions) -> ExitCode {
    let run = TrafficRun {
        book: AddressBook::new(&options.server),
        mix: options.deployment,
        model: options.model.clone(),
        plain: options.plain.clone(),
        token: options.token.clone(),
        rate: options.rate.clamp(0.01, MAX_RATE),
        time: Duration::from_secs(options.seconds.min(MAX_SECONDS)),
        seed: options.seed,
    };
    let (ledger, audit) = runtime::run(async |executor| {
        let ledger = run.drive(&executor).await;
        let audit = RunAudit::collect(&options.standin, &ledger).await;
        (ledger, audit)
    });
    print_ledger(&ledger);
    print_audit(&ledger, &audit);
    if audit.is_clean() && ledger.cut_off == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn print_ledger(ledger: &TrafficLedger) {
    println!(
        "tier      offered  in time    late  refused  failed  goodput  first p95 ms  gap p95 ms"
    );
    for (tier, record) in &ledger.tiers {
        println!(
            "{tier:<9} {:>7}  {:>7}  {:>6}  {:>7}  {:>6}  {:>6.1}%  {:>12.0}  {:>10.0}",
            record.offered,
            record.in_time,
            record.late,
            record.refused,
            record.failed,
            record.goodput_percent(),
            record.first.quantile_ms(0.95),
            record.gap.quantile_ms(0.95),
        );
    }
    for (code, count) in &ledger.codes {
        println!("refusals {code}: {count}");
    }
}

fn print_audit(ledger: &TrafficLedger, audit: &RunAudit) {
    println!("answers cut off but ended cleanly: {}", ledger.cut_off);
    println!(
        "refusals \"not-run\": {} of which ran: {}",
        ledger.not_run.len(),
        audit.false_refusals
    );
    println!("requests that ran twice: {}", audit.doubled);
}
