//! Tests of the age of idempotency keys.

use std::time;

/// UUID of version 7 created at 1,645,557,742,000 ms, from RFC 9562.
const KEY: &str = "017F22E2-79B0-7CC3-98C4-DC0C0C07398F";

#[test]
fn a_uuid_of_version_7_has_an_age() {
    let age = call::key_age(KEY, 1_645_557_743_500);

    assert_eq!(age, Some(time::Duration::from_millis(1_500)));
}

#[test]
fn a_key_created_in_the_future_has_no_age() {
    assert_eq!(call::key_age(KEY, 1_645_557_741_999), None);
}

#[test]
fn keys_that_are_not_a_uuid_of_version_7_have_no_age() {
    let version_4 = "919108f7-52d1-4320-9bac-f847db4148a8";
    let long = format!("{KEY}0");
    let letters = KEY.replace('F', "é");

    for key in ["", "order-17", version_4, &long, &letters] {
        assert_eq!(call::key_age(key, u64::MAX), None, "{key}");
    }
}
