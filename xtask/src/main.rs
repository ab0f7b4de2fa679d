//! Tasks of the maintainers.

fn main() {}
