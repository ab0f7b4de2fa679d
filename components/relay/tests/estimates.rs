//! Estimates from measured streams, which replace constants for the engines of one site.

mod common;

use common::{at, ms};

/// Returns the fit of a line to samples of `value = intercept + slope * input`.
fn fit_of(intercept: f64, slope: f64, inputs: &[f64]) -> relay::LinearFit {
    let mut fit = relay::LinearFit::default();
    for input in inputs {
        fit.observe(*input, intercept + slope * input);
    }
    fit
}

#[test]
fn fits_line_to_samples() {
    let fit = fit_of(47.0, 0.035, &[1_000.0, 3_000.0, 2_000.0, 6_000.0, 3_500.0]);

    let line = fit.line().expect("there are enough samples");

    assert!((line.intercept - 47.0).abs() < 0.1, "{line:?}");
    assert!((line.slope - 0.035).abs() < 0.001, "{line:?}");
}

#[test]
fn fits_line_to_the_samples_of_several_instances() {
    let mut fit = fit_of(47.0, 0.035, &[1_000.0, 3_000.0]);
    fit.merge(&fit_of(47.0, 0.035, &[2_000.0, 6_000.0, 3_500.0]));

    let line = fit.line().expect("there are enough samples");

    assert!((line.at(5_000.0) - 222.0).abs() < 1.0, "{line:?}");
}

#[test]
fn equal_inputs_give_a_line_through_the_origin() {
    let fit = fit_of(20.0, 0.02, &[4_000.0; 8]);

    let line = fit.line().expect("there are enough samples");

    assert!(line.intercept.abs() < f64::EPSILON, "{line:?}");
    assert!((line.at(4_000.0) - 100.0).abs() < 0.1, "{line:?}");
}

#[test]
fn no_or_contradicting_samples_give_no_line() {
    let none = relay::LinearFit::default();
    let falling = fit_of(500.0, -0.05, &[1_000.0, 3_000.0, 2_000.0, 6_000.0, 3_500.0]);

    assert_eq!(none.line(), None);
    assert_eq!(falling.line(), None);
}

#[test]
fn hint_counts_more_when_it_is_exact_and_lengths_vary() {
    let estimator_with = |hint_error: f64, length_deviation: f64| {
        let mut estimator = relay::LengthEstimator::new(4_000);
        for answers in 0..200 {
            let sign = if answers % 2 == 0 { 1.0 } else { -1.0 };
            let side = if answers % 4 < 2 { 1.0 } else { -1.0 };
            let tokens = 1_000.0 * f64::exp(sign * length_deviation);
            let hint = tokens * f64::exp(side * hint_error);
            estimator.observe(tokens as u32, Some(hint as u32), answers);
        }
        estimator
    };

    let exact = estimator_with(0.1, 0.7).expected(Some(2_500), 4_000);
    let vague = estimator_with(0.7, 0.1).expected(Some(2_500), 4_000);

    assert!(exact > 2_000, "{exact}");
    assert!(vague < 1_500, "{vague}");
}

/// Places a request on the only pair of engines, and ends its prefill, its first event and the
/// stream after the given times.
fn run_stream(core: &mut relay::RelayCore, start: u64, prompt: u32, prefill: u64, handoff: u64) {
    let placement = common::placed(core.place(at(start), common::request(at(start), prompt)));
    let prefilled = start + prefill;
    core.record_prefill_outcome(
        at(prefilled),
        placement.key,
        relay::BackendOutcome::Succeeded,
    );
    core.record_progress(at(prefilled + handoff), placement.key, 50);
    core.release(
        at(prefilled + handoff + 100),
        placement.key,
        common::completion(relay::BackendOutcome::Succeeded),
    );
}

/// Returns the entries of one engine of each stage.
fn engine_pair() -> Vec<relay::BackendEntry> {
    vec![
        common::engine("p1", relay::EngineStage::Prefill, "a"),
        common::engine("d1", relay::EngineStage::Decode, "a"),
    ]
}

/// Duration of a prefill on the engines of the test, in milliseconds.
fn slow_prefill_millis(prompt: u32) -> u64 {
    47 + u64::from(prompt) / 25
}

#[test]
fn time_to_first_event_follows_the_measured_streams() {
    let mut core = common::core_with(&engine_pair());
    for number in 0..40_u64 {
        let prompt = 2_000 + (number as u32 % 5) * 1_000;
        run_stream(
            &mut core,
            number * 1_000,
            prompt,
            slow_prefill_millis(prompt),
            30,
        );
    }

    let request = common::request(at(50_000), 5_000);
    let _placed = core.place(at(50_000), request.clone());
    core.refresh_usage(at(50_000));
    let placement = common::placed(core.place(at(60_000), common::request(at(60_000), 5_000)));

    // The first prompt occupies the engine for 200 ms, then the second one is read.
    let expected = ms(200 + slow_prefill_millis(5_000));
    let difference = placement.prefill_time.abs_diff(expected);
    assert!(difference < ms(15), "{:?}", placement.prefill_time);
}

#[test]
fn instance_without_streams_uses_the_estimates_of_the_others() {
    let config = common::config(1, vec![common::draft_route()]);
    let [mut busy, mut idle] = [1, 2].map(|number| {
        let mut core = common::core_of(number);
        let view = common::full_view_update(10, &config, &engine_pair());
        core.apply_store_read(at(0), at(0), view);
        core
    });
    for number in 0..40_u64 {
        let prompt = 2_000 + (number as u32 % 5) * 1_000;
        run_stream(
            &mut busy,
            number * 1_000,
            prompt,
            slow_prefill_millis(prompt),
            30,
        );
    }

    for _ in 0..8 {
        idle.apply_update(at(41_000), busy.full_update(at(41_000)));
    }
    let placement = common::placed(idle.place(at(41_500), common::request(at(41_500), 5_000)));

    let expected = ms(slow_prefill_millis(5_000));
    let difference = placement.prefill_time.abs_diff(expected);
    assert!(difference < ms(15), "{:?}", placement.prefill_time);
}

#[test]
fn time_to_first_event_includes_the_measured_handoff() {
    let mut core = common::core_with(&engine_pair());
    for number in 0..40_u64 {
        let prompt = 2_000 + (number as u32 % 5) * 1_000;
        run_stream(
            &mut core,
            number * 1_000,
            prompt,
            slow_prefill_millis(prompt),
            30,
        );
    }
    let now = at(50_000);
    let due_in = |millis: u64| {
        let mut request = common::request(now, 5_000);
        request.first_token_due = now + ms(millis);
        request
    };

    let timely = core.time_to_first_event(now, &due_in(900));

    let expected = ms(slow_prefill_millis(5_000) + 30);
    assert!(timely.abs_diff(expected) < ms(15), "{timely:?}");
}
