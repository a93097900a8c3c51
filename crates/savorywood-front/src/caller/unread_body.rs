//! Refusal of requests whose bodies have no room in the memory budget.

use super::{refusal_status, status_text};
use crate::{
    held::MAX_PAUSE,
    shared::FrontShared,
    sink::ResponseSink,
    wire::{HeaderLine, RequestHead},
};
use savorywood_gateway::RefusalReason;
use std::io;

/// Refuses a request whose body has no room in the memory budget, as not executed.
pub async fn refuse_unread(
    shared: &FrontShared,
    sink: &mut ResponseSink,
    head: &RequestHead,
) -> io::Result<()> {
    let reason = RefusalReason::Overloaded;
    shared
        .metrics
        .ended
        .with_label_values(&[<&str>::from(reason)])
        .inc();
    shared.report_body_refused(head);
    let mut lines = shared.adapter.local_response_headers(head);
    // Callers without progress are disconnected within `MAX_PAUSE`. The second half is random, so that
    // those refused together do not return together.
    let after = MAX_PAUSE.mul_f64(1.0 + fastrand::f64());
    lines.push(HeaderLine::new(
        "Retry-After",
        format!("{:.2}", after.as_secs_f64()),
    ));
    lines.push(HeaderLine::new("Content-Type", "application/json"));
    let status = refusal_status(reason);
    let body = format!("{{\"error\":\"{reason}\"}}");
    sink.write_response(status, status_text(status), &lines, body.as_bytes())
        .await
}
