//! Frames in which a peer relays the bytes of an upstream.
//!
//! A response may have no length and end with its connection. Without frames, a relay that ends for
//! any other reason would make such a response look complete.

use std::io;

/// Maximum number of bytes in a frame.
pub const MAX_FRAME_BYTES: usize = 16_384;
/// Size of the length before the bytes of a frame, the most significant byte first.
pub const FRAME_HEADER_BYTES: usize = 2;

/// Returns the header of a frame with `length` bytes. A frame without bytes states that the upstream
/// closed its connection in an orderly way.
///
/// # Errors
///
/// Returns an error when the length exceeds the maximum.
pub fn frame_header(length: usize) -> io::Result<[u8; FRAME_HEADER_BYTES]> {
    let length = u16::try_from(length).map_err(io::Error::other)?;
    Ok(length.to_be_bytes())
}

/// Decoder of frames.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    header: Vec<u8>,
    /// Bytes of the current frame that have not been received.
    rest: usize,
    ended: bool,
}

impl FrameDecoder {
    /// Returns whether the last frame was received.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Appends the content of received frames to `content`. Returns the number of bytes appended.
    ///
    /// # Errors
    ///
    /// Returns an error when bytes follow the last frame.
    pub fn decode(&mut self, mut received: &[u8], content: &mut Vec<u8>) -> io::Result<usize> {
        let before = content.len();
        while !received.is_empty() {
            if self.ended {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if self.rest > 0 {
                let (piece, following) = received.split_at(self.rest.min(received.len()));
                content.extend_from_slice(piece);
                self.rest -= piece.len();
                received = following;
                continue;
            }
            self.header.push(received[0]);
            received = &received[1..];
            if let [high, low] = self.header[..] {
                self.rest = usize::from(u16::from_be_bytes([high, low]));
                self.ended = self.rest == 0;
                self.header.clear();
            }
        }
        Ok(content.len() - before)
    }
}

#[cfg(test)]
mod tests;
