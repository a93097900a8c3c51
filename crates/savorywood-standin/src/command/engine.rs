//! `savorywood-standin engine`: a model engine.

use super::runtime;
use crate::engine::{BatchSettings, EngineFaults, EngineOptions, EngineServer};
use bpaf::{Bpaf, Parser};
use std::{fmt::Display, io, net::SocketAddr, str::FromStr, time::Duration};

/// Shown under the options of this verb.
const EXAMPLES: &str = r#"Examples:
 savorywood-standin engine --listen 127.0.0.1:9001 --model-version v1
 savorywood-standin engine --slots 4 --decode 20 --ignore-fencing
 curl -X PUT -d '{"heat_per_mille":2500}' 127.0.0.1:9001/standin/faults"#;

/// Stands in for a model engine: OpenAI-compatible completions by continuous batching.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("engine"), generate(engine_command), footer(EXAMPLES))]
pub(super) struct EngineCommand {
    /// Address to listen on; port 0 takes a free one
    #[bpaf(argument("ADDRESS"), fallback(runtime::free_port()), display_fallback)]
    listen: SocketAddr,
    /// Version that it runs
    #[bpaf(argument("NAME"), fallback("v1".to_owned()), display_fallback)]
    model_version: String,
    #[bpaf(external(batch_settings))]
    batch: BatchSettings,
    /// Take orders with an old fencing number too
    ignore_fencing: bool,
    /// How long a stream is kept after its end, in milliseconds
    #[bpaf(argument("MS"), fallback(60_000), display_fallback)]
    keep_streams: u64,
    /// How long a version takes to load, in milliseconds
    #[bpaf(argument("MS"), fallback(500), display_fallback)]
    load_time: u64,
    /// Where weights are fetched that an order names
    #[bpaf(argument("ADDRESS"))]
    weight_store: Option<SocketAddr>,
    /// Seed of random faults
    #[bpaf(argument("NUMBER"), fallback(0), display_fallback)]
    seed: u64,
    #[bpaf(external(runtime::fault_text))]
    faults: Option<String>,
}

fn batch_settings() -> impl Parser<BatchSettings> {
    let preset = BatchSettings::default();
    let slots = number("slots", "Requests in the batch at most", preset.slots);
    let kv_tokens = number("kv-tokens", "Tokens in the batch at most", preset.kv_tokens);
    let help = "Blocks of 64 tokens in the prefix cache at most";
    let cache_blocks = number("cache-blocks", help, preset.cache_blocks);
    let help = "Prompt tokens prefilled in a second";
    let prefill_per_second = number("prefill", help, preset.prefill_per_second);
    let help = "Prompt tokens prefilled in one iteration at most";
    let prefill_chunk = number("prefill-chunk", help, preset.prefill_chunk);
    let help = "Tokens that a request alone in the batch gets in a second";
    let decode_per_second = number("decode", help, preset.decode_per_second);
    let help = "Slowdown of an iteration by each further request, in thousandths";
    let batch_cost_per_mille = number("batch-cost", help, preset.batch_cost_per_mille);
    bpaf::construct!(BatchSettings {
        slots,
        kv_tokens,
        cache_blocks,
        prefill_per_second,
        prefill_chunk,
        decode_per_second,
        batch_cost_per_mille
    })
}

fn number<T>(name: &'static str, help: &'static str, preset: T) -> impl Parser<T>
where
    T: Clone + Display + FromStr + 'static,
    T::Err: Display,
{
    let argument = bpaf::long(name).help(help).argument::<T>("NUMBER");
    argument.fallback(preset).display_fallback()
}

impl EngineCommand {
    /// Serves until the process is ended.
    pub(super) fn run(self) -> io::Result<()> {
        let faults: EngineFaults = runtime::parse_faults(self.faults.as_deref())?;
        let options = EngineOptions::new()
            .address(self.listen)
            .version(self.model_version)
            .batch(self.batch)
            .faults(faults)
            .checks_fencing(!self.ignore_fencing)
            .keep_streams(Duration::from_millis(self.keep_streams))
            .load_time(Duration::from_millis(self.load_time))
            .weight_store(self.weight_store)
            .seed(self.seed);
        runtime::serve(|executor| async move {
            let server = EngineServer::start(&executor, options).await?;
            runtime::announce("engine", server.address())?;
            Ok(server)
        })
    }
}
