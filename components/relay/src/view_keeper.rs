//! Keeps the view of the platform and decides when it is read again.

use std::{collections, sync, time};

use crate::{list_delta, site_view, view_change};

/// Time between reads of the instance that reads for all.
const READ_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Age of the view at which the next instance in rank reads for itself.
const STANDBY_AGE: time::Duration = time::Duration::from_millis(900);

/// Additional age for each further rank, so that not all instances read at once.
const RANK_STEP: time::Duration = time::Duration::from_millis(100);

/// Ranks that are told apart; those behind them read at once when all before them are gone.
const RANKS: u32 = 5;

/// Time between reads that fail.
const FAILURE_PAUSE: time::Duration = time::Duration::from_millis(300);

/// Age of the view after which entries that vanished are kept for a while: servers that live write
/// themselves back after an outage of the store.
const OUTAGE_AGE: time::Duration = time::Duration::from_millis(2_500);

/// Time for which a change that was read is told to the others.
const DELTA_TIME: time::Duration = time::Duration::from_millis(400);

/// Time that entries are kept which vanished during an outage of the store.
const RETURN_GRACE: time::Duration = time::Duration::from_millis(1_700);

/// Keeps the view of the platform and decides when it is read again.
#[derive(Debug, Default)]
pub struct ViewKeeper {
    view: site_view::SiteView,
    fingerprint: u64,
    /// Moment at which the view was known to be current.
    as_of: Option<clock::Timestamp>,
    /// Moment at which this instance itself last asked the store and was answered.
    read_at: Option<clock::Timestamp>,
    /// Earliest next read.
    next_read: clock::Timestamp,
    /// Entries that vanished during an outage, with the end of their grace.
    lapsed: collections::BTreeMap<ids::ServerName, clock::Timestamp>,
    /// Newer view that a peer has announced.
    behind: bool,
    /// What the last read that changed the list has changed, with the moment of the read.
    delta: Option<(clock::Timestamp, list_delta::ListDelta)>,
}

impl ViewKeeper {
    /// Returns the view.
    #[must_use]
    pub const fn view(&self) -> &site_view::SiteView {
        &self.view
    }

    /// Returns the hash of the view.
    #[must_use]
    pub const fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Returns the age of the view, when one is known.
    #[must_use]
    pub fn age(&self, now: clock::Timestamp) -> Option<time::Duration> {
        self.as_of.map(|as_of| now.since(as_of))
    }

    /// Returns the age of what this instance itself has read, for its news.
    ///
    /// What others told of the view's age isn't passed on: each hop takes time that nobody counts,
    /// and instances that only tell each other would never find their views old.
    #[must_use]
    pub fn read_age(&self, now: clock::Timestamp) -> time::Duration {
        self.read_at
            .map_or(time::Duration::MAX, |read_at| now.since(read_at))
    }

