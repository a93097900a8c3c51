//! Deserialising that goes on after a fault.
//!
//! Serde stops at the first fault. Here the faulty value is skipped and the rest is tried again,
//! until all that can be told apart has been found.

use crate::{
    fault::MemberFault,
    node::{SourceNode, SpannedFault},
    path::{MemberPath, PathStep},
};
use serde::de::DeserializeOwned;
use std::ops::Range;

/// Faults reported of one document at most; the rest shows after these are mended.
pub const MAX_FAULTS: usize = 100;

/// What became of a value, and what had to be left out of it.
#[derive(Debug)]
pub struct DecodedValue<T> {
    /// The value without its faulty members; `None` when too little is left.
    pub value: Option<T>,
    /// All faults that can be told apart, up to [`MAX_FAULTS`].
    pub faults: Vec<SpannedFault>,
    /// Paths of faulty members, which were left out.
    pub skipped: Vec<MemberPath>,
}

/// Deserialises `node`; `prefix` is put before the paths of faults.
///
/// # Errors
///
/// All faults that can be told apart, up to [`MAX_FAULTS`].
pub fn decode<T: DeserializeOwned>(
    node: &SourceNode,
    prefix: &MemberPath,
) -> Result<T, Vec<SpannedFault>> {
    let decoded = decode_partly(node, prefix);
    match decoded.value {
        Some(value) if decoded.faults.is_empty() => Ok(value),
        _ => Err(decoded.faults),
    }
}

/// Deserialises what is sound of `node`; `prefix` is put before the paths of faults.
pub fn decode_partly<T: DeserializeOwned>(
    node: &SourceNode,
    prefix: &MemberPath,
) -> DecodedValue<T> {
    let mut node = node.clone();
    let mut decoded = DecodedValue {
        value: None,
        faults: Vec::new(),
        skipped: Vec::new(),
    };
    while decoded.faults.len() < MAX_FAULTS {
        let error = match serde_path_to_error::deserialize::<_, T>(node.to_value()) {
            Ok(value) => {
                decoded.value = Some(value);
                break;
            }
            Err(error) => error,
        };
        let text = error.inner().to_string();
        let path = MemberPath::from_serde(error.path());
        let (faulty, fault) = find_fault(&node, &text, path, prefix);
        // A value that was skipped as faulty is missing only because it was skipped.
        if !decoded.skipped.contains(&fault.path) {
            decoded.faults.push(SpannedFault {
                span: fault.span,
                fault: fault.fault,
            });
        }
        if !skip(&mut node, &faulty, &mut decoded.skipped) {
            break;
        }
    }
    decoded
}

/// A fault and the path that it is about, as written in the file.
struct FoundFault {
    path: MemberPath,
    span: Range<usize>,
    fault: MemberFault,
}

/// Works out what serde's error means, and which value has to be skipped to go on.
fn find_fault(
    node: &SourceNode,
    text: &str,
    path: MemberPath,
    prefix: &MemberPath,
) -> (MemberPath, FoundFault) {
    let found = node.find(&path, true);
    if let Some(name) = backticked_after(text, "missing field ") {
        let missing = found.path.join(PathStep::Member(name.to_owned()));
        let start = found.span.start;
        let fault = FoundFault {
            fault: missing_member(&missing.below(prefix)),
            path: missing,
            span: start..start + 1,
        };
        return (path, fault);
    }
    let unknown = backticked_after(text, "unknown field ");
    let (path, found) = match unknown {
        Some(name) if path.last_member() != name => {
            let path = path.join(PathStep::Member(name.to_owned()));
            let found = node.find(&path, true);
            (path, found)
        }
        _ => (path, found),
    };
    let span = match (unknown, found.name_span) {
        (Some(_), Some(name_span)) => name_span,
        _ => found.span,
    };
    let fault = FoundFault {
        fault: explain(text, &found.path.below(prefix)),
        path: found.path,
        span,
    };
    (path, fault)
}

fn skip(node: &mut SourceNode, path: &MemberPath, skipped: &mut Vec<MemberPath>) -> bool {
    let found = node.find(path, true);
    let done = node.skip(path);
    if done {
        skipped.push(found.path);
    }
    done
}

