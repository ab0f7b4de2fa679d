//! Registry of the software versions that began streams.
//!
//! A caller whose stream broke off may take it up at any instance, which has to know the version
//! that began it. Each instance tells the others of its streams when it sends them to an engine,
//! and once more after that. It tells of all of them again when another instance has started or was out
//! of touch, and of those of an instance that has ended.

use std::{collections, net, time};

use crate::{origin_report, software_key};

/// Time for which full updates tell of all streams again, so that an instance that has started receives
/// one after it has been found by the forwarders.
const RETELL_TIME: time::Duration = time::Duration::from_millis(2_500);

/// Largest number of streams in an update, which bounds the size of its datagram.
const MAX_TOLD_STREAMS: usize = 150;

/// Longest time for which an origin is kept, whatever the caller's deadline.
const MAX_LIFETIME: time::Duration = time::Duration::from_secs(60);

/// Process that has told this instance of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct OriginReporter {
    pub(crate) address: net::Ipv4Addr,
    pub(crate) incarnation: u64,
}

/// Software version that began a stream.
#[derive(Clone, Copy, Debug)]
struct StreamOrigin {
    software: software_key::SoftwareKey,
    expires_at: clock::Timestamp,
    /// Prompt that engines of the version were sent.
    prompt: Option<origin_report::SentPrompt>,
    /// Process that tells of the stream; `None` if this instance does.
    reporter: Option<OriginReporter>,
    /// Number of updates that have told of the stream, by which those told least come first.
    told: u32,
}

/// Registry of the software versions that began streams, by [`crate::stream_hash`].
#[derive(Debug, Default)]
pub struct OriginRegistry {
    origins: collections::BTreeMap<u64, StreamOrigin>,
    /// Streams of which no update has told yet.
    untold: collections::VecDeque<u64>,
    /// Streams of which one update has told, which may be lost.
    told_once: collections::VecDeque<u64>,
    /// Time until which full updates tell of all streams again.
    retold_until: clock::Timestamp,
}

impl OriginRegistry {
    /// Records that a stream of this instance is begun, or goes on, at a software version; returns
    /// whether the others have to be told.
    pub fn record(&mut self, now: clock::Timestamp, report: &origin_report::OriginReport) -> bool {
        let known = self.origins.get_mut(&report.stream);
        let known = known.filter(|origin| {
            origin.software == report.software && covers(origin.prompt, report.prompt)
        });
        let expires_at = now + report.remaining.min(MAX_LIFETIME);
        if let Some(origin) = known.filter(|origin| origin.reporter.is_none()) {
            origin.expires_at = expires_at;
            return false;
        }
        let origin = StreamOrigin {
            software: report.software,
            expires_at,
            prompt: report.prompt,
            reporter: None,
            told: 0,
        };
        self.origins.insert(report.stream, origin);
        self.untold.push_back(report.stream);
        true
    }

    /// Returns the report that one of the same stream at another version displaces, if a prefill engine was
    /// sent its prompt: that engine still holds it.
    pub(crate) fn displaced_by(
        &self,
        now: clock::Timestamp,
        report: &origin_report::OriginReport,
    ) -> Option<origin_report::OriginReport> {
        let origin = self.origins.get(&report.stream)?;
        let is_displaced = origin.software != report.software && origin.reporter.is_none();
        let prompt = origin.prompt.filter(|prompt| prompt.to_prefill)?;
        is_displaced.then(|| origin_report::OriginReport {
            stream: origin_report::displaced_key(report.stream, origin.software),
            software: origin.software,
            remaining: origin.expires_at.since(now),
            prompt: Some(prompt),
        })
    }

    /// Returns the software version that began a stream, if it is known.
    #[must_use]
    pub fn software(
        &self,
        now: clock::Timestamp,
        stream: u64,
    ) -> Option<software_key::SoftwareKey> {
        self.origins
            .get(&stream)
            .filter(|origin| origin.expires_at > now)
            .map(|origin| origin.software)
    }

    /// Returns the software versions of a service at which known streams have begun.
    pub fn versions(
        &self,
        now: clock::Timestamp,
        service: u64,
    ) -> impl Iterator<Item = software_key::SoftwareKey> {
        self.origins
            .values()
            .filter(move |origin| origin.expires_at > now && origin.software.service == service)
            .map(|origin| origin.software)
    }

