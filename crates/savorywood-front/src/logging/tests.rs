//! The rate limit of the log.

use super::*;

fn line(event: &'static str) -> LogLine {
    LogLine::new(LogLevel::Info, event)
}

/// Guards against a burst of requests that uses up the rate limit: lines about successes are
/// dropped first, so that lines about failures are still written.
#[test]
fn lines_about_successes_are_dropped_first() {
    let queue = LogQueue::start(log::LevelFilter::Info);
    for _ in 0..5_000 {
        queue.write_line(&line("request-dispatched"));
    }
    let omitted = queue.omitted().over_budget.load(Ordering::Relaxed);
    assert!(omitted > 3_000, "{omitted}");
    for _ in 0..400 {
        queue.write_line(&line("request-refused"));
    }
    let after = queue.omitted().over_budget.load(Ordering::Relaxed);
    assert_eq!(after, omitted, "refusals were dropped");
    let ended = line("request-ended").with("end", "broken-answer");
    assert!(is_failure(&ended));
    assert!(!is_failure(&line("request-ended").with("end", "served")));
}
