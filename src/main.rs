//! The router's command line.

fn main() {}
