//! Benchmark of the memory used by the claims of a witness.

use std::sync;

#[path = "../tests/common/mod.rs"]
mod common;

#[global_allocator]
static PROFILER: divan::AllocProfiler = divan::AllocProfiler::system();

/// Number of claims of a full witness.
const CLAIMS: u128 = 200_000;

fn main() {
    divan::main();
}

/// Fills a witness with claims; the largest allocated size is that of the claims.
#[divan::bench(sample_count = 5, sample_size = 1)]
fn full_witness() -> call::CallManager {
    let mut manager = call::CallManager::new(ids::InstanceId(1), 1);
    let view = sync::Arc::new(common::view(1, [1]));
    common::handle_input(&mut manager, 0, call::Input::View(view));
    for key in 0..CLAIMS {
        // Real keys are hashes and arrive in random order.
        let key = key.wrapping_mul(0x9E37_79B9_7F4A_7C15_F39C_C060_5CED_C835);
        let message = call::Message::Claim {
            key: call::ClaimKey(key),
            request: ids::RequestId(key),
            fingerprint: key,
            window: std::time::Duration::ZERO,
        };
        let input = call::Input::Message(ids::InstanceId(2), message);
        common::handle_input(&mut manager, 1, input);
    }
    manager
}
