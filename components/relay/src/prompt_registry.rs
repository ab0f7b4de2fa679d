//! Registry of the software versions whose engines were sent a prompt.
//!
//! The load that this answers: a session sends its prompt again while a stream that it has begun at
//! another software version may still be taken up. Such a prompt is sent to engines in another way than
//! the first time, so that their memory shows which version was sent it first, also after all instances
//! have ended.

use std::{collections, time};

use crate::{origin_report, software_key};

/// Time for which a prompt counts as sent to a version.
const MEMORY_TIME: time::Duration = time::Duration::from_secs(300);

/// Number of prompts that are remembered, more than the engines hold in memory. Those that were sent last
/// are kept.
const MAX_PROMPTS: usize = 2_000;

/// A prompt at a software version.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct PromptKey {
    /// Hash of the last part of the prompt, from [`crate::part_hash`].
    part: u64,
    software: software_key::SoftwareKey,
}

impl PromptKey {
    /// Returns the smallest key of a prompt.
    fn first(part: u64) -> Self {
        Self {
            part,
            software: software_key::SoftwareKey::default(),
        }
    }
}

/// Streams for which a decode engine of a version may have read a prompt.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum PromptReaders {
    #[default]
    None,
    /// One stream, by [`crate::stream_hash`].
    One(u64),
    Several,
}

impl PromptReaders {
    /// Returns the streams with another one.
    const fn with(self, stream: u64) -> Self {
        match self {
            Self::None => Self::One(stream),
            Self::One(other) if other == stream => Self::One(stream),
            _ => Self::Several,
        }
    }

    /// Returns the streams without one that no engine of the version has read.
    const fn without(self, stream: u64) -> Self {
        match self {
            Self::One(other) if other == stream => Self::None,
            readers => readers,
        }
    }
}

/// What the engines of a software version were sent of a prompt.
#[derive(Clone, Copy, Debug)]
struct PromptUse {
    /// Whether a prefill engine was sent the prompt.
    to_prefill: bool,
    /// Time until which a stream may be taken up that may have begun with the prompt at another version before
    /// the instances started; `None` if none sent it without knowing.
    unknown_until: Option<clock::Timestamp>,
    /// Whether an instance sent the prompt that knew whether another version had been sent it.
    is_known: bool,
    /// Streams for which a decode engine may have read the prompt.
    readers: PromptReaders,
    /// Time until which callers may take up the streams with the prompt.
    open_until: clock::Timestamp,
    sent_at: clock::Timestamp,
}

impl PromptUse {
    fn is_remembered(&self, now: clock::Timestamp) -> bool {
        now.since(self.sent_at) < MEMORY_TIME
    }
}

/// Registry of the software versions whose engines were sent a prompt.
#[derive(Debug, Default)]
pub(crate) struct PromptRegistry {
    uses: collections::BTreeMap<PromptKey, PromptUse>,
}

impl PromptRegistry {
    /// Records that engines were sent the prompt of a stream, which may be open for `lifetime` at least.
    pub(crate) fn record(
        &mut self,
        now: clock::Timestamp,
        report: &origin_report::OriginReport,
        lifetime: time::Duration,
    ) {
        let Some(prompt) = report.prompt else {
            return;
        };
        let key = PromptKey {
            part: prompt.part,
            software: report.software,
        };
        // A caller may state another deadline when it takes its stream up.
        let open_for = report.remaining.max(lifetime);
        let open_until = now + open_for;
        self.release(report.stream, prompt.part, report.software);
        let known = self.uses.get(&key).filter(|sent| sent.is_remembered(now));
        let sent = PromptUse {
            readers: known
                .map_or(PromptReaders::None, |sent| sent.readers)
                .with(report.stream),
            to_prefill: prompt.to_prefill || known.is_some_and(|sent| sent.to_prefill),
            unknown_until: known
                .and_then(|sent| sent.unknown_until)
                .max(prompt.may_be_repeat.then_some(open_until)),
            is_known: !prompt.may_be_repeat || known.is_some_and(|sent| sent.is_known),
            open_until: known.map_or(open_until, |sent| sent.open_until.max(open_until)),
            sent_at: now,
        };
        self.uses.insert(key, sent);
    }

