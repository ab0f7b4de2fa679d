//! Every interleaving of three instances, two repeats of one key, one crash and one pause.
//!
//! A message that stays pending for good is a lost one. The pause stops all that still waits until
//! it is too late for a claim or a first byte; wakes are left out, as they do no more than
//! a late answer does.

use std::{
    collections,
    hash::{DefaultHasher, Hasher as _},
    sync,
};

mod common;

/// Time at which the repeats arrive, when all instances have long been up, in milliseconds.
const START_MS: u64 = 400_000;

/// Length of the pause: beyond the time for a claim and that for the first byte, in milliseconds.
const PAUSE_MS: u64 = 1_000;

/// Instances, from one.
const INSTANCES: u64 = 3;

/// Key of both requests.
const KEY: u128 = 9;

/// Something that may happen next.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum PendingStep {
    Message(u64, u64, String),
    Start(u64, u128, u32, u64),
    End(u64, u128, u32, bool),
    Call(u64, u128),
    Pause,
    Crash(u64),
}

/// One instance with a hash of its state.
#[derive(Clone)]
struct SearchNode {
    keeper: call::CallManager,
    shown: u64,
}

/// The instances, what may happen next and what has happened.
#[derive(Clone)]
struct SearchState {
    nodes: Vec<sync::Arc<SearchNode>>,
    now: u64,
    pending: Vec<(PendingStep, Option<call::Message>)>,
    runs: Vec<u128>,
    /// Requests that have their answer.
    ended: collections::BTreeSet<u128>,
    /// Requests that were told that their call didn't run.
    not_run: collections::BTreeSet<u128>,
    /// Whether a request was told so although the key had run.
    lied: bool,
    /// Instance that crashed after its call had arrived.
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
        // The second instance stands as the first does.
        pending.extend([1, 3].map(PendingStep::Crash));
        Self {
            nodes,
            now: START_MS,
            pending: pending.into_iter().map(|step| (step, None)).collect(),
            runs: Vec::new(),
            ended: collections::BTreeSet::new(),
            not_run: collections::BTreeSet::new(),
            lied: false,
            crashed: None,
        }
    }

    /// Returns the states that may follow; what is left pending for good is a lost message.
    fn followers(&self, policy: &sync::Arc<dyn call::ClaimPolicy>) -> Vec<Self> {
        let mut followers = Vec::new();
        for index in 0..self.pending.len() {
            let mut next = self.clone();
            let (step, message) = next.pending.swap_remove(index);
            if let PendingStep::Start(id, request, attempt, issued) = step {
                let late = next.now - issued > 200;
                for runs in [true, false] {
                    // The first attempt may be refused, a later one only when it is late.
                    let refused = !runs && attempt == 0;
                    if runs != late || refused {
                        let mut branch = next.clone();
                        branch.runs.extend(runs.then_some(request));
                        let end = PendingStep::End(id, request, attempt, runs);
                        branch.pending.push((end, None));
                        followers.push(branch);
                    }
                }
                continue;
            }
            next.take(step, message, policy);
            next.forget_idle();
            followers.push(next);
        }
        followers
    }

    /// Drops what can't change anything any more: answers for calls that have ended.
    fn forget_idle(&mut self) {
        let crashed = self.crashed == Some(1);
        let ended = [self.ended.contains(&1) || crashed, self.ended.contains(&2)];
        self.pending
            .retain(|(step, message)| match (step, message) {
                (_, Some(call::Message::Claimed { request, .. })) => !ended[request.0 as usize - 1],
                _ => true,
            });
    }

    fn take(
        &mut self,
        step: PendingStep,
        message: Option<call::Message>,
        policy: &sync::Arc<dyn call::ClaimPolicy>,
    ) {
        match step {
            PendingStep::Message(from, to, _) => {
                let message = message.expect("a message step carries its message");
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
                self.input(id, call::Input::Arrived(common::keyed(request, KEY)));
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
        let outputs = common::give(&mut node.keeper, self.now, input);
        node.shown = hash_of(&format!("{:?}", node.keeper));
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
                call::Output::Finish(request, outcome) => self.tell(request.0, &outcome),
            }
        }
    }

    fn fingerprint(&self) -> u64 {
        let shown: Vec<_> = self.nodes.iter().map(|node| node.shown).collect();
        let mut pending: Vec<_> = self.pending.iter().map(|(step, _)| step).collect();
        pending.sort_unstable();
        let outcomes = (&self.runs, &self.not_run, self.crashed);
        hash_of(&(shown, self.now, pending, outcomes))
    }

    fn tell(&mut self, request: u128, outcome: &call::CallOutcome) {
        self.ended.insert(request);
        let call::CallOutcome::Failed { outcome, .. } = outcome else {
            return;
        };
        if *outcome == border::Outcome::NotRun {
            self.lied |= !self.runs.is_empty();
            self.not_run.insert(request);
        }
    }

    fn is_broken(&self) -> bool {
        let ran_after_all = self.runs.iter().any(|run| self.not_run.contains(run));
        self.runs.len() > 1 || self.lied || ran_after_all
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
    let mut keeper = call::CallManager::with_config(config);
    let view = sync::Arc::new(common::view(id, 1..=INSTANCES));
    common::give(&mut keeper, now, call::Input::View(view));
    let state = common::state([common::server("s1")]);
    common::give(&mut keeper, now, call::Input::State(state));
    let shown = hash_of(&format!("{keeper:?}"));
    sync::Arc::new(SearchNode { keeper, shown })
}

fn hash_of(value: &impl std::hash::Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Searches all states depth first, which keeps few of them; returns their number and the runs of the first broken one.
fn search(policy: impl call::ClaimPolicy + 'static) -> (usize, usize, Option<Vec<u128>>) {
    let policy: sync::Arc<dyn call::ClaimPolicy> = sync::Arc::new(policy);
    let first = SearchState::new(&policy);
    let mut seen = collections::HashSet::from([first.fingerprint()]);
    let mut open = vec![first];
    let mut ran = 0;
    while let Some(state) = open.pop() {
        for next in state.followers(&policy) {
            if next.is_broken() {
                return (seen.len(), ran, Some(next.runs));
            }
            if seen.insert(next.fingerprint()) {
                ran += usize::from(!next.runs.is_empty());
                open.push(next);
            }
        }
    }
    (seen.len(), ran, None)
}

/// Grants without asking enough witnesses.
struct SinglePolicy;

impl call::ClaimPolicy for SinglePolicy {
    fn quorum(&self, _witnesses: usize) -> call::ClaimQuorum {
        call::ClaimQuorum {
            acks: 1,
            vouchers: 1,
        }
    }
}

#[test]
fn no_interleaving_of_two_repeats_a_crash_and_a_pause_runs_a_call_twice() {
    let (states, ran, broken) = search(call::OverlapPolicy);

    println!("{states} states, {ran} with a run");
    assert_eq!(broken, None);
    assert!(ran > 0, "some interleaving must run the call");
}

#[test]
fn the_search_finds_the_double_run_of_a_grant_by_one_witness() {
    let (_, _, broken) = search(SinglePolicy);

    assert!(broken.is_some());
}
