//! The task of one request: waits for the core's decisions and carries them out.

use super::attempt::{AttemptEnd, RequestAttempt};
use crate::{
    daemon::DaemonShared,
    problem::{self, OUTCOME_HEADER, REQUEST_ID_HEADER},
    registry::RequestCommand,
};
use async_channel::{Receiver, Sender};
use futures_lite::future;
use http_types::{Method, Response};
use savorywood_core::{
    CallerEvent, DaemonEvent, DispatchCommand, RequestArrival, StoredResponse, UpstreamEvent,
};
use savorywood_protocol::{
    AttemptNumber, MonotonicTime, OutcomeKind, RefusalCode, RequestId, RequestRefusal, TeamName,
    resource::ServiceProtocol,
};
use std::{sync::Arc, time::Duration};

/// What is sent to whichever upstream the core picks.
#[derive(Debug, Clone)]
pub struct OutgoingCall {
    /// How the service talks.
    pub protocol: ServiceProtocol,
    /// Method.
    pub method: Method,
    /// Path and query at the upstream.
    pub target: String,
    /// Headers that are passed on.
    pub headers: Vec<OutgoingHeader>,
    /// Body.
    pub body: Vec<u8>,
    /// The call may run twice without harm.
    pub idempotent: bool,
    /// The caller of a token stream did not ask for usage.
    pub hides_usage: bool,
    /// Team that calls, as far as its token names one.
    pub team: Option<TeamName>,
}

/// One header that is passed on.
#[derive(Debug, Clone)]
pub struct OutgoingHeader {
    /// Name.
    pub name: String,
    /// Value.
    pub value: String,
}

/// Carries one request.
pub struct RequestTask {
    pub(super) shared: Arc<DaemonShared>,
    pub(super) request: RequestId,
    pub(super) arrived_at: MonotonicTime,
    pub(super) call: OutgoingCall,
    commands: Receiver<RequestCommand>,
    pub(super) answer: Sender<Response>,
}

/// Tells the core that the caller left, unless the answer was handed over before.
struct LeaveGuard {
    shared: Arc<DaemonShared>,
    request: RequestId,
    answered: bool,
}

impl Drop for LeaveGuard {
    fn drop(&mut self) {
        if !self.answered {
            let request = self.request;
            let event = DaemonEvent::Caller(CallerEvent::Disconnected { request });
            self.shared.driver.step(event);
        }
    }
}

impl RequestTask {
    /// Hands an arrival to the core and waits for the head of its answer.
    ///
    /// The work itself runs in a task of its own: when the caller leaves, the future that waits
    /// is dropped, but what was dispatched still has to be accounted for.
    pub async fn serve(
        shared: &Arc<DaemonShared>,
        arrival: RequestArrival,
        call: OutgoingCall,
    ) -> Response {
        let event = DaemonEvent::Caller(CallerEvent::Arrived(Box::new(arrival.clone())));
        Self::serve_event(shared, arrival.request, event, call).await
    }

    /// Like [`serve`](Self::serve), for any event that begins a request.
    pub async fn serve_event(
        shared: &Arc<DaemonShared>,
        request: RequestId,
        event: DaemonEvent,
        call: OutgoingCall,
    ) -> Response {
        let commands = shared.driver.registry.open(request);
        let (answer, head) = async_channel::bounded(1);
        let task = Self {
            shared: Arc::clone(shared),
            request,
            arrived_at: shared.driver.clock().now().monotonic,
            call,
            commands,
            answer,
        };
        let mut guard = LeaveGuard {
            shared: Arc::clone(shared),
            request,
            answered: false,
        };
        shared.driver.step(event);
        shared.executor.spawn(task.run()).detach();
        let response = head.recv().await;
        guard.answered = true;
        response.unwrap_or_else(|_| {
            let detail = "the request was given up inside the daemon";
            let refusal = RequestRefusal::unknown(RefusalCode::Internal, detail);
            problem::problem(&refusal, Some(request))
        })
    }

    async fn run(self) {
        while let Ok(command) = self.commands.recv().await {
            match command {
                RequestCommand::Refuse(refusal) => {
                    log::debug!(
                        "event=request-refused request={} code={} outcome={}",
                        self.request,
                        refusal.code,
                        refusal.outcome
                    );
                    self.reply(problem::problem(&refusal, Some(self.request)));
                    break;
                }
                RequestCommand::Replay(answer) => {
                    self.reply(replayed(*answer, self.request));
                    break;
                }
                RequestCommand::Resume(order) => {
                    self.resume(order).await;
                    let request = self.request;
                    let event = DaemonEvent::Caller(CallerEvent::Disconnected { request });
                    self.shared.driver.step(event);
                    break;
                }
                RequestCommand::Dispatch(order) => {
                    if self.attempt(order).await == NextStep::Over {
                        break;
                    }
                }
                // The attempt ended by itself before the cancel came.
                RequestCommand::Cancel(_) => {}
            }
        }
        self.shared.driver.registry.close(self.request);
    }

