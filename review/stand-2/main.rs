//! Cases of the second review. Started by `review/N/run.sh` as `cases N FOLDER`; the environment variable
//! `TROUBLE=0` leaves the disruption out. Ends with 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run.

mod foreign_entry;
mod kit;
mod limit_loss;
mod parts;
mod rollout_lost;
mod rollout_route;
mod rollout_slow;

use kit::{Record, unable};
use std::{env, path::PathBuf, process::exit};

/// What a case needs to know of its run.
pub struct Run {
    pub record: Record,
    /// The disruption is played.
    pub trouble: bool,
}

fn main() {
    let mut words = env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        unable("usage: cases N FOLDER");
    };
    let path = PathBuf::from(folder).join("record.txt");
    let Ok(record) = Record::create(&path) else {
        unable("record.txt can't be written");
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = Run { record, trouble };
    run.record
        .line(&format!("case {case}, disruption played: {trouble}"));
    let broken = match case.as_str() {
        "6" => rollout_slow::run(&run),
        "7" => rollout_lost::run(&run),
        "8" => limit_loss::run(&run),
        "9" => foreign_entry::run(&run),
        "10" => rollout_route::run(&run),
        _ => unable("no such case"),
    };
    run.record.line(if broken {
        "result: the rule was broken"
    } else {
        "result: the rule held"
    });
    exit(i32::from(broken));
}
