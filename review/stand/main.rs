//! Scripts of the review: each case starts the project's daemons and these stand-ins.
//!
//! Usage: `stand CASE FOLDER`, from the repository's root. Exits with 1 if the rule was broken, 0 if it
//! held and 2 if the case couldn't run. With `TROUBLE=0` the disruption is left out.

#![allow(dead_code, reason = "each case uses a part of the stand-ins")]

mod cases;
mod client;
mod fronts;
mod http;
mod json;
mod record;
mod runner;
mod store;

use std::{env, path::PathBuf, process::exit};

fn main() {
    let mut arguments = env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: stand CASE FOLDER");
        exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    let folder = PathBuf::from(folder);
    let verdict = cases::run(&case, trouble, &folder);
    match verdict {
        Ok(broken) if broken.is_empty() => println!("the rule held"),
        Ok(broken) => {
            for line in &broken {
                println!("{line}");
            }
            exit(1);
        }
        Err(cause) => {
            eprintln!("the case could not run: {cause}");
            exit(2);
        }
    }
}
