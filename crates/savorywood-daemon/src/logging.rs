//! One line of key=value pairs for each event.

use savorywood_core::{LogField, LogLevel, LogLine};
use std::fmt::Write;

/// Writes a line of the core to the log.
pub fn write_line(line: &LogLine) {
    let level = match line.level {
        LogLevel::Error => log::Level::Error,
        LogLevel::Warn => log::Level::Warn,
        LogLevel::Info => log::Level::Info,
        LogLevel::Debug => log::Level::Debug,
    };
    if log::log_enabled!(level) {
        log::log!(level, "{}", format_line(line));
    }
}

fn format_line(line: &LogLine) -> String {
    let mut text = format!("event={}", line.event);
    for field in &line.fields {
        push_field(&mut text, field);
    }
    text
}

/// Values that hold spaces, quotes or control characters are quoted, so that a line stays one
/// line and its pairs can be told apart.
fn push_field(text: &mut String, field: &LogField) {
    let bare = |c: char| !c.is_whitespace() && !c.is_control() && !matches!(c, '"' | '=');
    let written = if !field.value.is_empty() && field.value.chars().all(bare) {
        write!(text, " {}={}", field.key, field.value)
    } else {
        write!(text, " {}={:?}", field.key, field.value)
    };
    debug_assert!(written.is_ok());
}
