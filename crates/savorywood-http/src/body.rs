//! A body that is produced piece by piece and ends cleanly only when its producer says so.

use async_channel::{Receiver, Sender};
use futures_lite::{AsyncBufRead, AsyncRead, Stream};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

/// Pieces under way between producer and connection. Two let one be written while the next is
/// read; more would only buffer for a slow caller.
const PIECES_UNDER_WAY: usize = 2;

/// Makes the two ends of a body.
#[must_use]
pub fn body_channel() -> BodyPair {
    let (pieces, incoming) = async_channel::bounded(PIECES_UNDER_WAY);
    BodyPair {
        sender: BodySender { pieces },
        receiver: BodyReceiver {
            incoming: Box::pin(incoming),
            current: Vec::new(),
            read: 0,
            ended: false,
        },
    }
}

/// The two ends of one body.
#[derive(Debug)]
pub struct BodyPair {
    /// End of the producer.
    pub sender: BodySender,
    /// End of the connection.
    pub receiver: BodyReceiver,
}

#[derive(Debug)]
enum BodyPiece {
    Bytes(Vec<u8>),
    End,
}

/// The reader of the body is gone: the caller left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderGone;

/// End of the producer. Dropping it without [`finish`](Self::finish) breaks the body off.
#[derive(Debug)]
pub struct BodySender {
    pieces: Sender<BodyPiece>,
}

impl BodySender {
    /// Hands on some bytes; waits while the reader is slow.
    ///
    /// # Errors
    ///
    /// When nobody reads the body any longer.
    pub async fn send(&self, bytes: Vec<u8>) -> Result<(), ReaderGone> {
        if bytes.is_empty() {
            return Ok(());
        }
        let piece = BodyPiece::Bytes(bytes);
        self.pieces.send(piece).await.map_err(|_| ReaderGone)
    }

    /// Says that the body is whole.
    ///
    /// # Errors
    ///
    /// When nobody reads the body any longer.
    pub async fn finish(self) -> Result<(), ReaderGone> {
        self.pieces
            .send(BodyPiece::End)
            .await
            .map_err(|_| ReaderGone)
    }

    /// Whether nobody reads the body any longer.
    #[must_use]
    pub fn is_reader_gone(&self) -> bool {
        self.pieces.is_closed()
    }
}

/// End of the connection: a reader for [`http_types::Body::from_reader`].
#[derive(Debug)]
pub struct BodyReceiver {
    incoming: Pin<Box<Receiver<BodyPiece>>>,
    current: Vec<u8>,
    read: usize,
    ended: bool,
}

impl BodyReceiver {
    /// Without an end piece the producer died or its source was cut off. Reading that as a clean
    /// end would hand a caller half an answer as a whole one; the error makes the connection
    /// close without the final chunk, which every client notices.
    fn broken_off() -> io::Error {
        io::Error::new(io::ErrorKind::UnexpectedEof, "the body was broken off")
    }
}

impl AsyncBufRead for BodyReceiver {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.read == this.current.len() && !this.ended {
            match ready!(this.incoming.as_mut().poll_next(cx)) {
                Some(BodyPiece::Bytes(bytes)) => {
                    this.current = bytes;
                    this.read = 0;
                }
                Some(BodyPiece::End) => this.ended = true,
                None => return Poll::Ready(Err(Self::broken_off())),
            }
        }
        Poll::Ready(Ok(&this.current[this.read..]))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        let this = self.get_mut();
        this.read = (this.read + amount).min(this.current.len());
    }
}

impl AsyncRead for BodyReceiver {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = ready!(self.as_mut().poll_fill_buf(cx))?;
        let amount = available.len().min(buf.len());
        buf[..amount].copy_from_slice(&available[..amount]);
        self.consume(amount);
        Poll::Ready(Ok(amount))
    }
}
