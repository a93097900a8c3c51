//! Whole events of a stream.

/// Bytes of a stream that are not a whole event yet.
#[derive(Debug, Default)]
pub struct EventBuffer {
    bytes: Vec<u8>,
}

/// One whole event with its closing empty line.
#[derive(Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its bytes.
    pub bytes: Vec<u8>,
    /// Its id.
    pub id: Option<String>,
}

impl EventBuffer {
    /// Where bytes that came are put.
    pub fn input_mut(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Takes the next whole event.
    ///
    /// An upstream may stop with_timeout an event. Passed on as it came, the half of it would be joined
    /// with the first bytes of the upstream at which the stream is read on.
    pub fn take_event(&mut self) -> Option<StreamEvent> {
        let end = event_end(&self.bytes)?;
        let rest = self.bytes.split_off(end);
        let bytes = std::mem::replace(&mut self.bytes, rest);
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Nothing is left over.
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
