//! Command line of `savorywood-experiment`.

use crate::{
    compare::{self, CompareOptions},
    slopes,
};
use bpaf::{Parser, construct, long};
use std::process::ExitCode;

#[derive(Debug, Clone)]
enum ExperimentCommand {
    Compare(CompareOptions),
    Slopes,
}

fn compare_options() -> impl Parser<ExperimentCommand> {
    let seed = long("seed")
        .help("Seed of the workload")
        .argument("N")
        .fallback(1);
    let time = long("seconds")
        .help("Simulated seconds of arrivals")
        .argument("SECONDS")
        .fallback(360.0);
    let threads = long("threads")
        .help("Runs at once")
        .argument("N")
        .fallback(4);
    let only = long("policy")
        .help("Only policies whose name holds this; may be repeated")
        .argument("WORD")
        .many();
    let loads = long("load")
        .help("Only steady runs at this share of capacity; may be repeated")
        .argument("SHARE")
        .many();
    let options = construct!(CompareOptions {
        seed,
        time,
        threads,
        only,
        loads
    });
    options.map(ExperimentCommand::Compare)
}

fn command() -> bpaf::OptionParser<ExperimentCommand> {
    let compare = compare_options()
        .to_options()
        .descr("Compare policies under load, heat and a stalled engine")
        .command("compare");
    let slopes = bpaf::pure(ExperimentCommand::Slopes)
        .to_options()
        .descr("Measure processor time and memory against upstreams and teams")
        .command("slopes");
    construct!([compare, slopes])
        .to_options()
        .descr("Seeded experiments over the real scheduler")
}

/// Runs the tool.
#[must_use]
pub fn run() -> ExitCode {
    let text = match command().run() {
        ExperimentCommand::Compare(options) => compare::compare(&options),
        ExperimentCommand::Slopes => slopes::slopes(),
    };
    match text {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("savorywood-experiment: {error}");
            ExitCode::FAILURE
        }
    }
}
