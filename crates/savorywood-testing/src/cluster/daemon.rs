//! One daemon as a process.

use super::{
    OPERATOR_TOKEN,
    plan::{ClusterPlan, OPERATOR_KEY, PEER_KEY, RESUME_KEY},
};
use crate::{
    binary::BinaryName,
    http::TestCall,
    port::free_address,
    process::{ChildProcess, ProcessSignal},
    wait,
};
use serde_json::{Value, json};
use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitStatus,
    thread,
    time::Duration,
};

/// Part of the log line that tells of a broken invariant.
const BREACH_EVENT: &str = "event=invariant-breach";

/// A look at a daemon that may be frozen takes this long at most.
const LOOK_TIME: Duration = Duration::from_millis(500);

/// One daemon; it keeps its settings and addresses over restarts.
#[derive(Debug)]
pub struct TestDaemon {
    host: String,
    zone: &'static str,
    callers: SocketAddr,
    peers: SocketAddr,
    settings: PathBuf,
    process: Option<ChildProcess>,
}

impl TestDaemon {
    pub(super) fn prepare(
        folder: &Path,
        plan: &ClusterPlan,
        number: usize,
        platform: SocketAddr,
    ) -> Self {
        let host = format!("entry-{number}");
        let zone = if number.is_multiple_of(2) {
            "zone-a"
        } else {
            "zone-b"
        };
        let daemon = Self {
            settings: folder.join(format!("{host}.json")),
            host,
            zone,
            callers: free_address(),
            peers: free_address(),
            process: None,
        };
        let text = daemon.settings_text(plan, platform).to_string();
        fs::write(&daemon.settings, text).expect("a file can be written");
        daemon
    }

    fn settings_text(&self, plan: &ClusterPlan, platform: SocketAddr) -> Value {
        json!({
            "host": self.host,
            "zone": self.zone,
            "region": "region-1",
            "listen_callers": self.callers,
            "listen_peers": self.peers,
            "platform": {
                "table_address": platform,
                "object_address": platform,
                "host_list_address": platform,
                "call_timeout_ms": plan.call_timeout_ms,
            },
            "keys": {
                "peer_key_file": PEER_KEY,
                "operator_token_file": OPERATOR_KEY,
                "resume_key_file": RESUME_KEY,
            },
            "stop": {
                "drain_seconds": plan.drain_seconds,
                "address_max_age_seconds": plan.address_max_age_seconds,
            },
            "seed": self.callers.port(),
        })
    }

    /// Its line on the platform's host list.
    pub(super) fn listing(&self) -> Value {
        json!({
            "host": self.host,
            "peer_address": self.peers,
            "caller_address": self.callers,
            "zone": self.zone,
            "region": "region-1",
            "leaving": false,
        })
    }

    /// Starts its process, again or for the first time.
    pub fn start(&mut self) {
        let settings = self.settings.to_string_lossy();
        let arguments = ["serve", "--settings", &settings];
        self.process = Some(ChildProcess::start(BinaryName::Savorywood, &arguments));
    }

    /// Kills its process at once, as a lost host does.
    ///
    /// # Panics
    ///
    /// When its log tells of a broken invariant.
    pub fn kill(&mut self) {
        self.check_log();
        self.process = None;
    }

    /// The program checks its invariants itself and only logs a breach, so that users are served
    /// on. In a test nobody would see the line: the test must fail.
    fn check_log(&self) {
        let log = self.log();
        let breach = log.lines().find(|line| line.contains(BREACH_EVENT));
        if let Some(breach) = breach.filter(|_| !thread::panicking()) {
            panic!("{}: {breach}", self.host);
        }
    }

    /// Sends a signal to its process.
    ///
    /// # Panics
    ///
    /// When it does not run.
    pub fn signal(&self, signal: ProcessSignal) {
        let process = self.process.as_ref().expect("the daemon runs");
        process.signal(signal);
    }

    /// Waits for the end of its process.
    ///
    /// # Panics
    ///
    /// When it does not run, or does not end in time.
    pub fn wait_for_end(&mut self, limit: Duration) -> ExitStatus {
        let process = self.process.as_mut().expect("the daemon runs");
        process.wait_for_end(limit)
    }

    /// Whether it was started and not killed.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.process.is_some()
    }

    /// State of its process as the system reports it; `None` when it does not run.
    #[must_use]
    pub fn run_state(&self) -> Option<String> {
        self.process.as_ref().and_then(ChildProcess::run_state)
    }

    /// What it wrote to its log so far.
    #[must_use]
    pub fn log(&self) -> String {
        let process = self.process.as_ref();
        process.map(ChildProcess::errors).unwrap_or_default()
    }

    /// Name of its host.
    #[must_use]
    pub fn host(&self) -> &str {
        &self.host
    }

    /// Where callers and operators reach it.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Waits until it says that it takes work.
    ///
    /// # Panics
    ///
    /// When it does not within `limit`.
    pub fn wait_until_ready(&self, limit: Duration) {
        let what = format!("{} ready", self.host);
        wait::wait_until(&what, limit, || self.is_ready());
    }

    /// Whether it says that it takes work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let look = TestCall::get(self.callers, "/readyz").timeout(LOOK_TIME);
        look.send().is_ok_and(|reply| reply.status() == 200)
    }

    /// Revision of the configuration in force there; `None` when it does not answer.
    #[must_use]
    pub fn revision(&self) -> Option<u64> {
        let look = TestCall::get(self.callers, "/v1/resources/service");
        let look = look.token(OPERATOR_TOKEN).timeout(LOOK_TIME);
        look.send().ok()?.json()["revision"].as_u64()
    }

    /// One of its metrics, by the start of its line; `None` when there is no such line.
    #[must_use]
    pub fn metric(&self, prefix: &str) -> Option<f64> {
        let look = TestCall::get(self.callers, "/metrics").timeout(LOOK_TIME);
        let text = look.send().ok()?.text();
        let mut lines = text.lines().filter(|line| line.starts_with(prefix));
        lines.next()?.rsplit(' ').next()?.parse().ok()
    }
}

impl Drop for TestDaemon {
    fn drop(&mut self) {
        self.check_log();
    }
}
