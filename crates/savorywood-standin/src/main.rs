//! The `savorywood-standin` binary: a thin wrapper around the stand-in library.

fn main() {}
