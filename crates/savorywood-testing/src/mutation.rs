//! Mutations of valid inputs, for the fuzzing of decoders that meet bytes from outside.
//!
//! Random bytes hardly ever get past a decoder's first check; valid inputs with a few mistakes
//! reach its depths.

use quickcheck::{Arbitrary, Gen, QuickCheck, Testable};
use std::env;

/// Environment variable that asks for longer runs: the number of inputs for each property.
pub const RUNS_VARIABLE: &str = "SAVORYWOOD_RUNS";

/// Mutations of one input at most. More of them break the outermost frame almost always, and
/// hide what lies inside.
const MAX_MUTATIONS: usize = 4;

/// Bytes that one mutation deletes or repeats at most.
const MAX_SPAN_BYTES: usize = 64;

/// Size that is handed to the generators.
const GEN_SIZE: usize = 64;

/// Texts that have a meaning in HTTP, JSON, event streams or the peers' binary coding.
const SNIPPETS: [&[u8]; 20] = [
    b"\r\n",
    b"\r\n\r\n",
    b"\n",
    b"\n\n",
    b"\0",
    b":",
    b" ",
    b"data: ",
    b"data: [DONE]\n\n",
    b"{",
    b"[[[[[[[[",
    b"\"usage\"",
    b"-1",
    b"99999999999999999999",
    b"0\r\n\r\n",
    b"Content-Length: 5\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01",
    b"\xc3\x28",
    b"\xf0\x9f\x8c\xa7",
];

/// One mutation; places are taken modulo the length of the input.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ByteMutation {
    /// Flips one bit.
    Flip {
        /// Which byte.
        place: usize,
        /// Which bit of it.
        bit: u8,
    },
    /// Replaces one byte.
    Set {
        /// Which byte.
        place: usize,
        /// New value.
        byte: u8,
    },
    /// Inserts a text that has a meaning.
    Insert {
        /// Before which byte.
        place: usize,
        /// Which text.
        snippet: usize,
    },
    /// Deletes some bytes.
    Delete {
        /// From which byte.
        place: usize,
        /// How many.
        count: usize,
    },
    /// Repeats some bytes.
    Repeat {
        /// From which byte.
        place: usize,
        /// How many.
        count: usize,
    },
    /// Cuts the input off.
    Truncate {
        /// At which byte.
        place: usize,
    },
}

impl Arbitrary for ByteMutation {
    fn arbitrary(g: &mut Gen) -> Self {
        // A plain `usize` is often an extreme, which falls on the same few places.
        let place = usize::from(u16::arbitrary(g));
        let count = usize::from(u8::arbitrary(g)) % MAX_SPAN_BYTES + 1;
        match u8::arbitrary(g) % 6 {
            0 => Self::Flip {
                place,
                bit: u8::arbitrary(g) % 8,
            },
            1 => Self::Set {
                place,
                byte: u8::arbitrary(g),
            },
            2 => Self::Insert {
                place,
                snippet: usize::from(u8::arbitrary(g)) % SNIPPETS.len(),
            },
            3 => Self::Delete { place, count },
            4 => Self::Repeat { place, count },
            _ => Self::Truncate { place },
        }
    }
}

impl ByteMutation {
    fn apply(&self, bytes: &mut Vec<u8>) {
        let at = |place: usize| place % bytes.len().max(1);
        let span = |place: usize, count: usize| {
            let start = at(place).min(bytes.len());
            start..(start + count).min(bytes.len())
        };
        match *self {
            Self::Flip { place, bit } => {
                let at = at(place);
                bytes.iter_mut().skip(at).take(1).for_each(|byte| {
                    *byte ^= 1 << bit;
                });
            }
            Self::Set { place, byte } => {
                let at = at(place);
                bytes
                    .iter_mut()
                    .skip(at)
                    .take(1)
                    .for_each(|old| *old = byte);
            }
            Self::Insert { place, snippet } => {
                let span = span(place, 0);
                bytes.splice(span, SNIPPETS[snippet % SNIPPETS.len()].iter().copied());
            }
            Self::Delete { place, count } => {
                let span = span(place, count);
                bytes.drain(span);
            }
            Self::Repeat { place, count } => {
                let span = span(place, count);
                let copy = bytes[span.clone()].to_vec();
                bytes.splice(span.end..span.end, copy);
            }
            Self::Truncate { place } => {
                let at = at(place);
                bytes.truncate(at);
            }
        }
    }
}

/// Mutations of one input: at least one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InputMutation(Vec<ByteMutation>);

impl Arbitrary for InputMutation {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = usize::from(u8::arbitrary(g)) % MAX_MUTATIONS + 1;
        Self((0..count).map(|_| ByteMutation::arbitrary(g)).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let mutations = self.0.clone();
        let fewer = (0..mutations.len()).filter(move |_| mutations.len() > 1);
        let mutations = self.0.clone();
        Box::new(fewer.map(move |left_out| {
            let mut rest = mutations.clone();
            rest.remove(left_out);
            Self(rest)
        }))
    }
}

impl InputMutation {
    /// The input with all mutations made.
    #[must_use]
    pub fn apply(&self, input: &[u8]) -> Vec<u8> {
        let mut bytes = input.to_vec();
        for mutation in &self.0 {
            mutation.apply(&mut bytes);
        }
        bytes
    }
}

/// Checks a property on inputs from a fixed seed: `runs` of them, or as many as
/// [`RUNS_VARIABLE`] says.
///
/// # Panics
///
/// When the property fails; the message shows the failing input.
pub fn fuzz(seed: u64, runs: u64, property: impl Testable) {
    let asked = env::var(RUNS_VARIABLE).ok();
    let runs = asked.and_then(|text| text.parse().ok()).unwrap_or(runs);
    let source = Gen::from_size_and_seed(GEN_SIZE, seed);
    let mut check = QuickCheck::new().rng(source).tests(runs).max_tests(runs);
    check.quickcheck(property);
}
