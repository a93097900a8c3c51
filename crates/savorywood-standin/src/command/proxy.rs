//! `savorywood-standin proxy`: breaks connections and loses datagrams on purpose.

use super::runtime;
use crate::proxy::{FaultProxy, ProxyLink, ProxyOptions};
use bpaf::Bpaf;
use std::{io, net::SocketAddr};

/// Shown under the options of this verb.
const EXAMPLES: &str = r#"Examples:
 savorywood-standin proxy --control 127.0.0.1:9300 --tcp 127.0.0.1:9301 --tcp-target 127.0.0.1:9001
 savorywood-standin proxy --udp-target 127.0.0.1:7000 --faults '{"drop_per_mille":100}'
 curl -X PUT -d '{"mode":"half-open"}' 127.0.0.1:9300/standin/faults"#;

/// Leads TCP connections and datagrams to a target and breaks them on purpose.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("proxy"), generate(proxy_command), footer(EXAMPLES))]
pub(super) struct ProxyCommand {
    /// Address on which it is steered; port 0 takes a free one
    #[bpaf(argument("ADDRESS"), fallback(runtime::free_port()), display_fallback)]
    control: SocketAddr,
    /// Address to listen on for TCP; port 0 takes a free one
    #[bpaf(argument("ADDRESS"), fallback(runtime::free_port()), display_fallback)]
    tcp: SocketAddr,
    /// Where TCP connections lead
    #[bpaf(argument("ADDRESS"))]
    tcp_target: Option<SocketAddr>,
    /// Address to listen on for datagrams; port 0 takes a free one
    #[bpaf(argument("ADDRESS"), fallback(runtime::free_port()), display_fallback)]
    udp: SocketAddr,
    /// Where datagrams lead
    #[bpaf(argument("ADDRESS"))]
    udp_target: Option<SocketAddr>,
    /// Seed of random faults
    #[bpaf(argument("NUMBER"), fallback(0), display_fallback)]
    seed: u64,
    #[bpaf(external(runtime::fault_text))]
    faults: Option<String>,
}

impl ProxyCommand {
    /// Serves until the process is ended.
    pub(super) fn run(self) -> io::Result<()> {
        let link =
            |listen, target: Option<SocketAddr>| target.map(|target| ProxyLink { listen, target });
        let options = ProxyOptions::new()
            .control(self.control)
            .tcp(link(self.tcp, self.tcp_target))
            .udp(link(self.udp, self.udp_target))
            .faults(runtime::parse_faults(self.faults.as_deref())?)
            .seed(self.seed);
        runtime::serve(|executor| async move {
            let proxy = FaultProxy::start(&executor, options).await?;
            runtime::announce("control", proxy.control_address())?;
            if let Some(address) = proxy.tcp_address() {
                runtime::announce("tcp", address)?;
            }
            if let Some(address) = proxy.udp_address() {
                runtime::announce("udp", address)?;
            }
            Ok(proxy)
        })
    }
}
