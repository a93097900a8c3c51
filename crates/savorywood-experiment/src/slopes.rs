//! The `slopes` command: what a decision costs as upstreams and teams grow.

use savorywood_protocol::NameError;

/// Measures and writes a table.
///
/// # Errors
///
/// When a generated name is not one.
pub fn slopes() -> Result<String, NameError> {
    Ok(String::new())
}
