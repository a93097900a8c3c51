//! Server-sent events as far as they must be understood: tokens, usage and the end mark.

/// Begins a line that carries an event's data.
const DATA_PREFIX: &[u8] = b"data:";

/// Data of the event that ends a token stream.
const DONE_MARK: &[u8] = b"[DONE]";

/// Name of the member that carries usage.
const USAGE_MEMBER: &[u8] = b"\"usage\"";

/// A chunk without any choice.
const EMPTY_CHOICES: &[u8] = b"\"choices\":[]";

/// A choice without text.
const EMPTY_CONTENT: &[u8] = b"\"content\":\"\"";

/// Longest line that is kept whole; a longer one still counts as one token.
const MAX_LINE_BYTES: usize = 64 * 1_024;

/// Reads a token stream as its bytes pass.
#[derive(Debug, Default)]
pub struct TokenStream {
    line: Vec<u8>,
    done: bool,
    usage_line: Option<Vec<u8>>,
}

impl TokenStream {
    /// Takes some bytes; says how many events with tokens ended in them.
    pub fn observe(&mut self, bytes: &[u8]) -> u32 {
        let mut tokens = 0;
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            self.push(&rest[..end]);
            tokens += self.end_line();
            rest = &rest[end + 1..];
        }
        self.push(rest);
        tokens
    }

    /// Whether the end mark came.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Data of the event that carried usage, a JSON text.
    pub fn usage_data(&self) -> Option<&[u8]> {
        self.usage_line.as_deref()
    }

    fn push(&mut self, bytes: &[u8]) {
        let room = MAX_LINE_BYTES.saturating_sub(self.line.len());
        self.line.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    fn end_line(&mut self) -> u32 {
        let line = std::mem::take(&mut self.line);
        let Some(data) = line.strip_prefix(DATA_PREFIX) else {
            return 0;
        };
        let data = data.trim_ascii();
        if data == DONE_MARK {
            self.done = true;
            return 0;
        }
        let carries_usage = contains(data, USAGE_MEMBER);
        if carries_usage {
            self.usage_line = Some(data.to_vec());
        }
        // The chunks that carry usage alone or only say why the answer ended hold no token.
        let empty = contains(data, EMPTY_CHOICES) || contains(data, EMPTY_CONTENT);
        u32::from(!empty)
    }
}

fn contains(data: &[u8], part: &[u8]) -> bool {
    data.windows(part.len()).any(|window| window == part)
}

#[cfg(test)]
mod tests;
