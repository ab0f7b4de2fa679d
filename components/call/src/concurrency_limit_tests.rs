//! Tests of the limit on calls in flight at one server.

use std::time;

use crate::concurrency_limit;

/// Calls in flight during each test.
const IN_FLIGHT: u32 = 16;

/// Records `count` successful calls, each with the latency that `latency_of` returns.
fn run_calls(
    limit: &mut concurrency_limit::ConcurrencyLimit,
    count: u64,
    latency_of: impl Fn(u64) -> time::Duration,
) {
    for number in 0..count {
        let now = clock::Timestamp::from_millis(number);
        limit.succeeded(now, latency_of(number), IN_FLIGHT);
    }
}

#[test]
fn jitter_of_a_fast_server_does_not_decrease_the_limit() {
    let mut limit = concurrency_limit::ConcurrencyLimit::new(IN_FLIGHT, 64);

    run_calls(&mut limit, 10_000, |number| {
        let slow = number.is_multiple_of(2);
        time::Duration::from_micros(if slow { 3_000 } else { 500 })
    });

    assert!(limit.allowed() >= f64::from(IN_FLIGHT));
}

#[test]
fn triple_latency_decreases_the_limit() {
    let mut limit = concurrency_limit::ConcurrencyLimit::new(IN_FLIGHT, 64);
    run_calls(&mut limit, 1_000, |_| time::Duration::from_millis(20));
    let before = limit.allowed();

    run_calls(&mut limit, 1_000, |_| time::Duration::from_millis(60));

    assert!(limit.allowed() < before);
}
