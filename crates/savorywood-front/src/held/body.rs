//! Bodies that are charged to the memory budget while they are held.

use super::{
    memory::{BudgetExhausted, HeldCharge, HeldMemory},
    verdict::{HeldKind, HeldVerdict},
};
use crate::{
    shared::FrontShared,
    wire::{BodyDecoder, BodyError, BodyFraming, ByteReader},
};
use futures_lite::future;
use std::{collections::VecDeque, rc::Rc};

/// Size from which a segment takes no further bytes.
const SEGMENT_BYTES: usize = 65_536;

/// A request body could not be read.
#[derive(Debug)]
pub enum HeldBodyError {
    /// The body is invalid, too large or incomplete.
    Body(BodyError),
    /// The budget has no room for it.
    Exhausted,
    /// The caller sent nothing more while others needed the memory.
    Stalled,
}

impl From<BodyError> for HeldBodyError {
    fn from(error: BodyError) -> Self {
        Self::Body(error)
    }
}

impl From<BudgetExhausted> for HeldBodyError {
    fn from(BudgetExhausted: BudgetExhausted) -> Self {
        Self::Exhausted
    }
}

/// Body of a request with its charge.
#[derive(Debug)]
pub struct RequestBody {
    pub bytes: Vec<u8>,
    charge: HeldCharge,
}

impl RequestBody {
    /// Reads a complete request body.
    ///
    /// # Errors
    ///
    /// Returns an error when the body can't be read or held.
    pub async fn read(
        shared: &FrontShared,
        reader: &mut ByteReader,
        framing: BodyFraming,
        limit: usize,
    ) -> Result<Self, HeldBodyError> {
        let mut body = Self {
            bytes: Vec::new(),
            charge: HeldCharge::open(&shared.held, HeldKind::RequestBody),
        };
        let cut = body.charge.cut_signal();
        let mut decoder = BodyDecoder::new(framing);
        loop {
            let before = body.bytes.len();
            decoder.decode(reader, &mut body.bytes)?;
            if body.bytes.len() > limit {
                return Err(BodyError::TooLarge.into());
            }
            let received = body.bytes.len() - before;
            body.charge.grow(shared, received).await?;
            if decoder.is_done() {
                break;
            }
            let filled = async { Some(reader.fill().await) };
            let cut = async {
                cut.wait().await;
                None
            };
            match future::or(filled, cut).await {
                Some(Ok(0)) => {
                    decoder.ended()?;
                    break;
                }
                Some(Ok(_)) => {}
                Some(Err(source)) => return Err(BodyError::Broken { source }.into()),
                None => return Err(HeldBodyError::Stalled),
            }
        }
        // The capacity doubled while the length was not known.
        body.bytes.shrink_to_fit();
        body.charge.keep();
        Ok(body)
    }
}

/// How far a response body was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadEnd {
    /// It is complete.
    Complete,
    /// The budget has no room for more.
    Paused,
}

/// A response body that is read.
#[derive(Debug)]
pub struct ResponseReader {
    pub body: ResponseBody,
    decoder: BodyDecoder,
    limit: usize,
    /// Bytes received that are not charged yet.
    uncharged: usize,
}

impl ResponseReader {
    /// Creates a reader of a body of at most `HeldMemory::max_response` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error when the declared length exceeds the maximum.
    pub fn new(memory: &Rc<HeldMemory>, framing: BodyFraming) -> Result<Self, BodyError> {
        let limit = memory.max_response();
        if matches!(framing, BodyFraming::Length(length) if length > limit as u64) {
            return Err(BodyError::TooLarge);
        }
        Ok(Self {
            body: ResponseBody::new(memory),
            decoder: BodyDecoder::new(framing),
            limit,
            uncharged: 0,
        })
    }

