//! Exhaustive search over the interleavings of three instances, two requests with one key, one
//! crash and one pause.
//!
//! It guards against a second run of a call, and against an outcome `not_run` of a call that ran. A
//! message that stays pending represents a lost message. The pause delays all pending steps beyond
//! the claim timeout and the start timeout of an attempt. Wake-ups are omitted, since their effect
//! equals that of a late answer.

use std::{
    collections,
    hash::{DefaultHasher, Hasher as _},
    sync,
};

mod common;

/// Time at which the requests arrive, after all instances have been up for longer than the
/// retention, in milliseconds.
const START_MS: u64 = 400_000;

/// Length of the pause, longer than the claim timeout and the start timeout of an attempt, in
/// milliseconds.
const PAUSE_MS: u64 = 1_000;

/// Number of instances; their ids start at 1.
const INSTANCES: u64 = 3;

/// Key of both requests.
const KEY: u128 = 9;

/// Step that may happen next; the first number is an instance, unless stated otherwise.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum PendingStep {
    /// A message, in its debug format, is delivered from the first to the second instance.
    Message(u64, u64, String),
    /// The first byte of an attempt is due: request, attempt and time of issue in milliseconds.
    Start(u64, u128, u32, u64),
    /// The result of an attempt is reported: request, attempt and whether the call ran.
    End(u64, u128, u32, bool),
    /// A call of a request arrives.
    Call(u64, u128),
    /// All pending steps are delayed by the length of the pause.
    Pause,
    /// The instance crashes and starts again without its claims.
    Crash(u64),
}

/// Instance with a hash of its state.
#[derive(Clone)]
struct SearchNode {
    manager: call::CallManager,
    state_hash: u64,
}

/// State of the search: the instances, the pending steps and the results.
#[derive(Clone)]
struct SearchState {
    nodes: Vec<sync::Arc<SearchNode>>,
    now: u64,
    pending: Vec<(PendingStep, Option<call::Message>)>,
    runs: Vec<u128>,
    /// Requests that were answered.
    finished: collections::BTreeSet<u128>,
    /// Requests answered with the outcome `NotRun`.
    not_run: collections::BTreeSet<u128>,
    /// Whether a request was answered with the outcome `NotRun` after a call with the key had run.
    false_not_run: bool,
    /// Instance that crashed after the call at instance 1 had arrived.
    crashed: Option<u64>,
}

impl SearchState {
    fn new(policy: &sync::Arc<dyn call::ClaimPolicy>) -> Self {
        let nodes = (1..=INSTANCES)
            .map(|id| start_node(id, 0, policy))
            .collect();
        let mut pending = vec![
            PendingStep::Call(1, 1),
            PendingStep::Call(2, 2),
            PendingStep::Pause,
        ];
        // A crash of the second instance is equivalent to a crash of the first.
        pending.extend([1, 3].map(PendingStep::Crash));
        Self {
            nodes,
            now: START_MS,
            pending: pending.into_iter().map(|step| (step, None)).collect(),
            runs: Vec::new(),
            finished: collections::BTreeSet::new(),
            not_run: collections::BTreeSet::new(),
            false_not_run: false,
            crashed: None,
        }
    }

    /// Returns the possible successor states; a message that stays pending represents a lost one.
    fn successors(&self, policy: &sync::Arc<dyn call::ClaimPolicy>) -> Vec<Self> {
        let mut successors = Vec::new();
        for index in 0..self.pending.len() {
            let mut next = self.clone();
            let (step, message) = next.pending.swap_remove(index);
            if let PendingStep::Start(id, request, attempt, issued) = step {
                let is_late = next.now - issued > 200;
                for runs in [true, false] {
                    // The first attempt may be refused at any time, a later one only if it is late.
                    let is_refused = !runs && attempt == 0;
                    if runs != is_late || is_refused {
                        let mut branch = next.clone();
                        branch.runs.extend(runs.then_some(request));
                        let end = PendingStep::End(id, request, attempt, runs);
                        branch.pending.push((end, None));
                        successors.push(branch);
                    }
                }
                continue;
            }
            next.apply(step, message, policy);
            next.drop_irrelevant_messages();
            successors.push(next);
        }
        successors
    }

    /// Drops pending claim answers for calls that have ended, which have no effect.
    fn drop_irrelevant_messages(&mut self) {
        let crashed = self.crashed == Some(1);
        let finished = [
            self.finished.contains(&1) || crashed,
            self.finished.contains(&2),
        ];
        self.pending
            .retain(|(step, message)| match (step, message) {
                (_, Some(call::Message::Claimed { request, .. })) => {
                    !finished[request.0 as usize - 1]
                }
                _ => true,
            });
    }

