//! Paths of this workspace's binaries.

use std::{
    env,
    path::{Path, PathBuf},
    process::Command,
    sync::OnceLock,
};

/// Directory with built binaries; when set, nothing is built.
const DIRECTORY_VARIABLE: &str = "SAVORYWOOD_BIN_DIR";

/// Compiler processes at once.
const BUILD_JOBS: &str = "3";

/// A binary of this workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BinaryName {
    /// The daemon and its operators' commands.
    Savorywood,
    /// The stand-ins.
    Standin,
}

impl BinaryName {
    /// File name.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Savorywood => "savorywood",
            Self::Standin => "savorywood-standin",
        }
    }
}

/// Path of a binary, built from the sources as they are.
///
/// Cargo builds only the binaries of the package whose tests it runs, so the others could be
/// missing or older than the sources under test. The first call of a process builds them.
///
/// # Panics
///
/// When they can't be built.
#[must_use]
pub fn binary_path(name: BinaryName) -> PathBuf {
    static DIRECTORY: OnceLock<PathBuf> = OnceLock::new();
    DIRECTORY.get_or_init(build).join(name.as_str())
}

fn build() -> PathBuf {
    if let Some(directory) = env::var_os(DIRECTORY_VARIABLE) {
        return PathBuf::from(directory);
    }
    let directory = target_directory();
    let release = directory.ends_with("release");
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.toml");
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(["build", "--workspace", "--bins", "--locked", "--quiet"]);
    command
        .args(["-j", BUILD_JOBS, "--manifest-path"])
        .arg(manifest);
    if release {
        command.arg("--release");
    }
    let status = command.status().expect("cargo can be started");
    assert!(status.success(), "the binaries could not be built");
    directory
}

/// The directory of the profile: tests run from `deps` below it.
fn target_directory() -> PathBuf {
    let mut path = env::current_exe().expect("a test knows its path");
    path.pop();
    if path.ends_with("deps") {
        path.pop();
    }
    path
}