/// The fault of an absent member.
#[must_use]
pub fn missing_member(path: &MemberPath) -> MemberFault {
    let name = path.last_member();
    MemberFault {
        path: path.to_string(),
        message: format!("the member `{name}` is missing"),
        allowed: String::new(),
        remedy: format!("add `\"{name}\": ...`{}", example_of(name)),
    }
}

/// The fault of a member that nothing reads, with the nearest of the names that are read.
#[must_use]
pub fn unknown_member(path: &MemberPath, known: &[&str]) -> MemberFault {
    let name = path.last_member();
    let remedy = match nearest(name, known) {
        Some(known) => format!("rename it to `{known}`"),
        None => "delete it".to_owned(),
    };
    MemberFault {
        path: path.to_string(),
        message: format!("unknown member `{name}`"),
        allowed: known.join(", "),
        remedy,
    }
}

fn explain(text: &str, path: &MemberPath) -> MemberFault {
    if backticked_after(text, "unknown field ").is_some() {
        return unknown_member(path, &backticked(text)[1..]);
    }
    if let Some(variant) = backticked_after(text, "unknown variant ") {
        let known = &backticked(text)[1..];
        let remedy = match nearest(variant, known) {
            Some(known) => format!("write `{known}`"),
            None => "write one of the allowed values".to_owned(),
        };
        return MemberFault {
            path: path.to_string(),
            message: format!("unknown value `{variant}`"),
            allowed: known.join(", "),
            remedy,
        };
    }
    let (message, allowed) = text.split_once(", expected ").unwrap_or((text, ""));
    MemberFault {
        path: path.to_string(),
        message: message.to_owned(),
        allowed: in_plain_words(allowed),
        remedy: format!("correct the value{}", example_of(path.last_member())),
    }
}

/// Says what serde expected without the names of types.
fn in_plain_words(expected: &str) -> String {
    let most = match expected {
        "u8" => u64::from(u8::MAX),
        "u16" => u64::from(u16::MAX),
        "u32" => u64::from(u32::MAX),
        "u64" => u64::MAX,
        "a string" | "path string" => return "a text in quotes".to_owned(),
        "a boolean" => return "true or false".to_owned(),
        "a sequence" => return "an array".to_owned(),
        other if other.starts_with("struct ") => return "an object".to_owned(),
        other => return other.to_owned(),
    };
    format!("a whole number from 0 to {most}")
}

/// An example of what belongs in a member whose form is not plain from its type.
fn example_of(name: &str) -> &'static str {
    if name.starts_with("listen_") || name.starts_with("advertise_") || name.ends_with("address") {
        return "; an IP address and a port, such as \"10.20.1.5:8080\"";
    }
    match name {
        "finish_by" => "; a time in UTC, such as \"2026-07-01T18:00:00Z\"",
        "token_sha256" => "; the token's SHA-256 as 64 hexadecimal digits",
        "host" | "zone" | "region" | "service" | "version" | "from" | "to" | "name" | "tiers" => {
            "; a name of a-z, 0-9, '-', '_' and '.', such as \"zone-a\""
        }
        _ => "",
    }
}

/// The known name that a mistyped one most resembles, if any does.
#[must_use]
pub fn nearest<'a>(name: &str, known: &[&'a str]) -> Option<&'a str> {
    /// Below this likeness (Jaro-Winkler, 0 to 1) a proposal confuses more than it helps.
    const MIN_LIKENESS: f64 = 0.75;
    let scored = known
        .iter()
        .map(|known| (strsim::jaro_winkler(name, known), *known));
    scored
        .filter(|(likeness, _)| *likeness >= MIN_LIKENESS)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, known)| known)
}

fn backticked_after<'a>(text: &'a str, start: &str) -> Option<&'a str> {
    let rest = text.strip_prefix(start)?;
    backticked(rest).first().copied()
}

/// Texts between pairs of backticks.
fn backticked(text: &str) -> Vec<&str> {
    text.split('`').skip(1).step_by(2).collect()
}