    fn apply(
        &mut self,
        step: PendingStep,
        message: Option<call::Message>,
        policy: &sync::Arc<dyn call::ClaimPolicy>,
    ) {
        match step {
            PendingStep::Message(from, to, _) => {
                let message = message.expect("a message step must have a message");
                self.input(to, call::Input::Message(ids::InstanceId(from), message));
            }
            PendingStep::End(id, request, attempt, ran) => {
                let result = if ran {
                    call::AttemptResult::Replied(200)
                } else {
                    common::not_sent()
                };
                let (request, attempt) = (ids::RequestId(request), ids::AttemptNumber(attempt));
                self.input(id, call::Input::AttemptEnded(request, attempt, result));
            }
            PendingStep::Call(id, request) => {
                self.input(id, call::Input::Arrived(common::keyed_call(request, KEY)));
            }
            PendingStep::Pause => {
                self.now += PAUSE_MS;
            }
            PendingStep::Crash(crashed) => {
                self.pending.retain(|(step, _)| match step {
                    PendingStep::Start(id, ..) | PendingStep::End(id, ..) => *id != crashed,
                    PendingStep::Crash(_) => false,
                    _ => true,
                });
                let arrived = !self
                    .pending
                    .iter()
                    .any(|(step, _)| *step == PendingStep::Call(1, 1));
                self.crashed = Some(crashed).filter(|_| arrived);
                self.nodes[crashed as usize - 1] = start_node(crashed, self.now, policy);
            }
            PendingStep::Start(..) => {}
        }
    }

    fn input(&mut self, id: u64, input: call::Input) {
        let node = sync::Arc::make_mut(&mut self.nodes[id as usize - 1]);
        let outputs = common::handle_input(&mut node.manager, self.now, input);
        node.state_hash = hash_of(&format!("{:?}", node.manager));
        for output in outputs {
            match output {
                call::Output::Send(to, message) if to.0 == id => {
                    self.input(id, call::Input::Message(to, message));
                }
                call::Output::Send(to, message) => {
                    let step = PendingStep::Message(id, to.0, format!("{message:?}"));
                    self.pending.push((step, Some(message)));
                }
                call::Output::Attempt {
                    request, attempt, ..
                } => {
                    let step = PendingStep::Start(id, request.0, attempt.0, self.now);
                    self.pending.push((step, None));
                }
                call::Output::Finish(request, outcome) => self.record_outcome(request.0, &outcome),
            }
        }
    }

    fn fingerprint(&self) -> u64 {
        let state_hash: Vec<_> = self.nodes.iter().map(|node| node.state_hash).collect();
        let mut pending: Vec<_> = self.pending.iter().map(|(step, _)| step).collect();
        pending.sort_unstable();
        let outcomes = (&self.runs, &self.not_run, self.crashed);
        hash_of(&(state_hash, self.now, pending, outcomes))
    }

    fn record_outcome(&mut self, request: u128, outcome: &call::CallOutcome) {
        self.finished.insert(request);
        let call::CallOutcome::Failed { outcome, .. } = outcome else {
            return;
        };
        if *outcome == border::Outcome::NotRun {
            self.false_not_run |= !self.runs.is_empty();
            self.not_run.insert(request);
        }
    }

    fn has_violation(&self) -> bool {
        let ran_despite_not_run = self.runs.iter().any(|run| self.not_run.contains(run));
        self.runs.len() > 1 || self.false_not_run || ran_despite_not_run
    }
}

fn start_node(
    id: u64,
    now: u64,
    policy: &sync::Arc<dyn call::ClaimPolicy>,
) -> sync::Arc<SearchNode> {
    let config = call::CallConfig::builder()
        .own(ids::InstanceId(id))
        .seed(id)
        .claim_policy(sync::Arc::clone(policy))
        .build();
    let mut manager = call::CallManager::with_config(config);
    let view = sync::Arc::new(common::view(id, 1..=INSTANCES));
    common::handle_input(&mut manager, now, call::Input::View(view));
    let state = common::state([common::server("s1")]);
    common::handle_input(&mut manager, now, call::Input::State(state));
    let state_hash = hash_of(&format!("{manager:?}"));
    sync::Arc::new(SearchNode {
        manager,
        state_hash,
    })
}

fn hash_of(value: &impl std::hash::Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Searches all states depth first, which keeps few of them in memory.
///
/// Returns the number of states, the number of states with a run, and the runs of the first state
/// that violates a guarantee.
fn search(policy: impl call::ClaimPolicy + 'static) -> (usize, usize, Option<Vec<u128>>) {
    let policy: sync::Arc<dyn call::ClaimPolicy> = sync::Arc::new(policy);
    let first = SearchState::new(&policy);
    let mut seen = collections::HashSet::from([first.fingerprint()]);
    let mut frontier = vec![first];
    let mut ran = 0;
    while let Some(state) = frontier.pop() {
        for next in state.successors(&policy) {
            if next.has_violation() {
                return (seen.len(), ran, Some(next.runs));
            }
            if seen.insert(next.fingerprint()) {
                ran += usize::from(!next.runs.is_empty());
                frontier.push(next);
            }
        }
    }
    (seen.len(), ran, None)
}

/// Policy with a quorum of a single witness.
struct SinglePolicy;

impl call::ClaimPolicy for SinglePolicy {
    fn quorum(&self, _witnesses: usize) -> call::ClaimQuorum {
        call::ClaimQuorum {
            acks: 1,
            confirmations: 1,
        }
    }
}

#[test]
fn no_interleaving_of_two_requests_a_crash_and_a_pause_runs_a_call_twice() {
    let (states, ran, violation) = search(call::OverlapPolicy);

    println!("{states} states, {ran} with a run");
    assert_eq!(violation, None);
    assert!(ran > 0, "at least one interleaving must run the call");
}

#[test]
fn search_detects_a_second_run_with_a_single_witness_quorum() {
    let (_, _, violation) = search(SinglePolicy);

    assert!(violation.is_some());
}
