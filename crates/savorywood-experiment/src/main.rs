//! The `savorywood-experiment` binary: a thin wrapper around the experiment library.

fn main() {}
