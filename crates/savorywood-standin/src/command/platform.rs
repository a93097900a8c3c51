//! `savorywood-standin platform`: table service, object store, host list and weight store.

use super::runtime;
use crate::platform::{PlatformOptions, PlatformServer};
use bpaf::Bpaf;
use std::{io, net::SocketAddr};

/// Shown under the options of this verb.
const EXAMPLES: &str = r#"Examples:
 savorywood-standin platform --listen 127.0.0.1:9200
 curl -X PUT -d '{"outage":"refuse"}' 127.0.0.1:9200/standin/faults
 curl 127.0.0.1:9200/v1/hosts"#;

/// Stands in for the platform: table service, object store, host list and weight store.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("platform"), generate(platform_command), footer(EXAMPLES))]
pub(super) struct PlatformCommand {
    /// Address to listen on; port 0 takes a free one
    #[bpaf(argument("ADDRESS"), fallback(runtime::free_port()), display_fallback)]
    listen: SocketAddr,
    #[bpaf(external(runtime::fault_text))]
    faults: Option<String>,
}

impl PlatformCommand {
    /// Serves until the process is ended.
    pub(super) fn run(self) -> io::Result<()> {
        let options = PlatformOptions {
            address: self.listen,
            faults: runtime::parse_faults(self.faults.as_deref())?,
        };
        runtime::serve(|executor| async move {
            let server = PlatformServer::start(&executor, options).await?;
            runtime::announce("platform", server.address())?;
            Ok(server)
        })
    }
}
