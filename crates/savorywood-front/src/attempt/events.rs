//! Splits a `text/event-stream` body into events.

use crate::wire::InputLimit;

/// Maximum size of one event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Bytes of events already taken after which the buffer is compacted. Compacting at each event would
/// move the bytes after it once for each event.
const COMPACT_BYTES: usize = 16_384;

/// Bytes of a stream that do not yet form a complete event.
#[derive(Debug, Default)]
pub struct EventBuffer {
    bytes: Vec<u8>,
    /// Start of the first event that has not been taken.
    start: usize,
    /// Bytes before this position have been searched for the end of that event.
    searched: usize,
    /// Start of the line that contains `searched`.
    line_start: usize,
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
        if self.start >= COMPACT_BYTES || self.start == self.bytes.len() {
            self.bytes.drain(..self.start);
            self.searched -= self.start;
            self.line_start -= self.start;
            self.start = 0;
        }
        &mut self.bytes
    }

    /// Removes and returns the next complete event.
    ///
    /// Only complete events are forwarded: the first half of an event from an upstream that failed
    /// would otherwise be joined with the first bytes of the upstream that resumes the stream.
    ///
    /// # Errors
    ///
    /// Returns an error when the event exceeds its maximum size, complete or not.
    pub fn take_event(&mut self) -> Result<Option<StreamEvent>, InputLimit> {
        let end = self.search_end();
        let size = end.unwrap_or(self.bytes.len()) - self.start;
        if size > MAX_EVENT_BYTES {
            return Err(InputLimit::Event);
        }
        let Some(end) = end else {
            return Ok(None);
        };
        let bytes = self.bytes[self.start..end].to_vec();
        self.start = end;
        let id = event_id(&bytes);
        Ok(Some(StreamEvent { bytes, id }))
    }

    /// Reports whether no incomplete event is left.
    pub fn is_empty(&self) -> bool {
        self.start == self.bytes.len()
    }

    /// Returns the number of bytes that have not been taken.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.start
    }

    /// Returns the end of the first event once it is complete. Each byte is searched once.
    fn search_end(&mut self) -> Option<usize> {
        while let Some(offset) = self.bytes[self.searched..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let line_end = self.searched + offset;
            let line = &self.bytes[self.line_start..line_end];
            let is_empty = line.is_empty() || line == b"\r";
            self.searched = line_end + 1;
            self.line_start = self.searched;
            if is_empty {
                return Some(self.searched);
            }
        }
        self.searched = self.bytes.len();
        None
    }
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
