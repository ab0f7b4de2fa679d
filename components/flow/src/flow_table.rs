//! The state machine of model requests.

use std::{collections::BTreeMap, sync, time};

use crate::{flow_outcome, flow_spec, input, output};

/// Time after which a refused caller may ask again.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// One request under way.
struct Flow {
    spec: flow_spec::FlowSpec,
    placement: Option<place::Placement>,
    start_at: clock::Moment,
    started: bool,
}

/// The model requests of one entry instance.
pub struct FlowTable {
    own: ids::InstanceId,
    state: sync::Arc<note::StateInForce>,
    view: sync::Arc<member::MemberView>,
    flows: BTreeMap<ids::RequestId, Flow>,
}

impl FlowTable {
    /// Makes a table without requests.
    #[must_use]
    pub fn new(own: ids::InstanceId, _seed: u64) -> Self {
        Self {
            own,
            state: sync::Arc::default(),
            view: sync::Arc::default(),
            flows: BTreeMap::new(),
        }
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.flows.len()
    }

    /// Returns when the table wants to be woken.
    #[must_use]
    pub fn next_wake(&self) -> clock::Moment {
        self.flows
            .values()
            .filter(|flow| flow.placement.is_some() && !flow.started)
            .map(|flow| flow.start_at)
            .min()
            .unwrap_or(clock::Moment::MAX)
    }

    /// Takes one input at `now` and appends what is to be done to `outputs`.
    pub fn handle(
        &mut self,
        now: clock::Moment,
        input: input::Input,
        outputs: &mut Vec<output::Output>,
    ) {
        match input {
            input::Input::State(state) => self.state = state,
            input::Input::View(view) => self.view = view,
            input::Input::Arrived(spec) => self.ask(spec, outputs),
            input::Input::Place(_, message) => self.take_place(now, message, outputs),
            input::Input::Wake => self.start_due(now, outputs),
            input::Input::Prefilled(request, attempt, result) => {
                self.take_prefill(request, attempt, result, outputs);
            }
            input::Input::Imported(request, attempt, result) => {
                self.take_import(request, attempt, &result, outputs);
            }
            input::Input::DecodeEnded(request, _, delivered, result) => {
                self.take_end(request, delivered, result, outputs);
            }
            input::Input::CallerGone(request) => self.abandon(request, outputs),
            input::Input::Delivered(..) | input::Input::DrainBegan => {}
        }
    }

    fn ask(&mut self, spec: flow_spec::FlowSpec, outputs: &mut Vec<output::Output>) {
        let cell = place::cell::cells(&self.state)
            .into_iter()
            .find(|cell| cell.models.contains(&spec.model));
        let owner = cell
            .as_ref()
            .and_then(|cell| place::cell::owner(cell, &self.view));
        let (Some(cell), Some(owner)) = (cell, owner) else {
            outputs.push(output::Output::Finish(
                spec.request,
                refused(place::RefusalReason::NoEngine),
            ));
            return;
        };
        let ask = place::PlaceAsk::builder()
            .cell(cell.id)
            .request(spec.request)
            .attempt(ids::AttemptNumber(0))
            .class(spec.class.clone())
            .workspace(spec.workspace.clone())
            .model(spec.model.clone())
            .prompt_tokens(spec.prompt_tokens)
            .max_tokens(spec.max_tokens)
            .prefix_blocks(spec.prefix_blocks.clone())
            .first_token_within(time::Duration::from_millis(710))
            .build();
        outputs.push(output::Output::Send(owner, place::Message::Ask(ask)));
        self.flows.insert(
            spec.request,
            Flow {
                spec,
                placement: None,
                start_at: clock::Moment::MAX,
                started: false,
            },
        );
    }

    fn take_place(
        &mut self,
        now: clock::Moment,
        message: place::Message,
        outputs: &mut Vec<output::Output>,
    ) {
        match message {
            place::Message::Placed(placement) => {
                if let Some(flow) = self.flows.get_mut(&placement.request) {
                    flow.start_at = now + placement.start_in;
                    flow.placement = Some(placement);
                    self.start_due(now, outputs);
                }
            }
            place::Message::Refused(refusal) => {
                if self.flows.remove(&refusal.request).is_some() {
                    outputs.push(output::Output::Finish(
                        refusal.request,
                        refused(refusal.reason),
                    ));
                }
            }
            _ => {}
        }
    }

    fn start_due(&mut self, now: clock::Moment, outputs: &mut Vec<output::Output>) {
        for (request, flow) in &mut self.flows {
            let Some(placement) = &flow.placement else {
                continue;
            };
            if flow.started || flow.start_at > now {
                continue;
            }
            flow.started = true;
            outputs.push(output::Output::Prefill {
                request: *request,
                attempt: placement.attempt,
                engine: placement.prefill.clone(),
            });
        }
    }

    fn take_prefill(
        &mut self,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
        result: Result<border::PrefillResult, border::BorderError>,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(placement) = self
            .flows
            .get(&request)
            .and_then(|flow| flow.placement.clone())
        else {
            return;
        };
        let source = self
            .state
            .engines
            .get(&placement.prefill)
            .map(|engine| engine.address);
        let (Ok(result), Some(source)) = (result, source) else {
            self.break_off(request, 0, outputs);
            return;
        };
        let job = border::TransferJob::builder()
            .request(request)
            .attempt(attempt)
            .entry(self.own)
            .source(source)
            .kv_handle(result.kv_handle)
            .prompt_tokens(result.prompt_tokens)
            .kv_pieces(placement.kv_pieces)
            .build();
        outputs.push(output::Output::Import {
            engine: placement.decode,
            job,
        });
    }

    fn take_import(
        &mut self,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
        result: &Result<(), border::BorderError>,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let (Ok(()), Some(placement)) = (result, &flow.placement) else {
            self.break_off(request, 0, outputs);
            return;
        };
        let job = border::DecodeJob::builder()
            .request(request)
            .attempt(attempt)
            .max_tokens(flow.spec.max_tokens)
            .offset(0)
            .priority(0)
            .build();
        outputs.push(output::Output::Decode {
            engine: placement.decode.clone(),
            job,
        });
    }

    fn take_end(
        &mut self,
        request: ids::RequestId,
        delivered: u32,
        result: Result<border::FinishReason, border::BorderError>,
        outputs: &mut Vec<output::Output>,
    ) {
        match result {
            Ok(finish) => {
                if self.flows.remove(&request).is_some() {
                    outputs.push(output::Output::Finish(
                        request,
                        flow_outcome::FlowOutcome::Answered(finish),
                    ));
                }
            }
            Err(_) => self.break_off(request, delivered, outputs),
        }
    }

    fn break_off(
        &mut self,
        request: ids::RequestId,
        delivered: u32,
        outputs: &mut Vec<output::Output>,
    ) {
        self.abandon(request, outputs);
        let outcome = border::Outcome::Unknown;
        outputs.push(output::Output::Finish(
            request,
            flow_outcome::FlowOutcome::Broken { outcome, delivered },
        ));
    }

    fn abandon(&mut self, request: ids::RequestId, outputs: &mut Vec<output::Output>) {
        let Some(flow) = self.flows.remove(&request) else {
            return;
        };
        let Some(placement) = flow.placement else {
            return;
        };
        for engine in [placement.prefill, placement.decode] {
            outputs.push(output::Output::Cancel(engine, request, placement.attempt));
        }
    }
}

const fn refused(reason: place::RefusalReason) -> flow_outcome::FlowOutcome {
    flow_outcome::FlowOutcome::Refused {
        reason,
        retry_after: RETRY_AFTER,
    }
}
