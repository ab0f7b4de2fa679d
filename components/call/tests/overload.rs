//! An outage of half the backend servers under a constant load, in virtual time.

use std::collections;

use common::{give, lookup, server};

mod common;

/// Calls offered in a second.
const OFFERED: u64 = 500;

/// Time a healthy server takes for a call, in milliseconds.
const SERVICE_MS: u64 = 20;

/// Time a server that is down takes to fail a call, in milliseconds.
const FAILURE_MS: u64 = 150;

/// Calls a server works on at once; more of them wait in it.
const SERVER_WIDTH: u64 = 4;

/// Calls that two of the four servers can answer in a second.
const HALF_CAPACITY: u64 = 2 * 1_000 * SERVER_WIDTH / SERVICE_MS;

/// Beginning and end of the outage, in milliseconds.
const OUTAGE: std::ops::Range<u64> = 20_000..50_000;

/// Attempts and good answers of each second.
#[derive(Clone, Copy, Debug, Default)]
struct SecondCount {
    attempts: u64,
    answered: u64,
}

/// Offers a constant load for eighty seconds with callers that come back once when asked to.
fn counts_of_seconds() -> Vec<SecondCount> {
    let mut keeper = common::keeper((1..=4).map(|number| server(&format!("s{number}"))));
    let mut counts = vec![SecondCount::default(); 80];
    let mut ends: collections::BTreeMap<(u64, u128), (u32, bool)> = collections::BTreeMap::new();
    let mut returns: collections::BTreeMap<(u64, u128), ()> = collections::BTreeMap::new();
    let mut free_at: collections::BTreeMap<String, u64> = collections::BTreeMap::new();
    let mut next_request = 0_u128;
    for millis in 0..80_000 {
        let mut inputs = Vec::new();
        if millis % (1_000 / OFFERED) == 0 {
            inputs.push(call::Input::Arrived(lookup(next_request)));
            next_request += 1;
        }
        while let Some(((at, request), ())) = returns.first_key_value() {
            if *at > millis {
                break;
            }
            inputs.push(call::Input::Arrived(lookup(*request + 1_000_000)));
            returns.pop_first();
        }
        while let Some((&(at, request), &(attempt, good))) = ends.first_key_value() {
            if at > millis {
                break;
            }
            ends.pop_first();
            let result = if good {
                call::AttemptResult::Replied(200)
            } else {
                common::lost()
            };
            let (request, attempt) = (ids::RequestId(request), ids::AttemptNumber(attempt));
            inputs.push(call::Input::AttemptEnded(request, attempt, result));
        }
        if keeper.next_wake() <= clock::Timestamp::from_millis(millis) {
            inputs.push(call::Input::Wake);
        }
        let count = &mut counts[usize::try_from(millis / 1_000).expect("the test is short")];
        for input in inputs {
            for output in give(&mut keeper, millis, input) {
                match output {
                    call::Output::Attempt {
                        request,
                        attempt,
                        server,
                        ..
                    } => {
                        count.attempts += 1;
                        let down =
                            OUTAGE.contains(&millis) && ["s1", "s2"].contains(&server.as_str());
                        let end = if down {
                            millis + FAILURE_MS
                        } else {
                            let free = free_at.entry(server.to_string()).or_default();
                            *free = (*free).max(millis) + SERVICE_MS / SERVER_WIDTH;
                            *free + SERVICE_MS
                        };
                        ends.insert((end, request.0), (attempt.0, !down));
                    }
                    call::Output::Finish(_, call::CallOutcome::Answered(_)) => count.answered += 1,
                    call::Output::Finish(
                        request,
                        call::CallOutcome::Failed { retry_after, .. },
                    ) => {
                        let after = retry_after.filter(|_| request.0 < 1_000_000);
                        if let Some(after) = after {
                            let after = u64::try_from(after.as_millis()).expect("a short time");
                            returns.insert((millis + after, request.0), ());
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
fn demand_settles_within_ten_seconds_of_an_outage_of_half_the_servers() {
    let counts = counts_of_seconds();

    let outage = &counts[22..50];
    let settled = &counts[60..80];
    for (second, count) in counts.iter().enumerate() {
        println!("{second}: {count:?}");
    }
    let most = outage.iter().map(|count| count.attempts).max();
    assert!(most <= Some(OFFERED * 13 / 10), "retries add to an outage");
    for count in outage {
        assert!(count.answered >= HALF_CAPACITY * 9 / 10, "{outage:?}");
    }
    for count in settled {
        assert!(count.attempts <= OFFERED * 11 / 10, "{settled:?}");
        assert!(count.answered >= OFFERED * 9 / 10, "{settled:?}");
    }
}