    /// Runs one attempt and tells the core how it ended.
    async fn attempt(&self, order: DispatchCommand) -> NextStep {
        let attempt = RequestAttempt::new(self, &order);
        let cancelled = async {
            self.wait_for_cancel(order.attempt).await;
            if self.call.idempotent {
                return AttemptEnd::Cancelled;
            }
            // Given up halfway, its outcome would stay unknown for good. The caller is told now;
            // the call goes on, so that a retry with the same key gets its outcome.
            self.reply(problem::problem(&deadline_passed(), Some(self.request)));
            future::pending().await
        };
        let end = future::or(attempt.run(), cancelled).await;
        let request = self.request;
        let number = order.attempt;
        match end {
            AttemptEnd::NotSent => {
                let event = UpstreamEvent::NotSent {
                    request,
                    attempt: number,
                };
                self.shared.driver.step(DaemonEvent::Upstream(event));
                NextStep::AwaitCommand
            }
            AttemptEnd::Finished(report) => {
                log::debug!(
                    "event=request-finished request={request} upstream={} attempt={number} \
                     status={} output_tokens={} elapsed_ms={}",
                    order.upstream,
                    report.status,
                    report.output_tokens,
                    self.elapsed().as_millis()
                );
                let event = UpstreamEvent::Finished {
                    request,
                    attempt: number,
                    report,
                };
                self.shared.driver.step(DaemonEvent::Upstream(event));
                NextStep::Over
            }
            AttemptEnd::Broken(cause) => {
                self.broken(&order, cause, &cause.to_string());
                NextStep::Over
            }
            AttemptEnd::Cancelled => {
                attempt.cancel_upstream(&order).await;
                self.broken(&order, savorywood_core::FailureCause::Cancelled, "deadline");
                NextStep::Over
            }
        }
    }

    fn broken(&self, order: &DispatchCommand, cause: savorywood_core::FailureCause, reason: &str) {
        let event = UpstreamEvent::Failed {
            request: self.request,
            attempt: order.attempt,
            cause,
        };
        self.shared.driver.step(DaemonEvent::Upstream(event));
        let refusal = if cause == savorywood_core::FailureCause::Cancelled {
            deadline_passed()
        } else {
            let detail = format!("upstream {} broke off: {reason}", order.upstream);
            RequestRefusal::unknown(RefusalCode::UpstreamFailed, detail)
        };
        // Nothing happens when the head of the answer is out already: then the body breaks off.
        self.reply(problem::problem(&refusal, Some(self.request)));
    }

    fn elapsed(&self) -> Duration {
        let now = self.shared.driver.clock().now().monotonic;
        now.since(self.arrived_at)
    }

    async fn wait_for_cancel(&self, attempt: AttemptNumber) {
        loop {
            match self.commands.recv().await {
                Ok(RequestCommand::Cancel(number)) if number == attempt => return,
                Ok(_) => {}
                Err(_) => return future::pending().await,
            }
        }
    }

    /// Hands over the head of the answer; only the first one counts.
    pub(super) fn reply(&self, response: Response) {
        let _ = self.answer.try_send(response);
    }
}

fn deadline_passed() -> RequestRefusal {
    let detail = "the deadline passed while the request ran";
    RequestRefusal::unknown(RefusalCode::DeadlineExceeded, detail)
}

/// Whether the request goes on after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextStep {
    /// The core decides again.
    AwaitCommand,
    /// It is over.
    Over,
}

/// A recorded answer, given again.
fn replayed(answer: StoredResponse, request: RequestId) -> Response {
    let mut response = Response::new(problem::status_code(answer.status));
    let outcome: &'static str = OutcomeKind::Ran.into();
    response.insert_header(OUTCOME_HEADER, outcome);
    response.insert_header(REQUEST_ID_HEADER, request.to_string());
    response.insert_header("x-savorywood-replayed", "true");
    if let Some(body) = answer.body {
        response.set_body(body);
    }
    if !answer.content_type.is_empty() {
        response.insert_header("content-type", answer.content_type);
    }
    response
}
