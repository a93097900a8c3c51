//! Log lines on standard error: one line of key=value pairs for each event.

use env_logger::{Builder, Env, Target};
use log::LevelFilter;
use std::{io::Write, time::SystemTime};

/// Starts logging; `RUST_LOG` goes before `default_level`.
pub fn start(default_level: LevelFilter) {
    let env = Env::default().default_filter_or(default_level.as_str());
    let started = Builder::from_env(env)
        .target(Target::Stderr)
        .format(|buf, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            let level = record.level().as_str().to_ascii_lowercase();
            writeln!(buf, "time={time} level={level} {}", record.args())
        })
        .try_init();
    // A second start in one process, as in tests, keeps the first logger.
    if started.is_err() {
        log::debug!("event=logger-kept");
    }
}
