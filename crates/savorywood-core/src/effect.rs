//! What the core wants done. The shell executes effects in order.

use crate::{
    event::{TableCallId, TimerKey},
    invariant::InvariantViolation,
    operator::{OperatorCallId, OperatorReply},
    order::{OrderCallId, UpstreamOrder},
    request::KeptAnswer,
};
use savorywood_protocol::{
    AttemptNumber, HostName, MonotonicTime, RequestId, RequestRefusal, UpstreamName,
    peer::PeerMessage, table::TableRequest,
};
use std::{fmt, net::SocketAddr};

/// Severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// Something must be looked at.
    Error,
    /// Something is out of the ordinary.
    Warn,
    /// A decision that an operator wants to see.
    Info,
    /// A decision about one request.
    Debug,
}

/// One key=value pair of a log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogField {
    /// Key.
    pub key: &'static str,
    /// Value, quoted by the shell when it holds spaces.
    pub value: String,
}

/// One event for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// Severity.
    pub level: LogLevel,
    /// Stable name of the event.
    pub event: &'static str,
    /// Further pairs in order.
    pub fields: Vec<LogField>,
}

impl LogLine {
    /// A line without fields.
    #[must_use]
    pub fn new(level: LogLevel, event: &'static str) -> Self {
        Self {
            level,
            event,
            fields: Vec::new(),
        }
    }

    /// The same line with one more field.
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

/// Values that hold blanks, quotes or control characters are quoted, so that a line stays one
/// line and its pairs can be told apart.
impl fmt::Display for LogField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bare = |c: char| !c.is_whitespace() && !c.is_control() && !matches!(c, '"' | '=');
        if !self.value.is_empty() && self.value.chars().all(bare) {
            write!(f, "{}={}", self.key, self.value)
        } else {
            write!(f, "{}={:?}", self.key, self.value)
        }
    }
}

/// Sends a request to an upstream. The dispatch is on record before this effect exists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchCommand {
    /// What to send.
    pub request: RequestId,
    /// Which attempt this is.
    pub attempt: AttemptNumber,
    /// To whom.
    pub upstream: UpstreamName,
    /// Where.
    pub address: SocketAddr,
    /// When the whole answer must be there.
    pub deadline_at: MonotonicTime,
}

/// Reads on a stream that another daemon dispatched. This is no second dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumeCommand {
    /// Request of the caller that asks for the rest.
    pub request: RequestId,
    /// Upstream that holds the stream.
    pub upstream: UpstreamName,
    /// Where.
    pub address: SocketAddr,
    /// Name of the stream there.
    pub stream: String,
    /// Bytes that the caller has.
    pub offset: u64,
}

/// One thing that the core wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum DaemonEffect {
    /// Fire this timer at that time; replaces one with the same key.
    SetTimer {
        /// Timer.
        key: TimerKey,
        /// When.
        at: MonotonicTime,
    },
    /// Send a request to an upstream.
    Dispatch(DispatchCommand),
    /// Stop an attempt that is under way and tell the upstream, if it can be told.
    CancelAttempt {
        /// Request of the attempt.
        request: RequestId,
        /// Which attempt.
        attempt: AttemptNumber,
    },
    /// Give a request its final answer at once.
    Refuse {
        /// Which request.
        request: RequestId,
        /// What to say.
        refusal: RequestRefusal,
    },
    /// Send a message to another daemon, by datagram.
    SendPeer {
        /// To whom.
        to: HostName,
        /// Where.
        address: SocketAddr,
        /// What.
        message: PeerMessage,
    },
    /// Call the table service.
    CallTable {
        /// Names the call.
        call: TableCallId,
        /// What to ask.
        request: TableRequest,
    },
    /// Read a stream on from an offset.
    Resume(ResumeCommand),
    /// Give a repeated call the recorded answer of the first.
    Replay {
        /// The repeat.
        request: RequestId,
        /// Answer of the first call.
        response: Box<KeptAnswer>,
    },
    /// Ask a daemon for its whole configuration, by TCP.
    FetchSnapshot {
        /// Whom.
        from: HostName,
        /// Where.
        address: SocketAddr,
    },
    /// Answer an operator.
    ReplyOperator {
        /// Which call.
        call: OperatorCallId,
        /// What to say.
        reply: Box<OperatorReply>,
    },
    /// Give an upstream an order.
    SendOrder {
        /// Names the call.
        call: OrderCallId,
        /// To whom.
        upstream: UpstreamName,
        /// Where.
        address: SocketAddr,
        /// What.
        order: UpstreamOrder,
    },
    /// The configuration in force changed: wake the watchers.
    ConfigChanged,
    /// Write a line to the log.
    Log(LogLine),
    /// An invariant does not hold: log it, count it; in tests, fail.
    InvariantViolated(InvariantViolation),
    /// All is drained: the process may end.
    Exit,
}

/// Effects of one step, in order.
#[derive(Debug, Default)]
pub struct EffectQueue {
    effects: Vec<DaemonEffect>,
}

impl EffectQueue {
    /// An empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an effect after all others.
    pub fn push(&mut self, effect: DaemonEffect) {
        self.effects.push(effect);
    }

    /// Adds a log line.
    pub fn log(&mut self, line: LogLine) {
        self.push(DaemonEffect::Log(line));
    }

    /// Sets a timer.
    pub fn set_timer(&mut self, key: TimerKey, at: MonotonicTime) {
        self.push(DaemonEffect::SetTimer { key, at });
    }

    /// Gives a request its final answer.
    pub fn refuse(&mut self, request: RequestId, refusal: RequestRefusal) {
        self.push(DaemonEffect::Refuse { request, refusal });
    }

    /// Takes all effects out, in order.
    pub fn drain(&mut self) -> impl Iterator<Item = DaemonEffect> + '_ {
        self.effects.drain(..)
    }

    /// The effects so far, in order.
    #[must_use]
    pub fn as_slice(&self) -> &[DaemonEffect] {
        &self.effects
    }
}
