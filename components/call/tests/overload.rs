//! Outage of half the backend servers under a constant load, in virtual time.
//!
//! The test guards against retries that amplify the load during the outage, and against a load that
//! stays above the offered one after the outage.

use std::collections;

use common::{handle_input, idempotent_call, server};

mod common;

/// Calls offered per second.
const OFFERED_PER_SECOND: u64 = 500;

/// Latency of a call at a healthy server, in milliseconds.
const SERVICE_LATENCY_MS: u64 = 20;

/// Time after which a call fails at a server that is down, in milliseconds.
const FAILURE_LATENCY_MS: u64 = 150;

/// Calls that a server processes concurrently; it queues further calls.
const SERVER_PARALLELISM: u64 = 4;

/// Calls that two of the four servers can answer per second.
const HALF_CAPACITY_PER_SECOND: u64 = 2 * 1_000 * SERVER_PARALLELISM / SERVICE_LATENCY_MS;

/// Start and end of the outage, in milliseconds.
const OUTAGE_MS: std::ops::Range<u64> = 20_000..50_000;

/// Attempts and successful answers of one second.
#[derive(Clone, Copy, Debug, Default)]
struct SecondCount {
    attempts: u64,
    answered: u64,
}

/// Offers a constant load for 80 seconds; each caller retries a failed call once, after the
/// requested delay.
fn counts_per_second() -> Vec<SecondCount> {
    let mut manager = common::manager((1..=4).map(|number| server(&format!("s{number}"))));
    let mut counts = vec![SecondCount::default(); 80];
    let mut attempt_ends: collections::BTreeMap<(u64, u128), (u32, bool)> =
        collections::BTreeMap::new();
    let mut caller_retries: collections::BTreeMap<(u64, u128), ()> = collections::BTreeMap::new();
    let mut free_at: collections::BTreeMap<String, u64> = collections::BTreeMap::new();
    let mut next_request = 0_u128;
    for millis in 0..80_000 {
        let mut inputs = Vec::new();
        if millis % (1_000 / OFFERED_PER_SECOND) == 0 {
            inputs.push(call::Input::Arrived(idempotent_call(next_request)));
            next_request += 1;
        }
        while let Some(((at, request), ())) = caller_retries.first_key_value() {
            if *at > millis {
                break;
            }
            // A number of at least 1,000,000 marks a retry, which the caller does not repeat.
            inputs.push(call::Input::Arrived(idempotent_call(*request + 1_000_000)));
            caller_retries.pop_first();
        }
        while let Some((&(at, request), &(attempt, succeeds))) = attempt_ends.first_key_value() {
            if at > millis {
                break;
            }
            attempt_ends.pop_first();
            let result = if succeeds {
                call::AttemptResult::Replied(200)
            } else {
                common::lost()
            };
            let (request, attempt) = (ids::RequestId(request), ids::AttemptNumber(attempt));
            inputs.push(call::Input::AttemptEnded(request, attempt, result));
        }
        if manager.next_wake() <= clock::Timestamp::from_millis(millis) {
            inputs.push(call::Input::Wake);
        }
        let count =
            &mut counts[usize::try_from(millis / 1_000).expect("the second must fit in usize")];
        for input in inputs {
            for output in handle_input(&mut manager, millis, input) {
                match output {
                    call::Output::Attempt {
                        request,
                        attempt,
                        server,
                        ..
                    } => {
                        count.attempts += 1;
                        let down =
                            OUTAGE_MS.contains(&millis) && ["s1", "s2"].contains(&server.as_str());
                        let end = if down {
                            millis + FAILURE_LATENCY_MS
                        } else {
                            let free = free_at.entry(server.to_string()).or_default();
                            *free = (*free).max(millis) + SERVICE_LATENCY_MS / SERVER_PARALLELISM;
                            *free + SERVICE_LATENCY_MS
                        };
                        attempt_ends.insert((end, request.0), (attempt.0, !down));
                    }
                    call::Output::Finish(_, call::CallOutcome::Answered(_)) => count.answered += 1,
                    call::Output::Finish(
                        request,
                        call::CallOutcome::Failed { retry_after, .. },
                    ) => {
                        let after = retry_after.filter(|_| request.0 < 1_000_000);
                        if let Some(after) = after {
                            let after = u64::try_from(after.as_millis())
                                .expect("the retry delay must fit in u64");
                            caller_retries.insert((millis + after, request.0), ());
                        }
                    }
                    call::Output::Send(..) => {}
                }
            }
        }
    }
    counts
}

#[test]
fn load_returns_to_normal_within_ten_seconds_after_an_outage_of_half_the_servers() {
    let counts = counts_per_second();

    let outage = &counts[22..50];
    let settled = &counts[60..80];
    for (second, count) in counts.iter().enumerate() {
        println!("{second}: {count:?}");
    }
    let most = outage.iter().map(|count| count.attempts).max();
    assert!(
        most <= Some(OFFERED_PER_SECOND * 13 / 10),
        "retries must not amplify the load during the outage"
    );
    for count in outage {
        assert!(
            count.answered >= HALF_CAPACITY_PER_SECOND * 9 / 10,
            "{outage:?}"
        );
    }
    for count in settled {
        assert!(
            count.attempts <= OFFERED_PER_SECOND * 11 / 10,
            "{settled:?}"
        );
        assert!(count.answered >= OFFERED_PER_SECOND * 9 / 10, "{settled:?}");
    }
}
