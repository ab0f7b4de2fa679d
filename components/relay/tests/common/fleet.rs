//! The relay cores of a fleet as a policy that places generations.

use std::collections;

use super::{at, day};

/// Time between news of a core of which nothing changes, in milliseconds.
const NEWS_MILLIS: u64 = 250;

/// Time that news take to reach the other cores, in milliseconds: as long as a small link needs for
/// datagrams to a large fleet.
const NEWS_DELAY_MILLIS: u64 = 20;

/// One core with what it hasn't told yet.
struct Member {
    core: relay::RelayCore,
    changed: bool,
    told_at: u64,
}

/// News that are on their way.
struct SentNews {
    teller: usize,
    arrives_at: u64,
    news: relay::InstanceUpdate,
}

/// The relay cores of a fleet, among which requests are dealt out in turn.
pub struct FleetPlacer {
    members: Vec<Member>,
    sent: collections::VecDeque<SentNews>,
    keys: collections::BTreeMap<usize, relay::StreamKey>,
    tickets: collections::BTreeMap<(usize, relay::QueueTicket), usize>,
    refused: Vec<usize>,
    /// Requests that were refused on arrival.
    pub refused_at_once: u32,
}

impl FleetPlacer {
    /// Makes the cores of a number of instances.
    pub fn new(site: day::Site, instances: u8) -> Self {
        let prefills = (0..site.prefills).map(|number| ("p", number, relay::EngineStage::Prefill));
        let decodes = (0..site.decodes).map(|number| ("d", number, relay::EngineStage::Decode));
        let entries: Vec<_> = prefills
            .chain(decodes)
            .map(|(name, number, stage)| super::engine(&format!("{name}{number}"), stage, "a"))
            .collect();
        let config = super::config_of(site.kv_tokens, 1, vec![super::draft_route()]);
        let members = (1..=instances).map(|number| {
            let mut core = super::core_of(number);
            core.apply_store_read(at(0), at(0), super::full_update(10, &config, &entries));
            Member {
                core,
                changed: true,
                told_at: 0,
            }
        });
        Self {
            members: members.collect(),
            sent: collections::VecDeque::new(),
            keys: collections::BTreeMap::new(),
            tickets: collections::BTreeMap::new(),
            refused: Vec::new(),
            refused_at_once: 0,
        }
    }

    fn member(&mut self, index: usize) -> &mut Member {
        let count = self.members.len();
        &mut self.members[index % count]
    }

    fn change<T>(&mut self, index: usize, change: impl FnOnce(&mut relay::RelayCore) -> T) -> T {
        let member = self.member(index);
        member.changed = true;
        change(&mut member.core)
    }

    fn take(&mut self, index: usize, answer: relay::PlacementOutcome) -> Option<day::Ways> {
        match answer {
            relay::PlacementOutcome::Placed(place) => {
                self.keys.insert(index, place.key);
                let prefill = place.prefill.as_ref().expect("prefill engines are there");
                Some(day::Ways {
                    prefill: number_of(&prefill.1),
                    decode: number_of(&place.decode.1),
                })
            }
            relay::PlacementOutcome::Waiting(ticket) => {
                let member = index % self.members.len();
                self.tickets.insert((member, ticket), index);
                None
            }
            relay::PlacementOutcome::Refused(refusal) => {
                assert!(!refusal.retry_after.is_zero());
                self.refused.push(index);
                None
            }
        }
    }

    /// Lets cores tell the others what they use.
    fn tell(&mut self, now: u64) {
        if self.members.len() == 1 {
            return;
        }
        for teller in 0..self.members.len() {
            let member = &mut self.members[teller];
            if !member.changed && now - member.told_at < NEWS_MILLIS {
                continue;
            }
            member.changed = false;
            member.told_at = now;
            self.sent.push_back(SentNews {
                teller,
                arrives_at: now + NEWS_DELAY_MILLIS,
                news: member.core.due_update(at(now)),
            });
        }
        while self.sent.front().is_some_and(|sent| sent.arrives_at <= now) {
            let Some(sent) = self.sent.pop_front() else {
                return;
            };
            for hearer in (0..self.members.len()).filter(|hearer| *hearer != sent.teller) {
                self.members[hearer]
                    .core
                    .apply_update(at(now), sent.news.clone());
            }
        }
    }
}

fn number_of(entry: &relay::BackendEntry) -> usize {
    entry.server.as_str()[1..]
        .parse()
        .expect("engines are numbered")
}

impl day::Placer for FleetPlacer {
    fn arrives(&mut self, now: u64, index: usize, request: &day::Planned) -> Option<day::Ways> {
        let mut ask = super::ask(at(now), request.prompt);
        ask.output_tokens = day::LIMIT;
        ask.expected_tokens = Some(request.hint);
        let answer = self.change(index, |core| core.place(at(now), ask));
        let refused_before = self.refused.len();
        let ways = self.take(index, answer);
        self.refused_at_once += u32::from(self.refused.len() > refused_before);
        ways
    }

    fn due(&mut self, now: u64) -> (Vec<(usize, day::Ways)>, Vec<usize>) {
        self.tell(now);
        let mut placed = Vec::new();
        for member in 0..self.members.len() {
            let answers = self.members[member].core.poll_queue(at(now));
            self.members[member].changed |= !answers.is_empty();
            for (ticket, answer) in answers {
                let index = self.tickets.remove(&(member, ticket)).expect("it waited");
                placed.extend(self.take(index, answer).map(|ways| (index, ways)));
            }
        }
        (placed, std::mem::take(&mut self.refused))
    }

    fn prompt_read(&mut self, now: u64, index: usize) -> Option<usize> {
        let outcome = relay::BackendOutcome::Succeeded;
        let key = self.keys[&index];
        let moved = self.change(index, |core| {
            core.record_prefill_outcome(at(now), key, outcome);
            core.rebalance_decode(at(now), key)
        });
        moved.map(|moved| number_of(&moved.decode.1))
    }

    fn generated(&mut self, now: u64, index: usize, tokens: u32) {
        let key = self.keys[&index];
        self.member(index)
            .core
            .record_progress(at(now), key, tokens);
    }

    fn ended(&mut self, now: u64, index: usize) {
        let end = super::ended(relay::BackendOutcome::Succeeded);
        let key = self.keys[&index];
        self.change(index, |core| core.release(at(now), key, end));
    }
}
