//! Helpers shared by tests: free ports, child processes and small blocking HTTP calls.
//!
//! Everything blocks and everything is bounded in time: a test that waits for what never comes
//! fails and says what it waited for. Only tests start processes; no daemon does.

pub mod background;
pub mod binary;
pub mod cluster;
pub mod http;
pub mod mutation;
pub mod port;
pub mod process;
pub mod sse;
pub mod standin;
pub mod wait;

pub use background::background_executor;
pub use binary::{BinaryName, binary_path};
pub use cluster::{ClusterPlan, OPERATOR_TOKEN, TEAM_TOKEN, TestCluster, TestDaemon};
pub use http::{PartialBody, TestCall, TestReply, TestStream};
pub use mutation::{InputMutation, fuzz};
pub use port::free_address;
pub use process::{ChildProcess, ProcessSignal};
pub use sse::{has_end_mark, streamed_text};
pub use standin::{OrderView, RunView, StandinProcess};
pub use wait::{wait_for, wait_until};
