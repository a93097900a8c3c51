//! Log lines on standard output, bounded in rate and memory and never blocking the daemon.

use savorywood_core::{LogLevel, LogLine};
use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

/// Sustained rate of log lines per second.
const LINES_PER_SECOND: f64 = 400.0;
/// Number of log lines that may be written in a burst.
const LINE_BURST: f64 = 1_200.0;
/// Fraction of the burst that is reserved for warnings, refusals and changes of state.
const FAILURE_RESERVE_FRACTION: f64 = 0.4;
/// Maximum size in bytes of the lines that are buffered while standard output is blocked.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Maximum number of batches that are queued while standard output is blocked.
const MAX_BATCHES: usize = 4;

/// Numbers of log lines that were dropped, by cause.
#[derive(Debug, Default)]
pub struct OmittedLines {
    /// The rate limit was exceeded.
    pub over_budget: AtomicU64,
    /// The buffer was full because standard output is not read.
    pub buffer_full: AtomicU64,
}

#[derive(Debug)]
struct LineBuffer {
    bytes: Vec<u8>,
    budget: f64,
    filled_at: Instant,
}

/// Buffer and writer thread for log lines.
///
/// Lines are collected in memory and written by a separate thread, so that a full pipe on standard
/// output blocks only that thread. Lines that do not fit are dropped and counted.
#[derive(Debug, Clone)]
pub struct LogQueue {
    buffer: Arc<Mutex<LineBuffer>>,
    omitted: Arc<OmittedLines>,
    reported: Arc<AtomicU64>,
    batches: SyncSender<Vec<u8>>,
}

struct QueueWriter(LogQueue);

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.push(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogQueue {
    /// Starts the writer thread and installs the global logger.
    pub fn start(level: log::LevelFilter) -> Self {
        let (batches, receiver) = sync_channel::<Vec<u8>>(MAX_BATCHES);
        thread::spawn(move || {
            while let Ok(batch) = receiver.recv() {
                // A closed standard output must not end the daemon; it continues without a log.
                let _ = io::stdout().write_all(&batch);
                let _ = io::stdout().flush();
            }
        });
        let buffer = LineBuffer {
            bytes: Vec::new(),
            budget: LINE_BURST,
            filled_at: Instant::now(),
        };
        let queue = Self {
            buffer: Arc::new(Mutex::new(buffer)),
            omitted: Arc::default(),
            reported: Arc::default(),
            batches,
        };
        let writer = Box::new(QueueWriter(queue.clone()));
        let started = env_logger::Builder::new()
            .filter_level(level)
            .format(|out, record| {
                let level = record.level().as_str().to_ascii_lowercase();
                let at = out.timestamp_millis();
                writeln!(out, "at={at} level={level} {}", record.args())
            })
            .target(env_logger::Target::Pipe(writer))
            .try_init();
        debug_assert!(started.is_ok());
        queue
    }

    /// Returns the numbers of dropped lines.
    pub fn omitted(&self) -> &OmittedLines {
        &self.omitted
    }

    /// Writes a line of the gateway unless the rate limit is exceeded. Lines about successes are
    /// dropped first.
    pub fn write_line(&self, line: &LogLine) {
        let level = match line.level {
            LogLevel::Error => log::Level::Error,
            LogLevel::Warn => log::Level::Warn,
            LogLevel::Info => log::Level::Info,
            LogLevel::Debug => log::Level::Debug,
        };
        if !log::log_enabled!(level) {
            return;
        }
        if !self.spend(is_failure(line)) {
            self.omitted.over_budget.fetch_add(1, Ordering::Relaxed);
            return;
        }
        log::log!(level, "{line}");
    }

    fn spend(&self, failure: bool) -> bool {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed = buffer.filled_at.elapsed();
        buffer.filled_at += elapsed;
        let filled = buffer.budget + elapsed.as_secs_f64() * LINES_PER_SECOND;
        buffer.budget = filled.min(LINE_BURST);
        let floor = if failure {
            0.0
        } else {
            LINE_BURST * FAILURE_RESERVE_FRACTION
        };
        if buffer.budget - 1.0 < floor {
            return false;
        }
        buffer.budget -= 1.0;
        true
    }

    fn push(&self, bytes: &[u8]) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + bytes.len() > MAX_BUFFERED_BYTES {
            self.omitted.buffer_full.fetch_add(1, Ordering::Relaxed);
            return;
        }
        buffer.bytes.extend_from_slice(bytes);
    }

    /// Logs how many lines were dropped since the last call, then passes the collected lines to the
    /// writer thread.
    pub fn flush(&self) {
        let over_budget = self.omitted.over_budget.load(Ordering::Relaxed);
        let unread = self.omitted.buffer_full.load(Ordering::Relaxed);
        let reported = self.reported.swap(over_budget + unread, Ordering::Relaxed);
        if over_budget + unread > reported {
            log::warn!("event=log-omitted over_budget={over_budget} unread={unread}");
        }
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.is_empty() {
            return;
        }
        let batch = std::mem::take(&mut buffer.bytes);
        match self.batches.try_send(batch) {
            Ok(()) | Err(TrySendError::Disconnected(_)) => {}
            Err(TrySendError::Full(batch)) => buffer.bytes = batch,
        }
    }

    /// Flushes and gives the writer thread 5 ms to finish.
    pub fn finish(&self) {
        self.flush();
        thread::sleep(Duration::from_millis(5));
    }
}

fn is_failure(line: &LogLine) -> bool {
    if line.level != LogLevel::Info {
        return true;
    }
    match line.event {
        "request-admitted" | "request-dispatched" => false,
        "request-ended" => line
            .fields
            .iter()
            .all(|field| field.key != "end" || field.value != "served"),
        _ => true,
    }
}

#[cfg(test)]
mod tests;