    /// Reads until the body is complete. While the budget is exhausted, it waits, or returns if
    /// `may_pause` is set.
    ///
    /// # Errors
    ///
    /// Returns an error when the body can't be read.
    pub async fn read(
        &mut self,
        shared: &FrontShared,
        reader: &mut ByteReader,
        may_pause: bool,
    ) -> Result<ReadEnd, BodyError> {
        loop {
            self.uncharged += self.decode(reader)?;
            if self.decoder.is_done() {
                // A complete response has no use for room; it is at most one read beyond the budget.
                if self.body.charge.try_grow(shared, self.uncharged) == HeldVerdict::Allow {
                    self.uncharged = 0;
                }
                return Ok(ReadEnd::Complete);
            }
            if may_pause {
                if self.body.charge.try_grow(shared, self.uncharged) != HeldVerdict::Allow {
                    return Ok(ReadEnd::Paused);
                }
            } else {
                // A response is never refused, so this waits until the bytes are charged.
                let _ = self.body.charge.grow(shared, self.uncharged).await;
            }
            self.uncharged = 0;
            if !self.fill(reader).await? {
                return Ok(ReadEnd::Complete);
            }
        }
    }

    /// Reports whether the body is complete.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.decoder.is_done()
    }

    /// Charges what was received of a body that is passed on. Returns whether more may be held.
    pub fn charge_received(&mut self, shared: &FrontShared) -> bool {
        if self.body.charge.try_grow(shared, self.uncharged) != HeldVerdict::Allow {
            return false;
        }
        self.uncharged = 0;
        true
    }

    /// Records that all received bytes have been written, and nothing is held.
    pub fn release(&mut self) {
        self.uncharged = 0;
        self.body.charge.shrink(usize::MAX);
    }

    /// Receives the next bytes of a body that is passed on.
    ///
    /// # Errors
    ///
    /// Returns an error when the body can't be read.
    pub async fn receive(&mut self, reader: &mut ByteReader) -> Result<(), BodyError> {
        if self.fill(reader).await? {
            self.uncharged += self.decode(reader)?;
        }
        Ok(())
    }

    /// Moves the received bytes to the body; returns how many there were.
    fn decode(&mut self, reader: &mut ByteReader) -> Result<usize, BodyError> {
        let mut piece = self.body.open_segment();
        let before = piece.len();
        self.decoder.decode(reader, &mut piece)?;
        let received = piece.len() - before;
        if !piece.is_empty() {
            self.body.segments.push_back(piece);
        }
        self.body.length += received;
        if self.body.length > self.limit {
            return Err(BodyError::TooLarge);
        }
        Ok(received)
    }

    /// Returns whether bytes were received; they are not at the end of a body without a length.
    async fn fill(&mut self, reader: &mut ByteReader) -> Result<bool, BodyError> {
        match reader.fill().await {
            Ok(0) => self.decoder.ended().map(|()| false),
            Ok(_) => Ok(true),
            Err(source) => Err(BodyError::Broken { source }),
        }
    }
}

/// Body of a response, held in segments: memory is released as they are delivered, and a growing
/// body is not copied.
#[derive(Debug)]
pub struct ResponseBody {
    segments: VecDeque<Vec<u8>>,
    length: usize,
    charge: HeldCharge,
}

impl ResponseBody {
    fn new(memory: &Rc<HeldMemory>) -> Self {
        Self {
            segments: VecDeque::new(),
            length: 0,
            charge: HeldCharge::open(memory, HeldKind::Response),
        }
    }

    /// Removes the last segment if it takes further bytes, or creates one.
    fn open_segment(&mut self) -> Vec<u8> {
        let open = self.segments.pop_back_if(|last| last.len() < SEGMENT_BYTES);
        open.unwrap_or_default()
    }

    /// Returns the length of the complete body.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Removes and returns the next segment; its bytes stay charged until `HeldCharge::shrink`.
    pub fn next_segment(&mut self) -> Option<Vec<u8>> {
        self.segments.pop_front()
    }

    #[must_use]
    pub fn charge(&self) -> &HeldCharge {
        &self.charge
    }
}
