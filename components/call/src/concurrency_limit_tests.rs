//! Tests of the limit of open calls at one server.

use std::time;

use crate::concurrency_limit;

/// Calls that are open all the time.
const OPEN: u32 = 16;

/// Gives a limit so many calls, each with the latency that `latency_of` says.
fn run_calls(
    limit: &mut concurrency_limit::ConcurrencyLimit,
    count: u64,
    latency_of: impl Fn(u64) -> time::Duration,
) {
    for number in 0..count {
        let now = clock::Timestamp::from_millis(number);
        limit.succeeded(now, latency_of(number), OPEN);
    }
}

#[test]
fn jitter_of_a_few_milliseconds_at_a_fast_server_is_not_taken_for_overload() {
    let mut limit = concurrency_limit::ConcurrencyLimit::new(OPEN, 64);

    run_calls(&mut limit, 10_000, |number| {
        let slow = number.is_multiple_of(2);
        time::Duration::from_micros(if slow { 3_000 } else { 500 })
    });

    assert!(limit.allowed() >= f64::from(OPEN));
}

#[test]
fn latency_that_doubles_by_tens_of_milliseconds_is_taken_for_overload() {
    let mut limit = concurrency_limit::ConcurrencyLimit::new(OPEN, 64);
    run_calls(&mut limit, 1_000, |_| time::Duration::from_millis(20));
    let before = limit.allowed();

    run_calls(&mut limit, 1_000, |_| time::Duration::from_millis(60));

    assert!(limit.allowed() < before);
}
