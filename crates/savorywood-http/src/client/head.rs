//! Reads the head of an answer and takes out what the decoder can't bear.

use futures_lite::{AsyncRead, AsyncReadExt};
use std::io;

/// Bytes read at a time. Most heads fit.
const READ_BYTES: usize = 2_048;

/// Bytes of a head at most; the decoder refuses longer ones.
const MAX_HEAD_BYTES: usize = 8 * 1_024;

/// Header lines of a head at most; the decoder's own bound.
const MAX_HEADERS: usize = 128;

/// Headers that frame a body.
const FRAMING_HEADERS: [&str; 2] = ["content-length", "transfer-encoding"];

/// Reads an answer up to the end of its head, and whatever came with it.
///
/// The decoder panics on a header value outside ASCII, which other programs send, such as a file
/// name with an accent: the thread would end with all its requests. Header lines that hold such a
/// byte are left out, so that the answer itself still reaches its caller.
pub async fn read_head<R: AsyncRead + Unpin>(stream: &mut R) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut piece = [0; READ_BYTES];
    loop {
        let count = stream.read(&mut piece).await?;
        bytes.extend_from_slice(&piece[..count]);
        if let Some(end) = head_end(&bytes) {
            let rest = bytes.split_off(end);
            let mut answer = ascii_lines(&bytes)?;
            answer.extend_from_slice(&rest);
            return Ok(answer);
        }
        // Cut off or too long: nothing of it may reach the decoder, which would be given more.
        if count == 0 || bytes.len() > MAX_HEAD_BYTES {
            let reason = format!("no end of the head within {} bytes", bytes.len());
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        }
    }
}

/// End of the head as the decoder sees it: after the first empty line, with or without CR.
fn head_end(bytes: &[u8]) -> Option<usize> {
    let mut end = 0;
    for line in bytes.split_inclusive(|byte| *byte == b'\n') {
        end += line.len();
        let before = bytes[..end].strip_suffix(b"\n")?;
        if before.ends_with(b"\r\n\r") || before.ends_with(b"\n") {
            return Some(end);
        }
    }
    None
}

/// The head without header lines whose values hold bytes outside ASCII. Lines that frame the body
/// stay: the decoder must refuse a bad one, not read the body by another.
fn ascii_lines(head: &[u8]) -> io::Result<Vec<u8>> {
    let invalid = |reason: String| io::Error::new(io::ErrorKind::InvalidData, reason);
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let status = parsed.parse(head);
    let status = status.map_err(|error| invalid(error.to_string()))?;
    // The decoder looks for another end than the parser, and drops the bytes between the two: the
    // body would begin too late.
    if status != httparse::Status::Complete(head.len()) {
        return Err(invalid("the head has an empty line inside".to_owned()));
    }
    if head.is_ascii() {
        return Ok(head.to_vec());
    }
    let frames = |name: &str| {
        FRAMING_HEADERS
            .iter()
            .any(|framing| name.eq_ignore_ascii_case(framing))
    };
    let bad = parsed.headers.iter();
    let mut bad = bad.filter(|header| !header.value.is_ascii());
    if let Some(header) = bad.find(|header| frames(header.name)) {
        let reason = format!("the header {} holds bytes outside ASCII", header.name);
        return Err(invalid(reason));
    }
    let lines = head.split_inclusive(|byte| *byte == b'\n').enumerate();
    let kept = lines.filter(|(number, line)| *number == 0 || line.is_ascii());
    Ok(kept.flat_map(|(_, line)| line).copied().collect())
}
