//! Measures the memory of claims that a witness holds.

use std::sync;

#[path = "../tests/common/mod.rs"]
mod common;

#[global_allocator]
static PROFILER: divan::AllocProfiler = divan::AllocProfiler::system();

/// Claims that a full witness holds.
const CLAIMS: u128 = 200_000;

fn main() {
    divan::main();
}

/// Fills a witness; the largest allocated size is that of the claims.
#[divan::bench(sample_count = 5, sample_size = 1)]
fn full_witness() -> call::CallManager {
    let mut keeper = call::CallManager::new(ids::InstanceId(1), 1);
    let view = sync::Arc::new(common::view(1, [1]));
    common::give(&mut keeper, 0, call::Input::View(view));
    for key in 0..CLAIMS {
        // Keys are hashes, so they come in no order.
        let key = key.wrapping_mul(0x9E37_79B9_7F4A_7C15_F39C_C060_5CED_C835);
        let message = call::Message::Claim {
            key: call::ClaimKey(key),
            request: ids::RequestId(key),
            fingerprint: key,
            window: std::time::Duration::ZERO,
        };
        let input = call::Input::Message(ids::InstanceId(2), message);
        common::give(&mut keeper, 1, input);
    }
    keeper
}
