//! The state machine of calls.

use std::{collections::BTreeMap, sync, time};

use crate::{attempt_result, call_failure, call_outcome, call_spec, input, output};

/// Time within which the first byte of an attempt may leave.
const START_WINDOW: time::Duration = time::Duration::from_millis(200);

/// Routes the calls of one instance and owns a share of the idempotency keys.
pub struct CallKeeper {
    state: sync::Arc<note::StateInForce>,
    calls: BTreeMap<ids::RequestId, call_spec::CallSpec>,
}

impl CallKeeper {
    /// Makes a keeper without calls.
    #[must_use]
    pub fn new(_own: ids::InstanceId, _seed: u64) -> Self {
        Self {
            state: sync::Arc::default(),
            calls: BTreeMap::new(),
        }
    }

    /// Returns when the keeper wants to be woken.
    #[must_use]
    pub const fn next_wake(&self) -> clock::Moment {
        clock::Moment::MAX
    }

    /// Returns the number of calls in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Takes one input at `now` and appends what is to be done to `outputs`.
    pub fn handle(
        &mut self,
        _now: clock::Moment,
        input: input::Input,
        outputs: &mut Vec<output::Output>,
    ) {
        match input {
            input::Input::State(state) => self.state = state,
            input::Input::Arrived(spec) => self.start(spec, outputs),
            input::Input::Attempted(request, attempt, result) => {
                self.finish(request, attempt, &result, outputs);
            }
            input::Input::CallerGone(request) => {
                self.calls.remove(&request);
            }
            input::Input::Message(..)
            | input::Input::View(_)
            | input::Input::DrainBegan
            | input::Input::Wake => {}
        }
    }

    fn start(&mut self, spec: call_spec::CallSpec, outputs: &mut Vec<output::Output>) {
        let request = spec.request;
        let server = self
            .state
            .servers
            .values()
            .find(|server| server.service == spec.service && !server.leaving);
        let Some(server) = server else {
            outputs.push(output::Output::Finish(
                request,
                failed(border::Outcome::NotRun, call_failure::CallFailure::NoServer),
            ));
            return;
        };
        outputs.push(output::Output::Attempt {
            request,
            attempt: ids::AttemptNumber(0),
            server: server.name.clone(),
            time_left: spec.time_left,
            start_within: START_WINDOW,
        });
        self.calls.insert(request, spec);
    }

    fn finish(
        &mut self,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
        result: &attempt_result::AttemptResult,
        outputs: &mut Vec<output::Output>,
    ) {
        if self.calls.remove(&request).is_none() {
            return;
        }
        let outcome = match result {
            attempt_result::AttemptResult::Replied(_) => {
                call_outcome::CallOutcome::Answered(attempt)
            }
            attempt_result::AttemptResult::Failed(error) if error.proves_not_run() => failed(
                border::Outcome::NotRun,
                call_failure::CallFailure::ServerLost,
            ),
            attempt_result::AttemptResult::Failed(_) => failed(
                border::Outcome::Unknown,
                call_failure::CallFailure::ServerLost,
            ),
        };
        outputs.push(output::Output::Finish(request, outcome));
    }
}

const fn failed(
    outcome: border::Outcome,
    failure: call_failure::CallFailure,
) -> call_outcome::CallOutcome {
    call_outcome::CallOutcome::Failed {
        outcome,
        failure,
        retry_after: None,
    }
}
