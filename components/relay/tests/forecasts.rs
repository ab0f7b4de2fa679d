//! Forecasts of lengths and of memory.

#[test]
fn memory_is_foretold_from_what_streams_hold_and_add() {
    let load = |held, remaining| relay::StreamLoad { held, remaining };

    assert_eq!(relay::peak_tokens([]), 0);
    assert_eq!(relay::peak_tokens([load(100, 50)]), 150);
    // The second one is over before the first one has grown.
    assert_eq!(relay::peak_tokens([load(100, 1_000), load(500, 10)]), 1_100);
    assert_eq!(relay::peak_tokens([load(100, 10), load(500, 10)]), 620);
    assert_eq!(relay::peak_tokens([load(100, 200), load(500, 100)]), 800);
}

#[test]
fn a_guess_lies_between_the_hint_and_the_mean() {
    let mut estimator = relay::LengthEstimator::new(6_500);
    for _ in 0..400 {
        estimator.observe(3_000);
    }

    let plain = estimator.expected(None, 6_500);
    let long = estimator.expected(Some(6_000), 6_500);
    let short = estimator.expected(Some(500), 6_500);

    assert!((2_900..3_400).contains(&plain), "{plain}");
    assert!(long > plain && long < 6_000, "{long}");
    assert!(short < plain && short > 500, "{short}");
    assert_eq!(estimator.expected(Some(60_000), 400), 400);
}

#[test]
fn an_answer_beyond_its_guess_is_expected_to_go_on_up_to_its_limit() {
    assert_eq!(relay::remaining_tokens(3_000, 1_000, 6_500), 2_000);
    assert_eq!(relay::remaining_tokens(3_000, 4_000, 6_500), 600);
    assert_eq!(relay::remaining_tokens(3_000, 6_400, 6_500), 100);
}