    /// Applies the reports of another process. What this instance tells itself stays.
    pub(crate) fn apply_reports(
        &mut self,
        now: clock::Timestamp,
        reporter: OriginReporter,
        reports: &[origin_report::OriginReport],
    ) {
        for report in reports {
            let origin = StreamOrigin {
                software: report.software,
                expires_at: now + report.remaining.min(MAX_LIFETIME),
                prompt: report.prompt,
                reporter: Some(reporter),
                told: 0,
            };
            let known = self.origins.entry(report.stream).or_insert(origin);
            if known.reporter.is_some() {
                *known = origin;
            }
        }
    }

    /// Makes this instance tell of the streams whose reporters have ended.
    pub(crate) fn adopt_orphans(&mut self, has_ended: impl Fn(OriginReporter) -> bool) {
        for (stream, origin) in &mut self.origins {
            if origin.reporter.is_some_and(&has_ended) {
                origin.reporter = None;
                self.untold.push_back(*stream);
            }
        }
    }

    /// Makes full updates tell again of all streams of which this instance tells.
    pub(crate) fn tell_again(&mut self, now: clock::Timestamp) {
        self.retold_until = now + RETELL_TIME;
    }

    /// Returns whether full updates tell of all streams again, since an instance has started or was out of
    /// touch.
    pub(crate) fn tells_again(&self, now: clock::Timestamp) -> bool {
        now < self.retold_until
    }

    /// Returns whether there are streams of which no update has told yet.
    pub(crate) fn has_untold(&self) -> bool {
        !self.untold.is_empty()
    }

    /// Returns the streams for a partial update: those of which no update has told yet.
    pub(crate) fn take_new(&mut self, now: clock::Timestamp) -> Vec<origin_report::OriginReport> {
        let streams: Vec<u64> = first(&mut self.untold);
        self.told_once.extend(&streams);
        self.tell(now, &streams)
    }

    /// Returns the streams for a full update, and forgets those that can't be taken up any more.
    pub(crate) fn take_due(&mut self, now: clock::Timestamp) -> Vec<origin_report::OriginReport> {
        self.origins.retain(|_, origin| origin.expires_at > now);
        let streams = if now < self.retold_until {
            self.least_told()
        } else if self.untold.is_empty() {
            first(&mut self.told_once)
        } else {
            return self.take_new(now);
        };
        self.tell(now, &streams)
    }

    /// Returns those streams of which this instance tells that updates have told least.
    fn least_told(&self) -> Vec<u64> {
        let own = self.origins.iter();
        let mut own: Vec<_> = own
            .filter(|(_, origin)| origin.reporter.is_none())
            .map(|(stream, origin)| (origin.told, *stream))
            .collect();
        own.sort_unstable();
        own.truncate(MAX_TOLD_STREAMS);
        own.into_iter().map(|(_, stream)| stream).collect()
    }

    /// Returns the reports of streams, and counts that an update has told of them.
    fn tell(&mut self, now: clock::Timestamp, streams: &[u64]) -> Vec<origin_report::OriginReport> {
        let reports = streams.iter().filter_map(|stream| {
            let origin = self.origins.get_mut(stream)?;
            origin.told += 1;
            Some(origin_report::OriginReport {
                stream: *stream,
                software: origin.software,
                remaining: origin.expires_at.since(now),
                prompt: origin.prompt,
            })
        });
        reports.collect()
    }
}

/// Returns whether what was told of a prompt includes what is to be told of it.
fn covers(
    told: Option<origin_report::SentPrompt>,
    prompt: Option<origin_report::SentPrompt>,
) -> bool {
    prompt.is_none_or(|prompt| {
        told.is_some_and(|told| told.part == prompt.part && told.to_prefill >= prompt.to_prefill)
    })
}

/// Removes and returns the first streams of a queue, as many as an update may contain.
fn first(streams: &mut collections::VecDeque<u64>) -> Vec<u64> {
    let count = streams.len().min(MAX_TOLD_STREAMS);
    streams.drain(..count).collect()
}
