//! Incremental decoding of HTTP/1.1 bodies.

use super::{head::BodyFraming, limit::InputLimit, reader::ByteReader};
use snafu::Snafu;
use std::io;

/// Maximum length in bytes of a line that holds a chunk size.
const MAX_CHUNK_LINE: usize = 256;
/// Maximum size of all trailer lines in bytes.
const MAX_TRAILERS: usize = 8_192;
/// Bytes of chunk headers that a body may have besides `MAX_CODING_RATIO`.
const MAX_CODING_BYTES: u64 = 65_536;
/// Bytes of chunk headers allowed for each byte of the body. Chunks of one byte with a short extension
/// stay within it.
const MAX_CODING_RATIO: u64 = 16;

/// A body could not be read completely.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The connection failed.
    #[snafu(display("the connection failed within a body: {source}"))]
    Broken { source: io::Error },
    /// The connection was closed before the end of the body.
    #[snafu(display("the connection was closed before the end of the body"))]
    CutOff,
    /// The chunked coding is malformed.
    #[snafu(display("the chunked coding of the body is malformed"))]
    BadChunk,
    /// The body exceeds the size limit.
    #[snafu(display("the body exceeds the size limit"))]
    TooLarge,
    /// Chunk headers or trailers exceed their size limit.
    #[snafu(display("the chunk headers or trailers of the body exceed the size limit"))]
    ChunkCodingTooLarge,
}

