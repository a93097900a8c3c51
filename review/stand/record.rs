//! What was sent, answered and run, in order of time.

use std::{
    fs, io,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Returns the milliseconds since the case began.
    pub fn millis(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn add(&self, line: impl Into<String>) {
        let at = self.began.elapsed().as_micros();
        self.lines.lock().unwrap().push((at, line.into()));
    }

    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{:10.3} s  {line}\n", *at as f64 / 1e6))
            .collect();
        fs::write(path, text)
    }
}
