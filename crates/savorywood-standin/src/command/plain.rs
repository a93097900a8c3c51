//! `savorywood-standin plain`: a plain service.

use super::runtime;
use crate::plain::{PlainOptions, PlainServer};
use bpaf::Bpaf;
use std::{io, net::SocketAddr};

/// Shown under the options of this verb.
const EXAMPLES: &str = r#"Examples:
 savorywood-standin plain --listen 127.0.0.1:9101
 savorywood-standin plain --faults '{"latency_ms":200}'
 curl 127.0.0.1:9101/standin/runs"#;

/// Stands in for a plain service: echoes each call and counts what it ran.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("plain"), generate(plain_command), footer(EXAMPLES))]
pub(super) struct PlainCommand {
    /// Address to listen on; port 0 takes a free one
    #[bpaf(argument("ADDRESS"), fallback(runtime::free_port()), display_fallback)]
    listen: SocketAddr,
    /// Seed of random faults
    #[bpaf(argument("NUMBER"), fallback(0), display_fallback)]
    seed: u64,
    #[bpaf(external(runtime::fault_text))]
    faults: Option<String>,
}

impl PlainCommand {
    /// Serves until the process is ended.
    pub(super) fn run(self) -> io::Result<()> {
        let options = PlainOptions {
            address: self.listen,
            faults: runtime::parse_faults(self.faults.as_deref())?,
            seed: self.seed,
        };
        runtime::serve(|executor| async move {
            let server = PlainServer::start(&executor, options).await?;
            runtime::announce("plain", server.address())?;
            Ok(server)
        })
    }
}
