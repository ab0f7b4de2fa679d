//! Compares the placement policies; see `docs/measurements/placement.md`.

fn main() {
    study::run();
}
