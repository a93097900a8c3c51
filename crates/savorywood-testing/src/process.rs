//! Child processes that end with their test.

use crate::{
    binary::{BinaryName, binary_path},
    wait,
};
use std::{
    ffi::OsStr,
    fs,
    io::{BufRead, BufReader, Read},
    net::SocketAddr,
    process::{Child, Command, ExitStatus, Stdio},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// A stand-in announces its addresses within this time.
const READY_TIME: Duration = Duration::from_secs(10);

/// A frozen process has no running thread after this time.
const STOP_TIME: Duration = Duration::from_secs(1);

/// Pause between two looks at the threads of a process that is being frozen.
const STOP_LOOK_PERIOD: Duration = Duration::from_millis(1);

/// States of threads that run or wait, in the system's process table.
const RUNNING: [char; 3] = ['R', 'S', 'D'];

/// A signal, by the name that `kill` knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Ends at once; nothing can be done about it.
    Kill,
    /// Asks for a planned stop.
    Terminate,
    /// Says that settings have changed.
    Hangup,
    /// Freezes.
    Stop,
    /// Ends a freeze.
    Continue,
}

impl ProcessSignal {
    fn name(self) -> &'static str {
        match self {
            Self::Kill => "-KILL",
            Self::Terminate => "-TERM",
            Self::Hangup => "-HUP",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
        }
    }
}

/// Lines that a process wrote, collected as they come.
type LineBuffer = Arc<Mutex<Vec<String>>>;

/// A child process. Dropping it kills it; when the test failed, its output is shown.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
    output: LineBuffer,
    errors: LineBuffer,
}

impl ChildProcess {
    /// Starts a binary of this workspace.
    ///
    /// # Panics
    ///
    /// When it can't be started.
    pub fn start<A: AsRef<OsStr>>(binary: BinaryName, arguments: &[A]) -> Self {
        let mut command = Command::new(binary_path(binary));
        command.args(arguments).env_remove("RUST_LOG");
        Self::from_command(binary.as_str(), command)
    }

    /// Starts a prepared command.
    ///
    /// # Panics
    ///
    /// When it can't be started.
    pub fn from_command(name: &str, mut command: Command) -> Self {
        command.stdin(Stdio::null());
        command.stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the binary can be started");
        let output = collect(child.stdout.take());
        let errors = collect(child.stderr.take());
        Self {
            name: name.to_owned(),
            child,
            output,
            errors,
        }
    }

    /// Process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for a line `ready NAME=ADDRESS` on the standard output and gives the address.
    ///
    /// # Panics
    ///
    /// When it does not come in time.
    #[must_use]
    pub fn ready_address(&self, name: &str) -> SocketAddr {
        let prefix = format!("ready {name}=");
        let what = format!("`{prefix}` from {}", self.name);
        wait::wait_for(&what, READY_TIME, || {
            let lines = self.output.lock().unwrap_or_else(PoisonError::into_inner);
            let mut addresses = lines.iter().filter_map(|line| line.strip_prefix(&prefix));
            addresses.next().and_then(|address| address.parse().ok())
        })
    }

    /// State of the process as the system reports it, such as `R (running)`; `None` once it has
    /// been waited for.
    #[must_use]
    pub fn run_state(&self) -> Option<String> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let mut states = status
            .lines()
            .filter_map(|line| line.strip_prefix("State:"));
        states.next().map(|state| state.trim().to_owned())
    }

    /// What it wrote to its standard error so far.
    #[must_use]
    pub fn errors(&self) -> String {
        joined(&self.errors)
    }

    /// What it wrote to its standard output so far.
    #[must_use]
    pub fn output(&self) -> String {
        joined(&self.output)
    }

    /// Sends a signal to this process and no other. Returns from a freeze once no thread runs: the
    /// system stops them one after the other, and one that still runs may answer a call.
    ///
    /// # Panics
    ///
    /// When the signal can't be sent.
    pub fn signal(&self, signal: ProcessSignal) {
        let id = self.id().to_string();
        let status = Command::new("kill").args([signal.name(), &id]).status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "no signal to {id}"
        );
        if signal == ProcessSignal::Stop {
            self.wait_until_stopped();
        }
    }

    /// Waits until no thread runs. Another thread may end the freeze meanwhile, so the wait is bounded.
    fn wait_until_stopped(&self) {
        let begin = Instant::now();
        let runs = |state: &char| RUNNING.contains(state);
        while begin.elapsed() < STOP_TIME && self.thread_states().iter().any(runs) {
            thread::sleep(STOP_LOOK_PERIOD);
        }
    }

    /// States of its threads, by the letters of the system's process table; none once it is gone.
    #[must_use]
    pub fn thread_states(&self) -> Vec<char> {
        let folder = format!("/proc/{}/task", self.id());
        let tasks = fs::read_dir(folder).into_iter().flatten();
        let states = tasks.flatten().filter_map(|task| {
            let text = fs::read_to_string(task.path().join("stat")).ok()?;
            // The name of the thread, in brackets, may hold anything.
            let (_, fields) = text.rsplit_once(") ")?;
            fields.chars().next()
        });
        states.collect()
    }

    /// Its end, if it has come.
    ///
    /// # Panics
    ///
    /// When the system can't tell.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("a child can be waited for")
    }

    /// Waits for its end.
    ///
    /// # Panics
    ///
    /// When it does not end in time.
    pub fn wait_for_end(&mut self, limit: Duration) -> ExitStatus {
        let what = format!("the end of {}", self.name);
        wait::wait_for(&what, limit, || self.ended())
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // SIGKILL also ends a process that a test has frozen.
        self.child.kill().ok();
        self.child.wait().ok();
        if thread::panicking() {
            eprintln!("--- {} wrote:\n{}", self.name, joined(&self.errors));
            eprintln!("--- and as output:\n{}", joined(&self.output));
        }
    }
}

/// Reads on in a thread: a process whose pipe is full would stand still.
fn collect(source: Option<impl Read + Send + 'static>) -> LineBuffer {
    let buffer = LineBuffer::default();
    let lines = Arc::clone(&buffer);
    if let Some(source) = source {
        thread::spawn(move || {
            for line in BufReader::new(source).lines().map_while(Result::ok) {
                lines
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(line);
            }
        });
    }
    buffer
}

fn joined(buffer: &LineBuffer) -> String {
    let lines = buffer.lock().unwrap_or_else(PoisonError::into_inner);
    lines.join("\n")
}
