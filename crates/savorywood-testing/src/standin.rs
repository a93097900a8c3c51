//! Stand-ins as processes of their own.

use crate::{
    binary::BinaryName,
    http::TestCall,
    process::{ChildProcess, ProcessSignal},
};
use serde_json::Value;
use std::net::SocketAddr;

/// A stand-in that runs as a process.
#[derive(Debug)]
pub struct StandinProcess {
    process: ChildProcess,
    address: SocketAddr,
    control: SocketAddr,
}

impl StandinProcess {
    /// Starts an engine; `arguments` as for `savorywood-standin engine`.
    #[must_use]
    pub fn engine(arguments: &[&str]) -> Self {
        Self::start("engine", arguments, "engine")
    }

    /// Starts a plain service.
    #[must_use]
    pub fn plain(arguments: &[&str]) -> Self {
        Self::start("plain", arguments, "plain")
    }

    /// Starts a platform.
    #[must_use]
    pub fn platform(arguments: &[&str]) -> Self {
        Self::start("platform", arguments, "platform")
    }

    /// Starts a proxy whose TCP link leads to a target.
    #[must_use]
    pub fn proxy(target: SocketAddr) -> Self {
        let target = target.to_string();
        let process = ChildProcess::start(BinaryName::Standin, &["proxy", "--tcp-target", &target]);
        let address = process.ready_address("tcp");
        let control = process.ready_address("control");
        Self {
            process,
            address,
            control,
        }
    }

    fn start(verb: &str, arguments: &[&str], announced: &str) -> Self {
        let all: Vec<&str> = [verb].iter().chain(arguments).copied().collect();
        let process = ChildProcess::start(BinaryName::Standin, &all);
        let address = process.ready_address(announced);
        Self {
            process,
            address,
            control: address,
        }
    }

    /// Where it serves.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces its faults.
    ///
    /// # Panics
    ///
    /// When it does not take them.
    pub fn set_faults(&self, faults: &Value) {
        let put = TestCall::put(self.control, "/standin/faults", faults.to_string());
        let reply = put.send().expect("the stand-in answers");
        assert_eq!(reply.status(), 200, "{}", reply.text());
    }

    /// What it ran: the answer of `GET /standin/runs`.
    ///
    /// # Panics
    ///
    /// When it does not answer.
    #[must_use]
    pub fn runs(&self) -> RunView {
        let get = TestCall::get(self.control, "/standin/runs");
        let reply = get.send().expect("the stand-in answers");
        RunView(reply.json())
    }

    /// Orders that reached an engine, in order.
    ///
    /// # Panics
    ///
    /// When it does not answer.
    #[must_use]
    pub fn orders(&self) -> Vec<OrderView> {
        let get = TestCall::get(self.control, "/standin/orders");
        let reply = get.send().expect("the stand-in answers").json();
        let records = reply.as_array().into_iter().flatten();
        records.cloned().map(OrderView).collect()
    }

    /// Version that an engine runs, once it is loaded whole.
    #[must_use]
    pub fn ready_version(&self) -> Option<String> {
        let get = TestCall::get(self.control, "/savorywood/orders");
        let state = get.send().ok()?.json();
        let version = state["version"].as_str().map(str::to_owned);
        version.filter(|_| state["ready"] == true)
    }

    /// States of the threads of its process.
    #[must_use]
    pub fn thread_states(&self) -> Vec<char> {
        self.process.thread_states()
    }

    /// Sends a signal to its process.
    pub fn signal(&self, signal: ProcessSignal) {
        self.process.signal(signal);
    }
}

/// What a stand-in ran.
#[derive(Debug, Clone)]
pub struct RunView(Value);

impl RunView {
    /// Requests that ever reached the stand-in.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0["total"].as_u64().unwrap_or_default()
    }

    /// How often requests ran for which `member` (`request`, `key` or `stream`) is `value`.
    #[must_use]
    pub fn count(&self, member: &str, value: &str) -> usize {
        let runs = self.0["runs"].as_array().into_iter().flatten();
        runs.filter(|run| run[member] == value).count()
    }

    /// Request ids of all runs, in the order of their arrival.
    #[must_use]
    pub fn requests(&self) -> Vec<String> {
        let runs = self.0["runs"].as_array().into_iter().flatten();
        let requests = runs.filter_map(|run| run["request"].as_str());
        requests.map(str::to_owned).collect()
    }

    /// Requests that ran more than once, by their request id.
    #[must_use]
    pub fn repeated_requests(&self) -> Vec<String> {
        let mut requests = self.requests();
        requests.sort_unstable();
        let pairs = requests.windows(2);
        let repeated = pairs.filter(|pair| pair[0] == pair[1]);
        repeated.map(|pair| pair[0].clone()).collect()
    }
}

/// One order that reached an engine.
#[derive(Debug, Clone)]
pub struct OrderView(Value);

impl OrderView {
    /// Its fencing number.
    #[must_use]
    pub fn fencing(&self) -> u64 {
        self.0["order"]["fencing"].as_u64().unwrap_or_default()
    }

    /// Version that it asks for.
    #[must_use]
    pub fn version(&self) -> Option<&str> {
        self.0["order"]["version"].as_str()
    }

    /// Whether a newer fencing number had been seen before it.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        self.0["stale"] == true
    }
}
