//! `savorywood explain`: one request's way through the logs of several daemons.

use crate::{
    error::CommandError,
    trace::{TraceLine, explain},
};
use bpaf::Bpaf;
use std::{
    fs,
    io::{Read, stdin},
    path::{Path, PathBuf},
};

/// Options of `explain`.
#[derive(Debug, Clone, Bpaf)]
pub struct ExplainOptions {
    /// Identity of the request, as its caller sent it
    #[bpaf(positional("REQUEST-ID"))]
    pub request: String,
    /// Log files; standard input if none is named
    #[bpaf(
        positional("FILE"),
        complete_shell(bpaf::ShellComp::File { mask: None })
    )]
    pub files: Vec<PathBuf>,
}

/// Prints the request's way.
///
/// # Errors
///
/// When a log can't be read.
pub fn run(options: &ExplainOptions) -> Result<(), CommandError> {
    let mut lines = Vec::new();
    if options.files.is_empty() {
        let mut bytes = Vec::new();
        let read = stdin().read_to_end(&mut bytes);
        read.map_err(|error| unreadable("standard input", &error))?;
        collect("", &bytes, &mut lines);
    }
    for path in &options.files {
        let name = path.display().to_string();
        let bytes = fs::read(path).map_err(|error| unreadable(&name, &error))?;
        collect(&short_name(path), &bytes, &mut lines);
    }
    super::print("explaining a request", &explain(&options.request, &lines))
}

fn collect(source: &str, bytes: &[u8], lines: &mut Vec<TraceLine>) {
    // A log may be cut off within a character: what can be read is read.
    let text = String::from_utf8_lossy(bytes);
    lines.extend(
        text.lines()
            .filter_map(|line| TraceLine::parse(source, line)),
    );
}

fn short_name(path: &Path) -> String {
    let name = path.file_name().unwrap_or(path.as_os_str());
    name.to_string_lossy().into_owned()
}

fn unreadable(name: &str, error: &std::io::Error) -> CommandError {
    CommandError::Failed {
        step: format!("reading {name}"),
        reason: error.to_string(),
        remedy: "name files that hold logs of daemons".to_owned(),
    }
}
