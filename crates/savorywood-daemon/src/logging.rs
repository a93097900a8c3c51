//! One line of key=value pairs for each event.

use savorywood_core::{LogLevel, LogLine};

/// Writes a line of the core to the log.
pub fn write_line(line: &LogLine) {
    let level = match line.level {
        LogLevel::Error => log::Level::Error,
        LogLevel::Warn => log::Level::Warn,
        LogLevel::Info => log::Level::Info,
        LogLevel::Debug => log::Level::Debug,
    };
    if log::log_enabled!(level) {
        log::log!(level, "{line}");
    }
}
