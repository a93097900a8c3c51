//! One request's way, put together from the logs of several daemons.

use std::{collections::BTreeSet, fmt::Write};

/// Keys that every line of a request carries and that say nothing of the step.
const COMMON_KEYS: [&str; 4] = ["at", "level", "event", "request"];

/// One line of a log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TraceLine {
    /// Where it comes from: the file, and what stands before the line's own pairs.
    pub origin: String,
    /// When it was written.
    pub at: String,
    /// Name of the event.
    pub event: String,
    /// Further pairs in order.
    pub pairs: Vec<TracePair>,
}

/// One key=value pair.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TracePair {
    /// Key.
    pub key: String,
    /// Value without quotes.
    pub value: String,
}

impl TraceLine {
    /// Reads a line; `None` when it is no line of a daemon.
    #[must_use]
    pub fn parse(source: &str, line: &str) -> Option<Self> {
        let start = line.find("at=").or_else(|| line.find("event="))?;
        let pairs = read_pairs(&line[start..]);
        let value = |key: &str| {
            let found = pairs.iter().find(|pair| pair.key == key);
            found.map(|pair| pair.value.clone())
        };
        let event = value("event")?;
        let before = line[..start].trim();
        Some(Self {
            origin: format!("{source} {before}").trim().to_owned(),
            at: value("at").unwrap_or_default(),
            event,
            pairs,
        })
    }

    /// Value of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&str> {
        let found = self.pairs.iter().find(|pair| pair.key == key);
        found.map(|pair| pair.value.as_str())
    }

    fn describe(&self, text: &mut String) {
        let at = if self.at.is_empty() { "-" } else { &self.at };
        let rest = self
            .pairs
            .iter()
            .filter(|pair| !COMMON_KEYS.contains(&pair.key.as_str()));
        let rest: Vec<String> = rest
            .map(|pair| format!("{}={}", pair.key, pair.value))
            .collect();
        let written = writeln!(
            text,
            "{at}  {}  {}  [{}]",
            self.event,
            rest.join(" "),
            self.origin
        );
        debug_assert!(written.is_ok());
    }
}

fn read_pairs(text: &str) -> Vec<TracePair> {
    let mut pairs = Vec::new();
    let mut rest = text.trim();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => read_quoted(quoted),
            None => after
                .split_once(' ')
                .map_or((after.to_owned(), ""), |(value, next)| {
                    (value.to_owned(), next)
                }),
        };
        pairs.push(TracePair {
            key: key.trim().to_owned(),
            value,
        });
        rest = next.trim_start();
    }
    pairs
}

fn read_quoted(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((index, char)) = chars.next() {
        match char {
            '\\' => value.extend(chars.next().map(|(_, escaped)| escaped)),
            '"' => return (value, &text[index + 1..]),
            other => value.push(other),
        }
    }
    (value, "")
}

/// Tells a request's way in order of time, what decided each step, and what is missing.
#[must_use]
pub fn explain(request: &str, lines: &[TraceLine]) -> String {
    let mut own: Vec<&TraceLine> = lines
        .iter()
        .filter(|line| line.get("request") == Some(request))
        .collect();
    own.sort_by(|a, b| a.at.cmp(&b.at));
    let mut text = String::new();
    if own.is_empty() {
        text.push_str("no line names this request: it never reached these daemons, was no whole ");
        text.push_str("request, or its lines were left out\n");
    }
    for line in &own {
        line.describe(&mut text);
    }
    tell_around(&own, lines, &mut text);
    tell_missing(&own, lines, &mut text);
    text
}

/// What the daemons believed of the upstreams that had the request, and of themselves.
fn tell_around(own: &[&TraceLine], lines: &[TraceLine], text: &mut String) {
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return;
    };
    let upstreams: BTreeSet<&str> = own.iter().filter_map(|line| line.get("upstream")).collect();
    let origins: BTreeSet<&str> = own.iter().map(|line| line.origin.as_str()).collect();
    let mut around: Vec<&TraceLine> = lines
        .iter()
        .filter(|line| line.get("request").is_none() && line.at <= last.at)
        .filter(|line| {
            let of_upstream = line
                .get("upstream")
                .is_some_and(|name| upstreams.contains(name));
            let here = origins.contains(line.origin.as_str());
            let of_daemon = matches!(
                line.event.as_str(),
                "readiness"
                    | "config-in-force"
                    | "store-lost"
                    | "store-regained"
                    | "stop-requested"
            );
            of_upstream || (here && of_daemon)
        })
        .collect();
    around.sort_by(|a, b| a.at.cmp(&b.at));
    if around.is_empty() {
        return;
    }
    let written = writeln!(
        text,
        "\nwhat was believed up to then (first line at {}):",
        first.at
    );
    debug_assert!(written.is_ok());
    for line in around {
        line.describe(text);
    }
}

fn tell_missing(own: &[&TraceLine], lines: &[TraceLine], text: &mut String) {
    let has = |event: &str| own.iter().any(|line| line.event == event);
    if !own.is_empty() && !has("request-ended") && !has("request-refused") {
        text.push_str(
            "\nno line tells its end: the daemon ended before it, or the line was left out\n",
        );
    }
    let omitted: Vec<&TraceLine> = lines
        .iter()
        .filter(|line| line.event == "log-omitted")
        .collect();
    for line in omitted {
        text.push_str("lines were left out: ");
        line.describe(text);
    }
}
