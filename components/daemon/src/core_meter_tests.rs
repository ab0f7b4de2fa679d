//! Tests of the metrics that follow from a core's events and actions.

use std::sync;

use crate::core_meter;

const REQUEST: ids::RequestId = ids::RequestId(7);
const FIRST: ids::AttemptNumber = ids::AttemptNumber(0);
const SECOND: ids::AttemptNumber = ids::AttemptNumber(1);

/// A recorder with the meter behind it.
struct Recorder {
    core: core_meter::CoreMeter,
    meter: meter::Meter,
}

impl Recorder {
    fn event(&mut self, millis: u64, event: &control::Event) {
        self.core.take_event(moment(millis), event);
    }

    fn action(&mut self, millis: u64, action: &control::Action) {
        self.core.take_action(moment(millis), action);
    }

    /// Returns whether a sample has a value.
    fn shows(&self, sample: &str) -> bool {
        self.meter.render().lines().any(|line| line == sample)
    }
}

/// Makes a recorder that knows the class `quote`: 500 ms to the first token, 50 ms between tokens.
fn recorder() -> Recorder {
    let meter = meter::Meter::default();
    let mut core = core_meter::CoreMeter::new(meter.clone());
    let state = sync::Arc::new(state_with_quotes());
    core.take_action(moment(0), &control::Action::InForce(state));
    Recorder { core, meter }
}

fn state_with_quotes() -> note::StateInForce {
    let class = note::RequestClass {
        name: "quote".into(),
        target: note::ClassTarget::Generation(note::GenerationClass {
            models: vec!["draft".into()],
            first_token_ms: 500,
            token_pace_ms: 50,
            priority: 0,
            expected_output_tokens: 20,
            output_limit_tokens: 100,
            can_wait_ms: 0,
        }),
    };
    let mut state = note::StateInForce::default();
    state.classes.insert(class.name.clone(), class);
    state
}

fn moment(millis: u64) -> clock::Timestamp {
    clock::Timestamp::from_millis(millis)
}

fn arrival() -> control::Event {
    let spec = flow::FlowSpec::builder()
        .request(REQUEST)
        .workspace("coilquote")
        .class("quote")
        .model("draft")
        .prompt_tokens(900_u32)
        .max_tokens(100_u32)
        .build();
    control::Event::RequestArrived(spec)
}

fn answered() -> control::Action {
    let outcome = flow::FlowOutcome::Answered(border::FinishReason::Stop);
    control::Action::FinishRequest(REQUEST, outcome)
}

fn ended(tokens: u32) -> control::Event {
    control::Event::DecodeEnded(REQUEST, FIRST, tokens, Ok(border::FinishReason::Stop))
}

#[test]
fn an_answer_within_both_targets_is_in_time() {
    let mut recorder = recorder();

    recorder.event(1_000, &arrival());
    recorder.event(1_400, &control::Event::Delivered(REQUEST, FIRST, 1));
    recorder.event(2_200, &ended(21));
    recorder.action(2_200, &answered());

    let sample = "plantainreach_answers_total{class=\"quote\",timing=\"in_time\"} 1";
    assert!(recorder.shows(sample), "{}", recorder.meter.render());
}

#[test]
fn an_answer_whose_first_token_is_late_is_not_in_time() {
    let mut recorder = recorder();

    recorder.event(1_000, &arrival());
    recorder.event(1_501, &control::Event::Delivered(REQUEST, FIRST, 1));
    recorder.event(1_600, &ended(21));
    recorder.action(1_600, &answered());

    let sample = "plantainreach_answers_total{class=\"quote\",timing=\"first_token_late\"} 1";
    assert!(recorder.shows(sample), "{}", recorder.meter.render());
}

#[test]
fn an_answer_that_comes_too_slowly_is_not_in_time() {
    let mut recorder = recorder();

    recorder.event(1_000, &arrival());
    recorder.event(1_100, &control::Event::Delivered(REQUEST, FIRST, 1));
    recorder.event(2_200, &ended(21));
    recorder.action(2_200, &answered());

    let sample = "plantainreach_answers_total{class=\"quote\",timing=\"too_slow\"} 1";
    assert!(recorder.shows(sample), "{}", recorder.meter.render());
}

#[test]
fn a_second_prefill_is_a_retry() {
    let mut recorder = recorder();
    let prefill = |attempt| control::Action::Prefill {
        request: REQUEST,
        attempt,
        engine: "p1".into(),
    };

    recorder.event(1_000, &arrival());
    recorder.action(1_010, &prefill(FIRST));
    recorder.action(1_300, &prefill(SECOND));

    assert!(recorder.shows("plantainreach_request_retries_total 1"));
    assert!(recorder.shows("plantainreach_placement_wait_seconds_count 1"));
}

#[test]
fn wasted_prefill_is_told_by_cause() {
    let mut recorder = recorder();

    let waste = control::Action::PrefillWasted(900, flow::WasteCause::CallerGone);
    recorder.action(1_000, &waste);

    let sample = "plantainreach_wasted_prefill_tokens_total{reason=\"caller_gone\"} 900";
    assert!(recorder.shows(sample), "{}", recorder.meter.render());
}

#[test]
fn a_caller_that_goes_away_counts_once() {
    let mut recorder = recorder();

    recorder.event(1_000, &arrival());
    recorder.event(1_100, &control::Event::CallerGone(REQUEST));
    recorder.event(1_200, &control::Event::CallerGone(REQUEST));

    assert!(recorder.shows("plantainreach_requests_cancelled_total 1"));
}
