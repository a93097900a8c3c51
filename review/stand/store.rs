//! Stand-in for the platform's store: rows, conditional transactions and the change feed.

use crate::{
    http::{Connection, Request, listen, sleep_ms},
    json::{Json, decode_base64, encode_base64, quote},
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

type RowName = (String, String);

#[derive(Clone)]
struct Change {
    name: RowName,
    value: Option<Vec<u8>>,
    version: u64,
}

/// A copy of all rows and of the history.
#[derive(Clone)]
pub struct Copy {
    revision: u64,
    rows: BTreeMap<RowName, (Vec<u8>, u64)>,
    changes: Vec<Change>,
}

struct State {
    /// Calls are answered with 503 while the store is away.
    away: bool,
    era: u64,
    revision: u64,
    rows: BTreeMap<RowName, (Vec<u8>, u64)>,
    changes: Vec<Change>,
    began: Instant,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Store {
    pub fn start() -> Self {
        let state = Arc::new(Mutex::new(State {
            away: false,
            era: 1,
            revision: 100,
            rows: BTreeMap::new(),
            changes: Vec::new(),
            began: Instant::now(),
        }));
        let shared = Arc::clone(&state);
        let address = listen(move |connection| serve(&shared, connection));
        Self { address, state }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Writes a row as the operator or a runner does. The return is the acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.lock()
            .write(table, key, Some(value.as_bytes().to_vec()));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.lock().write(table, key, None);
    }

    pub fn has(&self, table: &str, key: &str) -> bool {
        let name = (table.to_owned(), key.to_owned());
        self.lock().rows.contains_key(&name)
    }

    pub fn copy(&self) -> Copy {
        let state = self.lock();
        Copy {
            revision: state.revision,
            rows: state.rows.clone(),
            changes: state.changes.clone(),
        }
    }

    pub fn leave(&self) {
        self.lock().away = true;
    }

    /// Comes back from a copy: what was written since is gone, and its versions are given out again.
    pub fn come_back(&self, copy: &Copy) {
        let mut state = self.lock();
        state.era += 1;
        state.revision = copy.revision;
        state.rows.clone_from(&copy.rows);
        state.changes.clone_from(&copy.changes);
        state.away = false;
    }
}

impl State {
    fn write(&mut self, table: &str, key: &str, value: Option<Vec<u8>>) {
        self.revision += 1;
        let name = (table.to_owned(), key.to_owned());
        match &value {
            Some(bytes) => {
                self.rows
                    .insert(name.clone(), (bytes.clone(), self.revision));
            }
            None => {
                self.rows.remove(&name);
            }
        }
        let version = self.revision;
        self.changes.push(Change {
            name,
            value,
            version,
        });
    }

    fn page(&self, rows: &[String], truncated: bool) -> String {
        format!(
            "{{\"rows\":[{}],\"truncated\":{truncated},\"row_version\":{},\"now_ms\":{}}}",
            rows.join(","),
            self.revision,
            self.began.elapsed().as_millis()
        )
    }

    fn get(&self, table: &str, from: &str, to: Option<&str>, limit: usize) -> String {
        let fits = |(of, key): &RowName| {
            of == table && key.as_str() >= from && to.is_none_or(|to| key.as_str() < to)
        };
        let found: Vec<String> = self
            .rows
            .iter()
            .filter(|(name, _)| fits(name))
            .map(|(name, (value, version))| row_text(name, Some(value), *version))
            .collect();
        let limit = limit.min(500);
        let truncated = found.len() > limit;
        self.page(&found[..found.len().min(limit)], truncated)
    }

    fn feed(&self, table: &str, after: u64) -> Option<String> {
        let changed = self
            .changes
            .iter()
            .filter(|change| change.name.0 == table && change.version > after);
        let rows: Vec<String> = changed
            .map(|change| row_text(&change.name, change.value.as_deref(), change.version))
            .collect();
        (!rows.is_empty()).then(|| self.page(&rows, false))
    }

    fn transact(&mut self, body: &[u8]) -> (u16, String) {
        let text = String::from_utf8_lossy(body);
        let Some(body) = Json::parse(&text) else {
            return (400, "{}".to_owned());
        };
        let entries = |name: &str| body.get(name).map(Json::list).unwrap_or_default().to_vec();
        let name = |row: &Json| -> RowName {
            let part = |key| row.get(key).and_then(Json::text).unwrap_or_default();
            (part("table").to_owned(), part("key").to_owned())
        };
        for row in entries("expected_revision") {
            let version = self.rows.get(&name(&row)).map_or(0, |(_, version)| *version);
            let expected = row.get("row_version").and_then(Json::number);
            if expected != Some(version as f64) {
                return (412, self.page(&[], false));
            }
        }
        let written = entries("puts").into_iter().chain(entries("remove"));
        if written.into_iter().any(|row| matches!(name(&row).0.as_str(), "op" | "servers")) {
            return (403, "{}".to_owned());
        }
        for row in entries("puts") {
            let value = row.get("value").and_then(Json::text).unwrap_or_default();
            let (table, key) = name(&row);
            self.write(&table, &key, Some(decode_base64(value)));
        }
        for row in entries("remove") {
            let (table, key) = name(&row);
            self.write(&table, &key, None);
        }
        (200, self.page(&[], false))
    }
}

fn row_text(name: &RowName, value: Option<&[u8]>, version: u64) -> String {
    let (table, key) = (quote(&name.0), quote(&name.1));
    let content = match value {
        Some(bytes) => format!("\"value\":\"{}\"", encode_base64(bytes)),
        None => "\"tombstone\":true".to_owned(),
    };
    format!("{{\"table\":{table},\"part\":\"\",\"key\":{key},{content},\"row_version\":{version}}}")
}

fn serve(state: &Mutex<State>, mut connection: Connection) {
    while let Some(request) = connection.read_request() {
        let away = state.lock().unwrap().away;
        let (status, body) = if away {
            (503, "{}".to_owned())
        } else {
            respond(state, &request)
        };
        let era = state.lock().unwrap().era;
        let text = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if !connection.write(&text) {
            return;
        }
    }
}

fn respond(state: &Mutex<State>, request: &Request) -> (u16, String) {
    let table = request.parameter("table").unwrap_or_default();
    let number = |name: &str| request.parameter(name).and_then(|text| text.parse::<u64>().ok());
    match request.path() {
        "/v1/rows-get" => {
            let from = request.parameter("from").unwrap_or_default();
            let to = request.parameter("to");
            let limit = number("limit").unwrap_or(500) as usize;
            let state = state.lock().unwrap();
            (200, state.get(&table, &from, to.as_deref(), limit))
        }
        "/v1/rows-tx" => state.lock().unwrap().transact(&request.body),
        "/v1/rows-feed" => {
            let after = number("after_revision").unwrap_or_default();
            let wait = Duration::from_millis(number("wait_ms").unwrap_or_default());
            let began = Instant::now();
            let era = state.lock().unwrap().era;
            loop {
                let state = state.lock().unwrap();
                if state.away || state.era != era {
                    return (503, "{}".to_owned());
                }
                if after > state.revision {
                    return (410, "{}".to_owned());
                }
                if let Some(page) = state.feed(&table, after) {
                    return (200, page);
                }
                if began.elapsed() >= wait {
                    return (200, state.page(&[], false));
                }
                drop(state);
                sleep_ms(4);
            }
        }
        _ => (404, "{}".to_owned()),
    }
}
