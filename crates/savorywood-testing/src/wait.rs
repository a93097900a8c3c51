//! Bounded waiting.

use std::{
    thread,
    time::{Duration, Instant},
};

/// Pause between two looks.
const LOOK_PERIOD: Duration = Duration::from_millis(10);

/// Waits until `look` gives something.
///
/// # Panics
///
/// When it gives nothing within `limit`; the message names `what`.
pub fn wait_for<T>(what: &str, limit: Duration, mut look: impl FnMut() -> Option<T>) -> T {
    let begin = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(
            begin.elapsed() < limit,
            "waited {limit:?} in vain for: {what}"
        );
        thread::sleep(LOOK_PERIOD);
    }
}

/// Waits until `holds` does.
///
/// # Panics
///
/// When it does not within `limit`; the message names `what`.
pub fn wait_until(what: &str, limit: Duration, mut holds: impl FnMut() -> bool) {
    wait_for(what, limit, || holds().then_some(()));
}
