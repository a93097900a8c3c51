//! Secrets that settings name by file.

use snafu::{ResultExt, Snafu};
use std::{
    fmt, fs, io,
    path::{Path, PathBuf},
};

/// Shortest secret that is accepted, in bytes. A shorter one can be guessed.
pub const MIN_SECRET_BYTES: usize = 32;

/// Largest secret file, in bytes. A larger one is most likely the wrong file.
pub const MAX_SECRET_BYTES: u64 = 4_096;

/// Why a secret could not be read. Never holds a byte of it.
#[derive(Debug, Snafu)]
pub enum SecretError {
    /// The file can't be read.
    #[snafu(display("step=read-secret file={}: {source}; check the path and its mode", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The file has too few bytes.
    #[snafu(display(
        "step=read-secret file={}: {bytes} bytes without surrounding blanks, at least \
         {MIN_SECRET_BYTES} are needed; make one with `openssl rand -hex 32`",
        path.display()
    ))]
    TooShort {
        /// The file.
        path: PathBuf,
        /// Its length without surrounding blanks.
        bytes: usize,
    },
    /// The file has too many bytes.
    #[snafu(display(
        "step=read-secret file={}: {bytes} bytes, {MAX_SECRET_BYTES} are allowed; name the \
         right file",
        path.display()
    ))]
    TooLong {
        /// The file.
        path: PathBuf,
        /// Its length.
        bytes: u64,
    },
}

/// Path of a file that holds a secret.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SecretFile(PathBuf);

impl SecretFile {
    /// Names a file without looking at it.
    #[must_use]
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Self(path.into())
    }

    /// The file.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Reads the secret; blanks around it are no part of it.
    ///
    /// # Errors
    ///
    /// When the file can't be read, is too short or too long.
    pub fn load(&self) -> Result<SecretBytes, SecretError> {
        let path = self.0.as_path();
        let bytes = fs::metadata(path).context(UnreadableSnafu { path })?.len();
        if bytes > MAX_SECRET_BYTES {
            return TooLongSnafu { path, bytes }.fail();
        }
        let content = fs::read(path).context(UnreadableSnafu { path })?;
        let secret = content.trim_ascii();
        let bytes = secret.len();
        if bytes < MIN_SECRET_BYTES {
            return TooShortSnafu { path, bytes }.fail();
        }
        Ok(SecretBytes(secret.to_vec()))
    }
}

/// A secret in memory. `Debug` hides it, so that no log line can show it.
#[derive(Clone)]
pub struct SecretBytes(Vec<u8>);

impl SecretBytes {
    /// The secret itself, for the code that computes with it.
    #[must_use]
    pub fn expose(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for SecretBytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SecretBytes(hidden)")
    }
}
