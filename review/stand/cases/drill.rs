//! A drill: the store is away for a moment and comes back from a copy some seconds old.

use super::{KEY, await_runner, config, start};
use crate::{
    client::{Call, Outcome, call_once},
    fronts::{Deployment, SIGKILL},
    http::{sleep_ms, wait_until},
    record::Record,
    runner::{Runner, Work},
    store::{Copy, Store},
};
use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

const REVOKED: &str = "other-key";
const DRAIN_MS: u64 = 2_000;
const REVOCATION_MS: u64 = 5_000;
/// Time for which the store is away.
const AWAY_MS: u64 = 500;
/// Time from the store's return until what the operator and the runners wrote is written again.
const REWRITE_MS: u64 = 1_500;

/// Time from the beginning of the drill until the runner that left exits.
const EXIT_MS: u64 = 1_300;

/// Plays the drill. `again` writes what the operator and the runners wrote since the copy.
fn drill(store: &Store, copy: &Copy, record: &Record, again: impl FnOnce()) {
    record.add("the store is away");
    store.leave();
    sleep_ms(AWAY_MS);
    store.come_back(copy);
    record.add("the store is back from its copy");
    sleep_ms(REWRITE_MS);
    again();
    record.add("what was written since the copy is written again");
}

/// Sends requests with a key to all daemons in turn until `stop` is set.
fn send_steadily(
    deployment: &Mutex<Deployment>,
    key: &str,
    gap_ms: u64,
    stop: &AtomicBool,
    record: &Record,
) -> Vec<(String, Outcome)> {
    let callers: Vec<_> = {
        let deployment = deployment.lock().unwrap();
        let fronts = deployment.fronts.iter();
        fronts.map(|front| (front.name.clone(), front.callers)).collect()
    };
    let outcomes = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for turn in 0.. {
            if stop.load(Ordering::SeqCst) {
                break;
            }
            let (name, address) = &callers[turn % callers.len()];
            let outcomes = &outcomes;
            scope.spawn(move || {
                let call = Call {
                    method: "POST",
                    path: "/once/activate",
                    key,
                    deadline_ms: 1_500,
                    lines: "",
                    body: "activate",
                };
                let outcome = call_once(*address, &call, name, record);
                outcomes.lock().unwrap().push((name.clone(), outcome));
            });
            sleep_ms(gap_ms);
        }
    });
    outcomes.into_inner().unwrap()
}

/// A runner leaves without reporting that it drains; then comes the drill.
pub fn leaver(trouble: bool, record: &Record) -> Result<Vec<String>, String> {
    let runners: Vec<Runner> = (1..=3)
        .map(|number| Runner::start(&format!("i-{number}"), Work::default(), record))
        .collect();
    let (store, deployment) = start(&runners, 3)?;
    for runner in &runners {
        await_runner(&deployment, &runner.id)?;
    }
    let deployment = Mutex::new(deployment);
    let stop = AtomicBool::new(false);
    let leaver = &runners[0];
    let (mut left_ms, mut outcomes) = (0, Vec::new());
    thread::scope(|scope| {
        let sending = scope.spawn(|| send_steadily(&deployment, KEY, 10, &stop, record));
        sleep_ms(4_000);
        let copy = store.copy();
        record.add("the copy is made");
        sleep_ms(1_000);
        store.remove("servers", &leaver.id);
        left_ms = record.millis();
        record.add(format!("{} leaves: its entry is removed", leaver.id));
        sleep_ms(3_500);
        let exiting = scope.spawn(|| {
            sleep_ms(EXIT_MS);
            record.add(format!("{} exits", leaver.id));
            leaver.exit();
        });
        if trouble {
            drill(&store, &copy, record, || {
                store.remove("servers", &leaver.id);
                runners[1].register(&store, "ready");
                runners[2].register(&store, "ready");
            });
        } else {
            sleep_ms(AWAY_MS + REWRITE_MS);
        }
        exiting.join().unwrap();
        sleep_ms(1_500);
        stop.store(true, Ordering::SeqCst);
        outcomes = sending.join().unwrap();
    });
    let all_saw = {
        let deployment = deployment.lock().unwrap();
        let text = format!("upstream={} change=left", leaver.id);
        deployment.fronts.iter().all(|front| front.output().contains(&text))
    };
    if !all_saw {
        return Err("the daemons did not see that the runner left".to_owned());
    }
    let arrivals = leaver.arrivals();
    let late = arrivals.iter().filter(|arrival| arrival.at_ms > left_ms + DRAIN_MS);
    let mut broken: Vec<String> = late
        .map(|arrival| {
            let at = arrival.at_ms - left_ms;
            format!("DRAIN: {} reached {} {at} ms after its entry was removed", arrival.id, leaver.id)
        })
        .collect();
    let late = broken.len();
    let runs = leaver.runs();
    let lost = outcomes.iter().filter(|(_, outcome)| {
        let ran = runs.iter().any(|run| run.id == outcome.id && run.at_ms > left_ms + DRAIN_MS);
        ran && outcome.status() != 200
    });
    for (to, outcome) in lost {
        let (id, status) = (&outcome.id, outcome.status());
        broken.push(format!("and lost there: {id} by {to}, status {status}"));
    }
    let served = outcomes.iter().filter(|(_, outcome)| outcome.status() == 200).count();
    println!("{} sent, {served} served, {late} late at the leaver", outcomes.len());
    Ok(broken)
}

