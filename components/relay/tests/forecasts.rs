//! Estimates of output lengths and forecasts of memory.

#[test]
fn forecasts_peak_memory_of_streams() {
    let load = |held, remaining| relay::StreamLoad { held, remaining };

    assert_eq!(relay::peak_tokens([]), 0);
    assert_eq!(relay::peak_tokens([load(100, 50)]), 150);
    // The second stream ends before the first one has grown much.
    assert_eq!(relay::peak_tokens([load(100, 1_000), load(500, 10)]), 1_100);
    assert_eq!(relay::peak_tokens([load(100, 10), load(500, 10)]), 620);
    assert_eq!(relay::peak_tokens([load(100, 200), load(500, 100)]), 800);
}

#[test]
fn estimate_is_between_hint_and_mean() {
    let mut estimator = relay::LengthEstimator::new(6_500);
    for answers in 0..400 {
        estimator.observe(3_000, None, answers);
    }

    let without_hint = estimator.expected(None, 6_500);
    let long_hint = estimator.expected(Some(6_000), 6_500);
    let short_hint = estimator.expected(Some(500), 6_500);

    assert!((2_900..3_400).contains(&without_hint), "{without_hint}");
    assert!(long_hint > without_hint && long_hint < 6_000, "{long_hint}");
    assert!(
        short_hint < without_hint && short_hint > 500,
        "{short_hint}"
    );
    assert_eq!(estimator.expected(Some(60_000), 400), 400);
}

#[test]
fn answer_beyond_its_estimate_is_expected_to_continue_up_to_its_limit() {
    assert_eq!(relay::remaining_tokens(3_000, 1_000, 6_500), 2_000);
    assert_eq!(relay::remaining_tokens(3_000, 4_000, 6_500), 600);
    assert_eq!(relay::remaining_tokens(3_000, 6_400, 6_500), 100);
}