    /// Records that a stream has gone to a version after no decode engine of another one had read its prompt.
    fn release(&mut self, stream: u64, part: u64, software: software_key::SoftwareKey) {
        let uses = self.uses.range_mut(PromptKey::first(part)..);
        let uses = uses.take_while(|(key, _)| key.part == part);
        for (_, sent) in uses.filter(|(key, _)| key.software != software) {
            sent.readers = sent.readers.without(stream);
        }
    }

    /// Records that no decode engine of a version has read the prompt of a stream that was sent there.
    pub(crate) fn record_unread(&mut self, report: &origin_report::OriginReport) {
        let Some(prompt) = report.prompt else {
            return;
        };
        let key = PromptKey {
            part: prompt.part,
            software: report.software,
        };
        if let Some(sent) = self.uses.get_mut(&key) {
            sent.readers = sent.readers.without(report.stream);
        }
    }

    /// Forgets the prompts that engines have displaced since.
    pub(crate) fn remove_old(&mut self, now: clock::Timestamp) {
        self.uses.retain(|_, sent| sent.is_remembered(now));
        if self.uses.len() <= MAX_PROMPTS {
            return;
        }
        let mut times: Vec<_> = self.uses.values().map(|sent| sent.sent_at).collect();
        let (_, oldest_kept, _) = times.select_nth_unstable(self.uses.len() - MAX_PROMPTS);
        let oldest_kept = *oldest_kept;
        self.uses
            .retain(|_, sent| sent.sent_at >= oldest_kept || sent.open_until > now);
    }

    /// Returns the versions that were sent a prompt.
    pub(crate) fn versions(
        &self,
        now: clock::Timestamp,
        part: u64,
    ) -> impl Iterator<Item = software_key::SoftwareKey> {
        self.uses(now, part).map(|(software, _)| software)
    }

    /// Returns the versions whose prefill engines were sent a prompt, and of which a decode engine may have
    /// read it.
    pub(crate) fn readers(
        &self,
        now: clock::Timestamp,
        part: u64,
    ) -> impl Iterator<Item = software_key::SoftwareKey> {
        self.uses(now, part)
            .filter(|(_, sent)| sent.to_prefill && sent.readers != PromptReaders::None)
            .map(|(software, _)| software)
    }

    /// Returns whether an instance sent a prompt that knew whether another version had been sent it.
    pub(crate) fn is_known(&self, now: clock::Timestamp, part: u64) -> bool {
        self.uses(now, part).any(|(_, sent)| sent.is_known)
    }

    /// Returns whether an instance that didn't know sent a prompt to a service, whose streams of before may
    /// still be taken up.
    pub(crate) fn may_be_open_elsewhere(
        &self,
        now: clock::Timestamp,
        part: u64,
        service: u64,
    ) -> bool {
        let mut uses = self.uses(now, part);
        uses.any(|(other, sent)| {
            other.service == service && sent.unknown_until.is_some_and(|until| until > now)
        })
    }

    /// Returns whether another version than `software` was sent a prompt, of which a stream may still be taken
    /// up.
    pub(crate) fn is_open_elsewhere(
        &self,
        now: clock::Timestamp,
        part: u64,
        software: software_key::SoftwareKey,
    ) -> bool {
        self.uses(now, part).any(|(other, sent)| {
            other != software && other.service == software.service && sent.open_until > now
        })
    }

    /// Returns whether a prefill engine of a version was sent a prompt.
    pub(crate) fn was_sent_first(
        &self,
        now: clock::Timestamp,
        part: u64,
        software: software_key::SoftwareKey,
    ) -> bool {
        self.uses(now, part)
            .any(|(other, sent)| other == software && sent.to_prefill)
    }

    fn uses(
        &self,
        now: clock::Timestamp,
        part: u64,
    ) -> impl Iterator<Item = (software_key::SoftwareKey, &PromptUse)> {
        self.uses
            .range(PromptKey::first(part)..)
            .take_while(move |(key, _)| key.part == part)
            .filter(move |(_, sent)| sent.is_remembered(now))
            .map(|(key, sent)| (key.software, sent))
    }
}
