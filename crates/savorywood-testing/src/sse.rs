//! Server-sent events of completion streams.

use serde_json::Value;

/// Last event of a whole stream.
const END_MARK: &[u8] = b"data: [DONE]\n\n";

/// Whether a stream carries its end mark.
#[must_use]
pub fn has_end_mark(bytes: &[u8]) -> bool {
    bytes.ends_with(END_MARK)
}

/// Text of the tokens in a stream of chat chunks; a last event that was cut short is left out.
#[must_use]
pub fn streamed_text(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let chunks = events.filter_map(|event| serde_json::from_str::<Value>(event).ok());
    let texts = chunks.map(|chunk| {
        let content = &chunk["choices"][0]["delta"]["content"];
        content.as_str().unwrap_or_default().to_owned()
    });
    texts.collect()
}