/// A key is taken away; later, during the drill, one process is killed and starts again.
pub fn revoked_key(trouble: bool, record: &Record) -> Result<Vec<String>, String> {
    let runners: Vec<Runner> = (1..=3)
        .map(|number| Runner::start(&format!("i-{number}"), Work::default(), record))
        .collect();
    let (store, deployment) = start(&runners, 3)?;
    for runner in &runners {
        await_runner(&deployment, &runner.id)?;
    }
    let deployment = Mutex::new(deployment);
    let stop = AtomicBool::new(false);
    let mut outcomes = Vec::new();
    let mut revoked_ms = 0;
    thread::scope(|scope| {
        let sending = scope.spawn(|| send_steadily(&deployment, REVOKED, 10, &stop, record));
        sleep_ms(3_000);
        let copy = store.copy();
        record.add("the copy is made");
        sleep_ms(500);
        store.put("op", "config", &config(9, &[KEY]));
        revoked_ms = record.millis();
        record.add("a configuration without the key is acknowledged");
        sleep_ms(6_000);
        let (store, runners) = (&store, &runners);
        let playing = scope.spawn(move || {
            if trouble {
                drill(store, &copy, record, || {
                    store.put("op", "config", &config(9, &[KEY]));
                    for runner in runners {
                        runner.register(store, "ready");
                    }
                });
            } else {
                sleep_ms(AWAY_MS + REWRITE_MS);
            }
        });
        // Only the main thread starts processes: they end with the thread that has started them.
        sleep_ms(200);
        record.add("front-1 is killed");
        deployment.lock().unwrap().fronts[0].signal(SIGKILL);
        sleep_ms(200);
        let started = deployment.lock().unwrap().fronts[0].start_again();
        record.add(format!("front-1 is started again: {started:?}"));
        playing.join().unwrap();
        wait_until(Duration::from_secs(5), || deployment.lock().unwrap().fronts[0].is_ready());
        sleep_ms(2_000);
        stop.store(true, Ordering::SeqCst);
        outcomes = sending.join().unwrap();
    });
    let mut broken = Vec::new();
    for (to, outcome) in &outcomes {
        let is_late = outcome.sent_ms > revoked_ms + REVOCATION_MS;
        let ran = runners.iter().any(|runner| runner.runs().iter().any(|run| run.id == outcome.id));
        if is_late && ran {
            let at = outcome.sent_ms - revoked_ms;
            let id = &outcome.id;
            broken.push(format!("CONFIG: {id} was sent to {to} {at} ms after its key was taken away, and ran"));
        }
    }
    println!("{} sent, {} ran although their key was taken away", outcomes.len(), broken.len());
    Ok(broken)
}
