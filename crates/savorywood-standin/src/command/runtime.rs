//! Runs a stand-in until the process is ended.

use async_executor::Executor;
use bpaf::Parser;
use serde::de::DeserializeOwned;
use std::{
    future::{self, Future},
    io::{self, Write},
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    thread,
};

/// Threads besides the main one.
const WORKERS: usize = 1;

/// Starts a server and serves for ever; the server lives as long as the process.
pub(super) fn serve<S, F>(start: impl FnOnce(Arc<Executor<'static>>) -> F) -> io::Result<()>
where
    F: Future<Output = io::Result<S>>,
{
    let executor = Arc::new(Executor::new());
    for _ in 0..WORKERS {
        let executor = Arc::clone(&executor);
        thread::spawn(move || async_io::block_on(executor.run(future::pending::<()>())));
    }
    let work = async {
        let _server = start(Arc::clone(&executor)).await?;
        future::pending::<io::Result<()>>().await
    };
    async_io::block_on(executor.run(work))
}

/// Tells a parent process where a stand-in listens: one line `ready NAME=ADDRESS` on stdout.
pub(super) fn announce(name: &str, address: SocketAddr) -> io::Result<()> {
    let mut output = io::stdout().lock();
    writeln!(output, "ready {name}={address}")?;
    output.flush()
}

/// Address that every stand-in listens on unless told otherwise.
pub(super) fn free_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// The option `--faults`, which all stand-ins have.
pub(super) fn fault_text() -> impl Parser<Option<String>> {
    let help = "Faults at the start, as the JSON body of PUT /standin/faults";
    bpaf::long("faults").help(help).argument("JSON").optional()
}

/// Reads faults from the command line.
pub(super) fn parse_faults<T: DeserializeOwned + Default>(text: Option<&str>) -> io::Result<T> {
    let Some(text) = text else {
        return Ok(T::default());
    };
    serde_json::from_str(text).map_err(|error| {
        let message = format!("--faults {text} can't be read: {error}");
        io::Error::new(io::ErrorKind::InvalidInput, message)
    })
}
