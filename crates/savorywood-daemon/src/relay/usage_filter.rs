//! Leaves the usage event out of token streams whose callers did not ask for it.

/// Data of a chunk without any choice.
const EMPTY_CHOICES: &[u8] = b"\"choices\":[]";
/// Name of the member that carries usage.
const USAGE_MEMBER: &[u8] = b"\"usage\"";
/// Longest event that is held back; a longer one is no usage event.
const MAX_HELD: usize = 64 * 1_024;

/// Passes a token stream on event by event.
///
/// Engines send usage in a chunk without choices, and this daemon needs it to learn sizes. A client
/// that did not ask for it reads the first choice of each chunk and breaks on that one.
#[derive(Debug, Default)]
pub struct UsageFilter {
    held: Vec<u8>,
    passes_rest: bool,
}

impl UsageFilter {
    /// Takes some bytes; gives those that may be passed on.
    pub fn pass(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.held.extend_from_slice(bytes);
        let mut passed = Vec::new();
        while let Some(end) = event_end(&self.held) {
            let rest = self.held.split_off(end);
            let event = std::mem::replace(&mut self.held, rest);
            if self.passes_rest || !is_usage(&event) {
                passed.extend(event);
            }
            self.passes_rest = false;
        }
        if self.held.len() > MAX_HELD {
            self.passes_rest = true;
            passed.append(&mut self.held);
        }
        passed
    }

    /// What is left at the end of the stream.
    pub fn finish(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.held)
    }
}

fn event_end(bytes: &[u8]) -> Option<usize> {
    let end = bytes.windows(2).position(|pair| pair == b"\n\n")?;
    Some(end + 2)
}

fn is_usage(event: &[u8]) -> bool {
    let contains = |part: &[u8]| event.windows(part.len()).any(|window| window == part);
    contains(EMPTY_CHOICES) && contains(USAGE_MEMBER)
}

#[cfg(test)]
mod tests;