    /// Returns whether a configuration and a list of backend servers are known.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.as_of.is_some() && self.view.config.is_some()
    }

    /// Returns whether a peer has a newer view.
    #[must_use]
    pub const fn is_behind(&self) -> bool {
        self.behind
    }

    /// Returns when the platform's store is to be read by an instance of this rank.
    #[must_use]
    pub fn read_at(&self, rank: usize) -> clock::Timestamp {
        let Some(as_of) = self.as_of else {
            return self.next_read;
        };
        if self.behind || !self.lapsed.is_empty() {
            return self.next_read;
        }
        let wait = if rank == 0 {
            READ_INTERVAL
        } else {
            STANDBY_AGE + RANK_STEP * u32::try_from(rank).unwrap_or(RANKS).min(RANKS)
        };
        (as_of + wait).max(self.next_read)
    }

    /// Returns what a read has changed lately, for news.
    #[must_use]
    pub fn recent_delta(&self, now: clock::Timestamp) -> Option<&list_delta::ListDelta> {
        self.delta
            .as_ref()
            .filter(|(read_at, _)| now.since(*read_at) < DELTA_TIME)
            .map(|(_, delta)| delta)
    }

    /// Takes over a change that a peer has read, when it leads to the list of that peer; returns
    /// whether it did.
    pub fn take_delta(&mut self, delta: &list_delta::ListDelta, fingerprint: u64) -> bool {
        let fits = (delta.base..delta.revision).contains(&self.view.revision);
        if self.as_of.is_none() || !fits || fingerprint == self.fingerprint {
            return false;
        }
        let mut changed = self.view.clone();
        delta.apply(&mut changed.backends);
        let leads_there = changed.fingerprint() == fingerprint;
        if leads_there {
            self.view = changed;
            self.lapsed.retain(|server, _| !delta.gone.contains(server));
            self.settle();
        }
        leads_there
    }

    /// Takes in a read that was sent at `asked`.
    pub fn read(
        &mut self,
        now: clock::Timestamp,
        asked: clock::Timestamp,
        update: view_change::ViewUpdate,
    ) -> bool {
        let after_outage = self
            .as_of
            .is_some_and(|as_of| asked.since(as_of) > OUTAGE_AGE);
        let before = (self.view.revision, self.view.backends.clone());
        let known: Vec<ids::ServerName> = before.1.keys().cloned().collect();
        let mut written = collections::BTreeSet::new();
        let mut gone = Vec::new();
        for change in update.changes {
            match change {
                view_change::ViewChange::Config(config) => self.take_config(config),
                view_change::ViewChange::Backend(entry) => {
                    self.lapsed.remove(&entry.server);
                    gone.retain(|server| *server != entry.server);
                    written.insert(entry.server.clone());
                    self.view.backends.insert(entry.server.clone(), entry);
                }
                view_change::ViewChange::BackendRemoved(server) => {
                    written.remove(&server);
                    gone.push(server);
                }
            }
        }
        if update.complete {
            gone.extend(known.into_iter().filter(|server| !written.contains(server)));
        }
        for server in gone {
            self.remove(now, server, after_outage);
        }
        self.drop_lapsed(now);
        self.view.revision = if update.complete {
            update.revision
        } else {
            self.view.revision.max(update.revision)
        };
        let after = (self.view.revision, &self.view.backends);
        let delta = list_delta::ListDelta::between((before.0, &before.1), after);
        if self.as_of.is_some() && !delta.is_empty() {
            self.delta = Some((now, delta));
        }
        self.as_of = Some(asked);
        self.read_at = Some(asked);
        self.behind = false;
        self.next_read = now;
        self.settle()
    }

    /// Takes in that a read failed.
    pub fn record_read_failure(&mut self, now: clock::Timestamp) {
        self.next_read = now + FAILURE_PAUSE;
    }

    /// Takes in what a peer says of its view, which it read itself `age` ago; returns whether the
    /// peer's view differs and is newer.
    pub fn apply_update(
        &mut self,
        now: clock::Timestamp,
        revision: u64,
        fingerprint: u64,
        age: time::Duration,
    ) -> bool {
        let as_of = now.before(age);
        if fingerprint == self.fingerprint && self.as_of.is_some() {
            self.as_of = self.as_of.max(Some(as_of));
            self.view.revision = self.view.revision.max(revision);
            return false;
        }
        let newer = revision > self.view.revision;
        self.behind |= newer;
        newer
    }

    /// Takes in the whole view of a peer that was current `age` ago.
    pub fn copied(
        &mut self,
        now: clock::Timestamp,
        view: site_view::SiteView,
        age: time::Duration,
    ) -> bool {
        let as_of = now.before(age);
        if let Some(config) = view.config {
            self.take_config(config);
        }
        let is_fresher = self.as_of.is_none_or(|own| as_of > own);
        let is_newer = view.revision > self.view.revision;
        if is_newer || (is_fresher && view.revision == self.view.revision) {
            self.view.backends = view.backends;
            self.view.revision = view.revision;
            self.as_of = Some(as_of);
            self.behind = false;
            self.lapsed.clear();
        }
        self.settle()
    }

    /// Removes entries whose grace has ended; returns whether the view changed.
    pub fn expire(&mut self, now: clock::Timestamp) -> bool {
        self.drop_lapsed(now);
        self.settle()
    }

    fn take_config(&mut self, config: sync::Arc<crate::SiteConfig>) {
        if config.version > self.view.config_version() {
            self.view.config = Some(config);
        }
    }

    fn remove(&mut self, now: clock::Timestamp, server: ids::ServerName, after_outage: bool) {
        let leaving = self
            .view
            .backends
            .get(&server)
            .is_none_or(|entry| entry.leaving);
        if leaving || !after_outage {
            self.lapsed.remove(&server);
            self.view.backends.remove(&server);
            return;
        }
        self.lapsed.entry(server).or_insert(now + RETURN_GRACE);
    }

    fn drop_lapsed(&mut self, now: clock::Timestamp) {
        let ended: Vec<ids::ServerName> = self
            .lapsed
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(server, _)| server.clone())
            .collect();
        for server in ended {
            self.lapsed.remove(&server);
            self.view.backends.remove(&server);
        }
    }

    fn settle(&mut self) -> bool {
        let fingerprint = self.view.fingerprint();
        let changed = fingerprint != self.fingerprint;
        self.fingerprint = fingerprint;
        changed
    }
}
