//! Output text that follows from the prompt alone, so that a caller can check it byte by byte.

use sha2::{Digest, Sha256};

/// Text of one token: five hexadecimal digits and a space.
#[must_use]
pub fn token_text(prompt: &str, index: u32) -> String {
    TokenWriter::new(prompt).token(index)
}

/// Text of the first `tokens` tokens.
#[must_use]
pub fn output_text(prompt: &str, tokens: u32) -> String {
    let writer = TokenWriter::new(prompt);
    (0..tokens).map(|index| writer.token(index)).collect()
}

/// Makes the tokens of one prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TokenWriter {
    seed: u64,
}

impl TokenWriter {
    pub(crate) fn new(prompt: &str) -> Self {
        let digest = Sha256::digest(prompt.as_bytes());
        let mut first = [0_u8; 8];
        first.copy_from_slice(&digest[..8]);
        Self {
            seed: u64::from_le_bytes(first),
        }
    }

    pub(crate) fn token(self, index: u32) -> String {
        let mixed = mix(self.seed.wrapping_add(u64::from(index)));
        format!("{:05x} ", mixed & 0xf_ffff)
    }
}

/// The finishing step of SplitMix64 (Steele, Lea and Flood, 2014).
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
