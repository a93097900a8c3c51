//! Sound files with random mistakes: never a panic, and every fault points into the file.

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use savorywood_settings::{DaemonSettings, FaultReport, ResourceFile, SourceText};
use std::path::Path;

const SETTINGS: &str = include_str!("../../../examples/ionoveld/settings.json");
const RESOURCES: &str = include_str!("../../../examples/fil-presse/resources.json");

/// Texts that change the meaning of JSON wherever they are put.
const SNIPPETS: [&str; 16] = [
    "{",
    "}",
    "[",
    "]",
    ",",
    ":",
    "\"",
    "\\",
    "//",
    "/*",
    "null",
    "-1e999",
    "\"é\u{1F327}\"",
    "0x1F",
    "\n",
    "\"kind\": \"move\",",
];

/// One mistake; places are taken modulo the length of the text.
#[derive(Debug, Clone)]
enum Mistake {
    Insert { place: usize, snippet: usize },
    Delete { place: usize, count: usize },
    Repeat { place: usize, count: usize },
    Replace { place: usize, character: char },
}

impl Arbitrary for Mistake {
    fn arbitrary(g: &mut Gen) -> Self {
        let place = usize::arbitrary(g);
        let count = usize::from(u8::arbitrary(g) % 40);
        match u8::arbitrary(g) % 4 {
            0 => Self::Insert {
                place,
                snippet: usize::arbitrary(g),
            },
            1 => Self::Delete { place, count },
            2 => Self::Repeat { place, count },
            _ => Self::Replace {
                place,
                character: char::arbitrary(g),
            },
        }
    }
}

/// Mistakes made in one file at most. More of them break the syntax almost always, and hide what
/// is told of values.
const MAX_MISTAKES: usize = 3;

fn make(mistakes: &[Mistake], text: &str) -> String {
    let mut characters: Vec<char> = text.chars().collect();
    for mistake in mistakes.iter().take(MAX_MISTAKES) {
        let length = characters.len().max(1);
        match mistake {
            Mistake::Insert { place, snippet } => {
                let at = (place % length).min(characters.len());
                let snippet = SNIPPETS[snippet % SNIPPETS.len()];
                characters.splice(at..at, snippet.chars());
            }
            Mistake::Delete { place, count } => {
                let start = (place % length).min(characters.len());
                let end = (start + count).min(characters.len());
                characters.drain(start..end);
            }
            Mistake::Repeat { place, count } => {
                let start = (place % length).min(characters.len());
                let end = (start + count).min(characters.len());
                let copy = characters[start..end].to_vec();
                characters.splice(end..end, copy);
            }
            Mistake::Replace { place, character } => {
                let at = place % length;
                if let Some(found) = characters.get_mut(at) {
                    *found = *character;
                }
            }
        }
    }
    characters.into_iter().collect()
}

/// Checks that every fault has a place in the text and says what to do.
fn well_told(text: &str, report: &FaultReport) -> TestResult {
    let lines: Vec<_> = text.split('\n').collect();
    if report.faults().is_empty() {
        return TestResult::error("refused without a fault");
    }
    for fault in report.faults() {
        let Some(line) = lines.get(fault.position.line - 1) else {
            return TestResult::error(format!("no such line: {fault:?}"));
        };
        let column = fault.position.column;
        if column == 0 || column > line.chars().count() + 1 {
            return TestResult::error(format!("no such column: {fault:?}"));
        }
        let excerpt = fault.excerpt.clone().unwrap_or_default();
        let shown = format!("{}{}", excerpt.before, excerpt.marked);
        if !line.contains(&shown) {
            return TestResult::error(format!("another line's excerpt: {fault:?}"));
        }
        if fault.message.is_empty() || fault.remedy.is_empty() {
            return TestResult::error(format!("no message or remedy: {fault:?}"));
        }
    }
    // Rendering counts columns and could overflow.
    let rendered = report.to_string();
    let stray = rendered.chars().any(|c| c.is_control() && c != '\n');
    TestResult::from_bool(!stray && rendered.matches("error: ").count() >= report.faults().len())
}

fn settings_with(mistakes: Vec<Mistake>) -> TestResult {
    let text = make(&mistakes, SETTINGS);
    let source = SourceText::new("settings.json", text.as_str());
    match DaemonSettings::parse(&source, Path::new("")) {
        Ok(_) => TestResult::passed(),
        Err(report) => well_told(&text, &report),
    }
}

fn resources_with(mistakes: Vec<Mistake>) -> TestResult {
    let text = make(&mistakes, RESOURCES);
    let source = SourceText::new("resources.json", text.as_str());
    match ResourceFile::parse(source) {
        Ok(_) => TestResult::passed(),
        Err(report) => well_told(&text, &report),
    }
}

/// Operators write files by hand. A mistake must never end the process without a word, nor point
/// at a line that isn't there.
#[test]
fn mistakes_in_settings_are_told() {
    let mut check = QuickCheck::new().tests(2_000).max_tests(2_000);
    check.quickcheck(settings_with as fn(Vec<Mistake>) -> TestResult);
}

/// The same for resource files, whose documents are read one by one.
#[test]
fn mistakes_in_resources_are_told() {
    let mut check = QuickCheck::new().tests(1_000).max_tests(1_000);
    check.quickcheck(resources_with as fn(Vec<Mistake>) -> TestResult);
}
