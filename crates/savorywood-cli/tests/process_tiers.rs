//! Tiers under more load than the engines can take.

use savorywood_testing::{ClusterPlan, StandinProcess, TestCluster, TestDaemon, has_end_mark};
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// Length of the overload.
const RUN_TIME: Duration = Duration::from_secs(6);

/// Callers of each tier. The engine serves about 18 requests a second, so that even one tier's
/// callers alone would wait for more than twice the time that they have.
const CALLERS: usize = 56;

/// Tokens of each request; alone at the engine they take 0.2 s.
const TOKENS: u32 = 20;

/// Time that callers give for a whole answer, in milliseconds.
const DEADLINE_MS: &str = "1500";

/// For so long after a refusal of the higher tier nothing of the lower one is admitted.
const SHED_WINDOW: Duration = Duration::from_millis(300);

/// A caller that was refused waits this long.
const PAUSE: Duration = Duration::from_millis(50);

/// One request as its caller saw it.
#[derive(Debug, Clone, Copy)]
struct CallerView {
    sent_at: Instant,
    ended_at: Instant,
    outcome: CallOutcome,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallOutcome {
    /// With a whole answer.
    Served,
    /// Refused before any of it ran.
    Shed,
    /// Begun, but not ended by its deadline.
    Late,
}

/// One daemon has only callers of the higher tier, the other only callers of the lower one, and
/// both share an engine that can't even serve the higher tier alone. When a caller of the higher
/// tier is refused, nothing of the lower tier that comes later may be admitted, at either daemon:
/// it would run in the refused one's place.
#[test]
fn nothing_lower_is_admitted_after_a_refusal_of_the_higher_tier() {
    let engine = StandinProcess::engine(&["--slots", "4", "--decode", "100"]);
    let cluster = TestCluster::start(&ClusterPlan::default());
    cluster.declare(&[engine.address()], &[]);
    let addresses = cluster.daemons.iter().map(TestDaemon::callers);
    let addresses: Vec<SocketAddr> = addresses.collect();
    let end = Instant::now() + RUN_TIME;
    let usual = start_callers("usual", addresses[1], end);
    let urgent = start_callers("urgent", addresses[0], end);
    let usual = collect_views(usual);
    let urgent = collect_views(urgent);

    let of = |outcome: CallOutcome| move |view: &&CallerView| view.outcome == outcome;
    let shed: Vec<_> = urgent.iter().filter(of(CallOutcome::Shed)).collect();
    let served: Vec<_> = usual.iter().filter(of(CallOutcome::Served)).collect();
    let urgent_served = urgent.iter().filter(of(CallOutcome::Served)).count();
    let breaches = shed.iter().filter(|refusal| {
        let window = refusal.ended_at..refusal.ended_at + SHED_WINDOW;
        served.iter().any(|view| window.contains(&view.sent_at))
    });
    let breaches = breaches.count();
    let refused = shed.len();
    println!(
        "urgent: served={urgent_served} shed={refused}; usual: served={}",
        served.len()
    );
    assert!(
        refused > 0,
        "the higher tier was not overloaded, so nothing was tested"
    );
    assert!(urgent_served > 0);
    assert_eq!(breaches, 0, "of {refused} refusals of the higher tier");
}

fn start_callers(
    tier: &'static str,
    address: SocketAddr,
    end: Instant,
) -> Vec<thread::JoinHandle<Vec<CallerView>>> {
    let callers = (0..CALLERS).map(|number| {
        thread::spawn(move || {
            let mut views = Vec::new();
            while Instant::now() < end {
                views.push(ask(tier, number, address));
            }
            views
        })
    });
    callers.collect()
}

fn collect_views(callers: Vec<thread::JoinHandle<Vec<CallerView>>>) -> Vec<CallerView> {
    let views = callers
        .into_iter()
        .map(|caller| caller.join().expect("a caller"));
    views.flatten().collect()
}

fn ask(tier: &str, number: usize, address: SocketAddr) -> CallerView {
    let call = TestCluster::chat_at(address, &format!("{tier} {number}"), TOKENS);
    let call = call.header("x-savorywood-tier", tier);
    let sent_at = Instant::now();
    let reply = call.header("x-savorywood-deadline-ms", DEADLINE_MS).send();
    let ended_at = Instant::now();
    let outcome = match reply {
        Ok(reply) if reply.status() == 200 && has_end_mark(&reply.body) => CallOutcome::Served,
        Ok(reply) if reply.json()["outcome"] == "not-run" => CallOutcome::Shed,
        _ => CallOutcome::Late,
    };
    if outcome != CallOutcome::Served {
        thread::sleep(PAUSE);
    }
    CallerView {
        sent_at,
        ended_at,
        outcome,
    }
}
