//! What the actions of an instance do to the world.

use std::time;

use crate::{study_world, world_event};

/// Time the platform takes to answer.
const PLATFORM_TIME: time::Duration = time::Duration::from_millis(2);

/// Time for which the configuration service holds a watch.
const WATCH_TIME: time::Duration = time::Duration::from_secs(30);

impl study_world::StudyWorld {
    /// Does what an instance asked for.
    pub(crate) fn act(&mut self, core: usize, action: control::Action) {
        match action {
            control::Action::Send(to, message) => self.carry(core, to, message),
            control::Action::ReadList => {
                let hosts = self.instances.iter();
                let list = hosts.map(|host| host.entry.clone()).collect();
                self.answer(core, PLATFORM_TIME, control::Event::Listed(list));
            }
            control::Action::ReadService(after) => {
                self.answer(core, PLATFORM_TIME, self.notes_after(after));
            }
            control::Action::WatchService(after) => {
                let new = after < ids::Revision(1);
                let wait = if new { PLATFORM_TIME } else { WATCH_TIME };
                self.answer(core, wait, self.notes_after(after));
            }
            control::Action::Prefill {
                request,
                attempt,
                engine,
            } => {
                if let Some(trace) = self.trace_mut(request) {
                    trace.placed = true;
                }
                self.note_step(request, format!("attempt {attempt}: prefill at {engine}"));
                let call = world_event::EngineCall::Prefill(core, request, attempt);
                self.call(&engine, call);
            }
            control::Action::Import { engine, job } => {
                self.note_step(job.request, format!("import at {engine}"));
                self.call(&engine, world_event::EngineCall::Import(core, job));
            }
            control::Action::Decode { engine, job } => {
                self.note_step(job.request, format!("decode at {engine}"));
                self.call(&engine, world_event::EngineCall::Decode(core, job));
            }
            control::Action::Cancel(engine, request, attempt) => {
                let key = fakes::engine_model::WorkKey { request, attempt };
                self.call(&engine, world_event::EngineCall::Cancel(key));
            }
            control::Action::FinishRequest(request, outcome) => self.finish(request, &outcome),
            control::Action::ReadLoad(engine) => {
                self.call(&engine, world_event::EngineCall::Load(core));
            }
            control::Action::ReadRunning(engine) => {
                self.call(&engine, world_event::EngineCall::Running(core));
            }
            control::Action::ReadCacheEvents(engine, after) => {
                self.call(&engine, world_event::EngineCall::CacheEvents(core, after));
            }
            control::Action::ReadStatus(engine) => {
                self.call(&engine, world_event::EngineCall::Status(core));
            }
            _ => {}
        }
    }

    fn carry(&mut self, core: usize, to: ids::InstanceId, message: wire::PeerMessage) {
        let from = self.instances[core].entry.id;
        let target = self.instances.iter().position(|host| host.entry.id == to);
        if self.now >= self.count_begin {
            self.control.add(from, to, &message);
        }
        if let Some(target) = target {
            let event = control::Event::Peer(from, message);
            self.send(world_event::WorldEvent::Core(target, event));
        }
    }

    fn answer(&mut self, core: usize, after: time::Duration, event: control::Event) {
        let at = self.now + after;
        self.push(at, world_event::WorldEvent::Core(core, event));
    }

    fn notes_after(&self, after: ids::Revision) -> control::Event {
        let revision = ids::Revision(1);
        let value = (after < revision).then(|| border::NoteValue {
            revision,
            text: self.note_text.clone(),
        });
        control::Event::ServiceResponded(Some(value.into_iter().collect()))
    }

    fn call(&mut self, engine: &ids::ServerName, call: world_event::EngineCall) {
        if let Some(number) = self.engine_numbers.get(engine).copied() {
            self.send(world_event::WorldEvent::Engine(number, call));
        }
    }

    fn finish(&mut self, request: ids::RequestId, outcome: &flow::FlowOutcome) {
        self.note_step(request, format!("{outcome:?}"));
        let now = self.now;
        let Some(trace) = self.trace_mut(request) else {
            return;
        };
        trace.ended_at.get_or_insert(now);
        match outcome {
            flow::FlowOutcome::Answered(_) => trace.answered = true,
            flow::FlowOutcome::Refused { reason, .. } => trace.refused = Some(*reason),
            flow::FlowOutcome::Broken { .. } => {}
        }
    }
}