impl BodyError {
    /// Returns the limit that the body exceeded, if it did.
    #[must_use]
    pub fn limit(&self) -> Option<InputLimit> {
        match self {
            Self::TooLarge => Some(InputLimit::Body),
            Self::ChunkCodingTooLarge => Some(InputLimit::ChunkCoding),
            Self::Broken { .. } | Self::CutOff | Self::BadChunk => None,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DecodeState {
    Done,
    Remaining(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers,
    UntilClose,
}

/// Decodes one body as bytes arrive.
#[derive(Debug, Clone)]
pub struct BodyDecoder {
    state: DecodeState,
    /// Bytes of the body that were decoded.
    content_bytes: u64,
    /// Bytes of chunk headers.
    coding_bytes: u64,
    /// Bytes of trailers.
    trailer_bytes: usize,
}

impl BodyDecoder {
    #[must_use]
    pub fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Empty | BodyFraming::Length(0) => DecodeState::Done,
            BodyFraming::Length(length) => DecodeState::Remaining(length),
            BodyFraming::Chunked => DecodeState::ChunkSize,
            BodyFraming::UntilClose => DecodeState::UntilClose,
        };
        Self {
            state,
            content_bytes: 0,
            coding_bytes: 0,
            trailer_bytes: 0,
        }
    }

    /// Reports whether the body is complete.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == DecodeState::Done
    }

    /// Moves the body bytes that the reader holds to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error when the chunked coding is malformed or exceeds its size limit.
    pub fn decode(&mut self, reader: &mut ByteReader, out: &mut Vec<u8>) -> Result<(), BodyError> {
        while !self.is_done() && self.advance(reader, out)? {}
        Ok(())
    }

    /// Records that the peer closed the connection in an orderly way.
    ///
    /// # Errors
    ///
    /// Returns an error when the body is incomplete.
    pub fn ended(&mut self) -> Result<(), BodyError> {
        if self.state == DecodeState::UntilClose {
            self.state = DecodeState::Done;
        }
        if self.is_done() {
            Ok(())
        } else {
            Err(BodyError::CutOff)
        }
    }

    fn advance(&mut self, reader: &mut ByteReader, out: &mut Vec<u8>) -> Result<bool, BodyError> {
        if reader.bytes().is_empty() {
            return Ok(false);
        }
        match self.state {
            DecodeState::Done => return Ok(false),
            DecodeState::Remaining(remaining) => {
                let remaining = move_bytes(reader, out, remaining);
                self.state = if remaining == 0 {
                    DecodeState::Done
                } else {
                    DecodeState::Remaining(remaining)
                };
            }
            DecodeState::UntilClose => {
                move_bytes(reader, out, u64::MAX);
            }
            DecodeState::ChunkSize => {
                let Some(line) = take_line(reader, MAX_CHUNK_LINE)? else {
                    return Ok(false);
                };
                self.state = match chunk_size(&line)? {
                    0 => DecodeState::Trailers,
                    size => DecodeState::ChunkData(size),
                };
                self.coding_bytes += line.len() as u64;
                let allowed = self.content_bytes.saturating_mul(MAX_CODING_RATIO);
                if self.coding_bytes > allowed.saturating_add(MAX_CODING_BYTES) {
                    return Err(BodyError::ChunkCodingTooLarge);
                }
            }
            DecodeState::ChunkData(size) => {
                let remaining = move_bytes(reader, out, size);
                self.content_bytes += size - remaining;
                self.state = if remaining == 0 {
                    DecodeState::ChunkEnd
                } else {
                    DecodeState::ChunkData(remaining)
                };
            }
            DecodeState::ChunkEnd => {
                let Some(line) = take_line(reader, MAX_CHUNK_LINE)? else {
                    return Ok(false);
                };
                if !line.is_empty() {
                    return Err(BodyError::BadChunk);
                }
                self.state = DecodeState::ChunkSize;
            }
            DecodeState::Trailers => {
                let Some(line) = take_line(reader, MAX_TRAILERS)? else {
                    return Ok(false);
                };
                if line.is_empty() {
                    self.state = DecodeState::Done;
                    return Ok(true);
                }
                self.trailer_bytes += line.len();
                if self.trailer_bytes > MAX_TRAILERS {
                    return Err(BodyError::ChunkCodingTooLarge);
                }
            }
        }
        Ok(true)
    }
}

fn move_bytes(reader: &mut ByteReader, out: &mut Vec<u8>, remaining: u64) -> u64 {
    let available = reader.bytes().len();
    let count = usize::try_from(remaining)
        .unwrap_or(usize::MAX)
        .min(available);
    out.extend_from_slice(&reader.bytes()[..count]);
    reader.consume(count);
    remaining - count as u64
}

fn take_line(reader: &mut ByteReader, max_length: usize) -> Result<Option<Vec<u8>>, BodyError> {
    let bytes = reader.bytes();
    // Bytes after the maximum are not searched: the line is too long if it does not end before.
    let searched = &bytes[..bytes.len().min(max_length + 2)];
    match searched.windows(2).position(|pair| pair == b"\r\n") {
        Some(end) => {
            let line = searched[..end].to_vec();
            reader.consume(end + 2);
            Ok(Some(line))
        }
        None if bytes.len() < max_length + 2 => Ok(None),
        None => Err(BodyError::ChunkCodingTooLarge),
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, BodyError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    let sound = !digits.is_empty() && digits.len() <= 15;
    let text = std::str::from_utf8(digits).ok().filter(|_| sound);
    let text = text.filter(|text| text.bytes().all(|byte| byte.is_ascii_hexdigit()));
    text.and_then(|text| u64::from_str_radix(text, 16).ok())
        .ok_or(BodyError::BadChunk)
}

/// Reads a complete body.
///
/// # Errors
///
/// Returns an error when the connection fails or is closed early, the coding is malformed, or the
/// body exceeds the limit.
pub async fn read_body(
    reader: &mut ByteReader,
    framing: BodyFraming,
    limit: usize,
) -> Result<Vec<u8>, BodyError> {
    if matches!(framing, BodyFraming::Length(length) if length > limit as u64) {
        return Err(BodyError::TooLarge);
    }
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    loop {
        decoder.decode(reader, &mut body)?;
        if body.len() > limit {
            return Err(BodyError::TooLarge);
        }
        if decoder.is_done() {
            return Ok(body);
        }
        match reader.fill().await {
            Ok(0) => {
                decoder.ended()?;
                return Ok(body);
            }
            Ok(_) => {}
            Err(source) => return Err(BodyError::Broken { source }),
        }
    }
}

/// Reads a body of at most `limit` bytes and discards it.
///
/// # Errors
///
/// Returns an error under the same conditions as `read_body`.
pub async fn discard_body(
    reader: &mut ByteReader,
    framing: BodyFraming,
    limit: usize,
) -> Result<(), BodyError> {
    if matches!(framing, BodyFraming::Length(length) if length > limit as u64) {
        return Err(BodyError::TooLarge);
    }
    let mut decoder = BodyDecoder::new(framing);
    let (mut discarded, mut piece) = (0, Vec::new());
    loop {
        decoder.decode(reader, &mut piece)?;
        discarded += piece.len();
        piece.clear();
        if discarded > limit {
            return Err(BodyError::TooLarge);
        }
        if decoder.is_done() {
            return Ok(());
        }
        match reader.fill().await {
            Ok(0) => return decoder.ended(),
            Ok(_) => {}
            Err(source) => return Err(BodyError::Broken { source }),
        }
    }
}

#[cfg(test)]
mod tests;
