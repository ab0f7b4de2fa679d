//! Metrics are rendered with units in their names and bounded labels.

use std::time;

/// Request classes that keep their names at most.
const CLASS_LIMIT: usize = 64;

/// Returns the value of the sample that starts with `name`.
fn sample(text: &str, name: &str) -> Option<f64> {
    text.lines()
        .find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
}

#[test]
fn goodput_is_told_by_class_and_timing() {
    let meter = meter::Meter::default();

    meter
        .requests()
        .answered("quote", meter::AnswerTiming::InTime);
    meter
        .requests()
        .answered("quote", meter::AnswerTiming::TooSlow);

    let text = meter.render();
    let name = "plantainreach_answers_total{class=\"quote\",timing=\"in_time\"}";
    assert_eq!(sample(&text, name), Some(1.0), "{text}");
}

#[test]
fn times_and_sizes_have_their_unit_in_the_name() {
    let meter = meter::Meter::default();

    meter
        .requests()
        .first_token("quote", time::Duration::from_millis(250));
    meter.requests().wasted("caller_gone", 900);
    meter.peers().sent(3, 120);

    let text = meter.render();
    for name in [
        "plantainreach_first_token_seconds_sum{class=\"quote\"}",
        "plantainreach_wasted_prefill_tokens_total{reason=\"caller_gone\"}",
        "plantainreach_control_sent_bytes_total",
    ] {
        assert!(sample(&text, name).is_some(), "{name} in {text}");
    }
}

#[test]
fn classes_beyond_the_bound_share_one_label() {
    let meter = meter::Meter::default();

    for number in 0..500 {
        meter
            .requests()
            .answered(&format!("class-{number}"), meter::AnswerTiming::InTime);
    }

    let text = meter.render();
    let series = text
        .lines()
        .filter(|line| line.starts_with("plantainreach_answers_total"))
        .count();
    assert_eq!(series, CLASS_LIMIT + 1);
    let other = "plantainreach_answers_total{class=\"other\",timing=\"in_time\"}";
    assert_eq!(sample(&text, other), Some(436.0));
}

#[test]
fn counts_since_the_start_never_fall() {
    let meter = meter::Meter::default();

    meter.peers().received(10, 1_000);
    meter.peers().received(8, 900);

    let text = meter.render();
    let name = "plantainreach_control_messages_received_total";
    assert_eq!(sample(&text, name), Some(10.0));
}

#[test]
fn a_thread_that_works_uses_processor_time() {
    let before = meter::thread_time().expect("the system tells the time of threads");

    let mut sum = 0_u64;
    for number in 0..5_000_000_u64 {
        sum = sum.wrapping_add(std::hint::black_box(number));
    }
    std::hint::black_box(sum);

    let after = meter::thread_time().expect("the system tells the time of threads");
    assert!(after >= before);
}
