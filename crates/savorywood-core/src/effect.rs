//! Output effects of the daemon core. The runtime executes them in the order given.

use crate::{
    event::{TableCallId, TimerKey},
    invariant::InvariantViolation,
    operator::{OperatorCallId, OperatorReply},
    order::{OrderCallId, UpstreamOrder},
    request::StoredResponse,
};
use savorywood_protocol::{
    AttemptNumber, HostName, MonotonicTime, RequestId, RequestRefusal, UpstreamName,
    peer::PeerMessage, table::TableRequest,
};
use std::{fmt, net::SocketAddr};

/// Severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// A failure that needs an operator's attention.
    Error,
    /// An unusual condition that the daemon handles by itself.
    Warn,
    /// A decision or change of state that operators follow.
    Info,
    /// A decision about one request.
    Debug,
}

/// One `key=value` pair of a log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogField {
    /// Stable name of the pair.
    pub key: &'static str,
    /// Unquoted value; `Display` quotes it where necessary.
    pub value: String,
}

/// One structured line for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// Severity of the line.
    pub level: LogLevel,
    /// Stable name of the event.
    pub event: &'static str,
    /// Further pairs, in the order in which they are written.
    pub fields: Vec<LogField>,
}

impl LogLine {
    /// Creates a line without fields.
    #[must_use]
    pub fn new(level: LogLevel, event: &'static str) -> Self {
        Self {
            level,
            event,
            fields: Vec::new(),
        }
    }

    /// Appends a field.
    #[must_use]
    pub fn with(mut self, key: &'static str, value: impl ToString) -> Self {
        let value = value.to_string();
        self.fields.push(LogField { key, value });
        self
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "event={}", self.event)?;
        self.fields
            .iter()
            .try_for_each(|field| write!(f, " {field}"))
    }
}

/// Quotes values that are empty or contain white space, control characters, `"` or `=`, so that
/// each event stays on one line and its pairs can be parsed.
impl fmt::Display for LogField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let needs_no_quotes =
            |c: char| !c.is_whitespace() && !c.is_control() && !matches!(c, '"' | '=');
        if !self.value.is_empty() && self.value.chars().all(needs_no_quotes) {
            write!(f, "{}={}", self.key, self.value)
        } else {
            write!(f, "{}={:?}", self.key, self.value)
        }
    }
}

/// Dispatch of a request to an upstream. The core records the dispatch before it emits this
/// effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchCommand {
    /// Request to send.
    pub request: RequestId,
    /// Number of the attempt within the request.
    pub attempt: AttemptNumber,
    /// Upstream to send it to.
    pub upstream: UpstreamName,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Time by which the response must be complete.
    pub deadline_at: MonotonicTime,
}

/// Continues to read a response stream that another daemon dispatched. The request is not
/// dispatched again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumeCommand {
    /// Request with which the caller resumes the stream.
    pub request: RequestId,
    /// Upstream that serves the stream.
    pub upstream: UpstreamName,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Name of the stream at the upstream.
    pub stream: String,
    /// Bytes of the stream that the caller has received already.
    pub offset: u64,
}

/// One action that the runtime executes for the core.
#[derive(Debug, Clone, PartialEq)]
pub enum DaemonEffect {
    /// Sets a timer; replaces a timer with the same key.
    SetTimer {
        /// Key that [`DaemonEvent::TimerFired`](crate::DaemonEvent::TimerFired) returns.
        key: TimerKey,
        /// Time at which the timer expires.
        at: MonotonicTime,
    },
    /// Sends a request to an upstream.
    Dispatch(DispatchCommand),
    /// Cancels an attempt in progress, and notifies the upstream where that is possible.
    CancelAttempt {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within the request.
        attempt: AttemptNumber,
    },
    /// Ends a request with a refusal.
    Refuse {
        /// Request to refuse.
        request: RequestId,
        /// Refusal that the caller receives.
        refusal: RequestRefusal,
    },
    /// Sends a message to another daemon by datagram.
    SendPeer {
        /// Host of the receiver.
        to: HostName,
        /// Address of the receiver.
        address: SocketAddr,
        /// Message to send.
        message: PeerMessage,
    },
    /// Calls the table service.
    CallTable {
        /// Identifies the call; returned with its response.
        call: TableCallId,
        /// Request to the table service.
        request: TableRequest,
    },
    /// Resumes a response stream at an offset.
    Resume(ResumeCommand),
    /// Answers a repeated call with the recorded response of the first call.
    Replay {
        /// Request of the repeated call.
        request: RequestId,
        /// Recorded response of the first call.
        response: Box<StoredResponse>,
    },
    /// Requests a configuration snapshot from another daemon, over TCP.
    FetchSnapshot {
        /// Host of the daemon to ask.
        from: HostName,
        /// Address of that daemon.
        address: SocketAddr,
    },
    /// Replies to an operator.
    ReplyOperator {
        /// Call to reply to.
        call: OperatorCallId,
        /// Reply that the operator receives.
        reply: Box<OperatorReply>,
    },
    /// Sends an order to an engine, or reads back which version it runs.
    SendOrder {
        /// Identifies the call; returned with its response.
        call: OrderCallId,
        /// Upstream whose engine receives the order.
        upstream: UpstreamName,
        /// Address of the upstream.
        address: SocketAddr,
        /// Order to send.
        order: UpstreamOrder,
    },
    /// The configuration in force changed; wakes the connections that watch it.
    ConfigChanged,
    /// Writes a line to the log.
    Log(LogLine),
    /// An invariant is violated. The daemon logs and counts the violation; tests fail on it.
    InvariantViolated(InvariantViolation),
    /// All open work is finished; the process can exit.
    Exit,
}

/// Effects of one step, in the order in which they are to be executed.
#[derive(Debug, Default)]
pub struct EffectQueue {
    effects: Vec<DaemonEffect>,
}

impl EffectQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends an effect.
    pub fn push(&mut self, effect: DaemonEffect) {
        self.effects.push(effect);
    }

    /// Appends a log line.
    pub fn log(&mut self, line: LogLine) {
        self.push(DaemonEffect::Log(line));
    }

    /// Appends an effect that sets a timer.
    pub fn set_timer(&mut self, key: TimerKey, at: MonotonicTime) {
        self.push(DaemonEffect::SetTimer { key, at });
    }

    /// Appends an effect that ends a request with a refusal.
    pub fn refuse(&mut self, request: RequestId, refusal: RequestRefusal) {
        self.push(DaemonEffect::Refuse { request, refusal });
    }

    /// Removes and returns all effects, in order.
    pub fn drain(&mut self) -> impl Iterator<Item = DaemonEffect> + '_ {
        self.effects.drain(..)
    }

    /// Returns the effects pushed so far, in order.
    #[must_use]
    pub fn as_slice(&self) -> &[DaemonEffect] {
        &self.effects
    }
}
