//! Measures the calls a keeper handles in a second on one core.

fn main() {
    divan::main();
}
