//! Splits a `text/event-stream` body into events.

/// Bytes of a stream that do not yet form a complete event.
#[derive(Debug, Default)]
pub struct EventBuffer {
    bytes: Vec<u8>,
}

/// One complete event, including its closing empty line.
#[derive(Debug, PartialEq, Eq)]
pub struct StreamEvent {
    pub bytes: Vec<u8>,
    /// Value of its last `id` field, if it has one.
    pub id: Option<String>,
}

impl EventBuffer {
    /// Returns the buffer to which received bytes are appended.
    pub fn input_mut(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Removes and returns the next complete event.
    ///
    /// Only complete events are forwarded: the first half of an event from an upstream that failed
    /// would otherwise be joined with the first bytes of the upstream that resumes the stream.
    pub fn take_event(&mut self) -> Option<StreamEvent> {
        let end = event_end(&self.bytes)?;
        let rest = self.bytes.split_off(end);
        let bytes = std::mem::replace(&mut self.bytes, rest);
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Reports whether no incomplete event is left.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        let is_empty = line.is_empty() || line == b"\r";
        if is_empty {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<String> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut values = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let value = values.next_back()?;
    let text = std::str::from_utf8(value).ok()?;
    Some(text.trim().to_owned())
}

#[cfg(test)]
mod tests;
