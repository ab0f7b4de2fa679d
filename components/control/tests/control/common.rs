//! Fixtures: control cores of some instances and a driver that exchanges their events.

use std::{collections, net};

/// Control cores of some instances with a simulated clock.
pub struct Fleet {
    cores: Vec<control::ControlCore>,
    now: clock::Timestamp,
    /// All actions of the cores, one line per action, which begins with the index of the core.
    pub log: Vec<String>,
}

/// Creates the cores of two instances of one region.
pub fn two_instances(seed: u64) -> Fleet {
    let cores = [1, 2]
        .map(|number| {
            let config = control::CoreConfig::builder()
                .own(entry(number))
                .incarnation(ids::Incarnation(number))
                .seed(seed + number)
                .build();
            control::ControlCore::new(config)
        })
        .into();
    Fleet {
        cores,
        now: clock::Timestamp::from_millis(10),
        log: Vec::new(),
    }
}

/// Creates the entry of an instance in the platform's list.
///
/// All instances have the same address, since the fixture delivers messages by instance id.
pub fn entry(number: u64) -> border::InstanceEntry {
    border::InstanceEntry::builder()
        .id(ids::InstanceId(number))
        .address(net::SocketAddr::from(([10, 0, 0, 1], 9_000)))
        .region("eu-west")
        .data_centre("dc-1")
        .build()
}

/// Creates a model request of the class `quote`.
pub fn quote_request(request: u128) -> flow::FlowSpec {
    flow::FlowSpec::builder()
        .request(ids::RequestId(request))
        .workspace("coilquote")
        .class("quote")
        .model("quote-7b")
        .prompt_tokens(1_200u32)
        .max_tokens(100u32)
        .build()
}

impl Fleet {
    /// Passes an event to one core and delivers the resulting messages until none is left.
    pub fn handle(&mut self, core: usize, event: control::Event) {
        let mut queue = collections::VecDeque::from([(core, event)]);
        while let Some((core, event)) = queue.pop_front() {
            let mut actions = Vec::new();
            self.cores[core].handle(self.now, event, &mut actions);
            for action in actions {
                self.log.push(format!("{core} {action:?}"));
                queue.extend(self.response(core, action));
            }
        }
    }

    /// Advances the clock in steps of one millisecond and wakes every core that is due.
    pub fn advance_millis(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now = self.now + std::time::Duration::from_millis(1);
            for core in 0..self.cores.len() {
                if self.cores[core].next_wake() <= self.now {
                    self.handle(core, control::Event::Wake);
                }
            }
        }
    }

    /// Returns the number of requests in flight on all cores.
    pub fn in_flight(&self) -> usize {
        self.cores.iter().map(control::ControlCore::in_flight).sum()
    }

    /// Simulates the external systems, where every operation succeeds immediately.
    ///
    /// Returns the event that results from an action, with the index of the core that receives it.
    fn response(&self, core: usize, action: control::Action) -> Option<(usize, control::Event)> {
        let event = match action {
            control::Action::Send(to, message) => {
                let to = usize::try_from(to.0).ok()?.checked_sub(1)?;
                let from = ids::InstanceId(u64::try_from(core).ok()? + 1);
                return Some((to, control::Event::Peer(from, message)));
            }
            control::Action::ReadList => control::Event::Listed(vec![entry(1), entry(2)]),
            control::Action::ReadService(after) | control::Action::WatchService(after) => {
                let values = (after < ids::Revision(1)).then(|| border::NoteValue {
                    revision: ids::Revision(1),
                    text: include_str!("../../test_data/one_cell.yaml").to_owned(),
                });
                control::Event::ServiceResponded(Some(values.into_iter().collect()))
            }
            control::Action::Prefill {
                request, attempt, ..
            } => {
                let result = border::PrefillResult {
                    kv_handle: 1,
                    prompt_tokens: 1_200,
                    cached_tokens: 0,
                    retention_ms: 800,
                };
                control::Event::Prefilled(request, attempt, Ok(result))
            }
            control::Action::ReadRunning(engine) => {
                control::Event::Running(engine, Some(Vec::new()))
            }
            control::Action::Import { job, .. } => {
                control::Event::Imported(job.request, job.attempt, Ok(()))
            }
            control::Action::Decode { job, .. } => control::Event::DecodeEnded(
                job.request,
                job.attempt,
                job.max_tokens,
                Ok(border::FinishReason::Length),
            ),
            _ => return None,
        };
        Some((core, event))
    }
}
