//! Tracks the view of the platform.

mod list_changes;
mod view_schedule;

use std::{collections, net, time};

use crate::{
    key_judge, list_delta, list_event, newer_configs, removed_entries, site_view, store_contact,
    view_announcement, view_change, view_position,
};

/// Time for which a change that was read is included in state updates.
const DELTA_LIFETIME: time::Duration = time::Duration::from_millis(400);

/// Tracks the view of the platform, its age, and whether it is outdated.
#[derive(Debug, Default)]
pub struct ViewTracker {
    view: site_view::SiteView,
    fingerprint: u64,
    /// Time at which the position of the view last advanced.
    advanced_at: clock::Timestamp,
    /// Latest time at which the view was known to be current.
    as_of: Option<clock::Timestamp>,
    /// Time at which the last successful read of this instance was sent.
    read_at: Option<clock::Timestamp>,
    /// Time of the last failed read, if none has succeeded since.
    read_failed_at: Option<clock::Timestamp>,
    /// Time and source of the last failed copy, if none has succeeded since.
    failed_copy: Option<(clock::Timestamp, net::Ipv4Addr)>,
    /// When the store is known to have answered.
    contact: store_contact::StoreContact,
    /// Ends of the grace periods of the kept servers of the view.
    expiring: collections::BTreeMap<ids::ServerName, clock::Timestamp>,
    /// Entries that were removed from the list.
    removed: removed_entries::RemovedEntries,
    /// Largest position that another instance has announced with another list.
    other_list_at: view_position::ViewPosition,
    /// Time since which another instance has announced a newer view.
    behind_since: Option<clock::Timestamp>,
    /// Whether the store was restored from a copy since the last read, so that the next one is due
    /// at once.
    is_restored: bool,
    /// Whether the next read has to be complete: the view was copied, the store has compacted its
    /// history, or it was restored from a copy.
    needs_complete_read: bool,
    /// Versions of the configuration that other instances have and this one lacks.
    newer_configs: newer_configs::NewerConfigs,
    /// Whether another instance has a newer configuration of which it doesn't know the workspaces, so
    /// that the store is read.
    needs_workspaces: bool,
    /// Last change of the list by a read, with the time of the read.
    delta: Option<(clock::Timestamp, list_delta::ListDelta)>,
    /// Changes of the list that haven't been logged.
    list_events: Vec<list_event::ListEvent>,
}

impl ViewTracker {
    /// Returns the view.
    #[must_use]
    pub const fn view(&self) -> &site_view::SiteView {
        &self.view
    }

    /// Returns the fingerprint of the view.
    #[must_use]
    pub const fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Returns the age of the view, or `None` without a view.
    #[must_use]
    pub fn age(&self, now: clock::Timestamp) -> Option<time::Duration> {
        self.as_of.map(|as_of| now.since(as_of))
    }

    /// Returns the age of the last read by this instance itself, for its state updates.
    ///
    /// An age received from another instance isn't forwarded: it lacks the delay of each hop, and
    /// instances that only confirmed each other's views would never detect an outdated one.
    #[must_use]
    pub fn read_age(&self, now: clock::Timestamp) -> time::Duration {
        self.read_at
            .map_or(time::Duration::MAX, |read_at| now.since(read_at))
    }

    /// Returns whether a configuration and a list of backend servers have been received.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.as_of.is_some() && self.view.config.is_some()
    }

    /// Returns whether another instance has a newer view.
    #[must_use]
    pub const fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Returns whether another instance has a newer list, whichever configuration it has.
    #[must_use]
    pub fn is_list_behind(&self) -> bool {
        self.other_list_at > self.view.position
    }

    /// Returns the time for which the configuration has been known to be outdated; `None` while none is
    /// known to be newer.
    #[must_use]
    pub fn config_outdated_for(&self, now: clock::Timestamp) -> Option<time::Duration> {
        let is_fresh = key_judge::ConfigStanding::is_fresh(self.age(now));
        self.newer_configs.outdated_for(now, is_fresh)
    }

    /// Returns the last change of the list by a recent read, for state updates.
    #[must_use]
    pub fn recent_delta(&self, now: clock::Timestamp) -> Option<&list_delta::ListDelta> {
        self.delta
            .as_ref()
            .filter(|(read_at, _)| now.since(*read_at) < DELTA_LIFETIME)
            .map(|(_, delta)| delta)
    }

    /// Applies a change of the list that another instance has read, if the result is that instance's
    /// list; returns whether the change was applied.
    ///
    /// The instance may have another configuration, which takes longer to copy than a change of the
    /// list.
    pub fn apply_delta(
        &mut self,
        now: clock::Timestamp,
        delta: &list_delta::ListDelta,
        announcement: &view_announcement::ViewAnnouncement,
    ) -> bool {
        self.record_contact(now, announcement);
        let is_unknown = announcement.fingerprint != self.fingerprint;
        if self.as_of.is_none() || !delta.follows(self.view.position) || !is_unknown {
            return false;
        }
        let mut changed = self.view.clone();
        delta.apply(&mut changed);
        let version = announcement.config_version;
        let matches = changed.fingerprint_with(version) == announcement.fingerprint;
        if matches {
            for server in &delta.gone {
                self.remove(now, server);
            }
            for entry in &delta.written {
                self.list_entry(now, entry.clone());
            }
            self.update_fingerprint();
        }
        matches
    }

    /// Applies a read that was sent at `sent_at`; returns whether the view changed.
    ///
    /// A read of an earlier era is ignored. The first read of a later era has to be complete, since
    /// the revisions of the two eras aren't comparable. Of an answer that the view has overtaken
    /// since it was sent, only what is newer than the view is applied.
    pub fn apply_read(
        &mut self,
        now: clock::Timestamp,
        sent_at: clock::Timestamp,
        update: view_change::ViewUpdate,
    ) -> bool {
        let known_era = self.view.position.era;
        let era = update.era.unwrap_or(0);
        let is_restored = self.as_of.is_some() && era > known_era;
        if era < known_era {
            self.record_read_failure(now);
            return false;
        }
        if is_restored && !update.complete {
            self.is_restored = true;
            self.needs_complete_read = true;
            return false;
        }
        self.contact.record_answer(sent_at);
        if is_restored {
            self.contact.record_restoration(sent_at);
        }
        let is_overtaken = !is_restored && self.has_overtaken(&update, sent_at);
        let before = self.view.clone();
        if update.complete && is_overtaken {
            self.apply_configs(&update);
        } else {
            self.apply_changes(now, &update, is_restored);
        }
        self.remove_expired(now);
        if !is_overtaken {
            self.advance(now, view_position::ViewPosition::new(era, update.revision));
            self.behind_since = None;
            self.needs_complete_read &= !update.complete;
        }
        let delta = list_delta::ListDelta::between(&before, &self.view);
        if self.as_of.is_some() && !is_restored && !delta.is_empty() {
            self.delta = Some((now, delta));
        }
        self.as_of = self.as_of.max(Some(sent_at));
        self.read_at = self.read_at.max(Some(sent_at));
        self.read_failed_at = None;
        self.failed_copy = None;
        self.is_restored = false;
        self.needs_workspaces &= !update.complete;
        self.update_fingerprint()
    }

    /// Returns whether the view is newer than the answer of a read that was sent at `sent_at`.
    ///
    /// A store whose revision is smaller than one that was known before the read has lost changes
    /// without a new era; its answer counts.
    fn has_overtaken(&self, update: &view_change::ViewUpdate, sent_at: clock::Timestamp) -> bool {
        update.revision < self.view.position.revision
            && (self.advanced_at >= sent_at || !update.complete)
    }

    /// Sets the position of the view.
    fn advance(&mut self, now: clock::Timestamp, position: view_position::ViewPosition) {
        if position != self.view.position {
            self.advanced_at = now;
            self.view.position = position;
        }
    }

    /// Applies the announcement of another instance's view; returns whether the announced view
    /// differs and is newer, in its position or in its configuration.
    pub fn apply_announcement(
        &mut self,
        now: clock::Timestamp,
        announcement: &view_announcement::ViewAnnouncement,
    ) -> bool {
        self.record_contact(now, announcement);
        let own = self.view.position;
        if announcement.config_version > self.view.config_version() {
            self.newer_configs.record(now, announcement.config_version);
        }
        if announcement.fingerprint == self.fingerprint && self.as_of.is_some() {
            // A read of an earlier era doesn't show the store as it is now.
            if announcement.position.era >= own.era {
                self.as_of = self.as_of.max(Some(now.before(announcement.age)));
                self.advance(now, own.max(announcement.position));
            }
            return false;
        }
        if announcement.position > own
            && self.view.fingerprint_with(announcement.config_version) != announcement.fingerprint
        {
            self.other_list_at = self.other_list_at.max(announcement.position);
        }
        let newer =
            announcement.position > own || announcement.config_version > self.view.config_version();
        self.confirm_list(now, announcement);
        if newer {
            self.behind_since.get_or_insert(now);
        }
        newer
    }

    /// Advances the position to that of another instance which has the same list and a newer
    /// configuration, so that later changes of the list can be applied before the configuration
    /// has been copied.
    fn confirm_list(
        &mut self,
        now: clock::Timestamp,
        announcement: &view_announcement::ViewAnnouncement,
    ) {
        let version = announcement.config_version;
        let is_ahead = announcement.position > self.view.position
            && announcement.position.era == self.view.position.era
            && version > self.view.config_version();
        if self.as_of.is_none() || !is_ahead {
            return;
        }
        if self.view.fingerprint_with(version) == announcement.fingerprint {
            self.advance(now, announcement.position);
            // A watch from this position would not return the configuration.
            self.needs_complete_read = true;
        }
    }

    /// Applies the view of another instance that was current `age` ago; returns whether the view
    /// changed. Of a view of an earlier era only a newer configuration is taken.
    ///
    /// A configuration whose source doesn't know of workspaces isn't taken, since it doesn't tell who
    /// may ask; the store is read for it.
    pub fn apply_copy(
        &mut self,
        now: clock::Timestamp,
        view: site_view::SiteView,
        age: time::Duration,
    ) -> bool {
        let as_of = now.before(age);
        if let Some(config) = &view.config {
            self.apply_copied_config(config);
        }
        self.behind_since = None;
        self.failed_copy = None;
        let is_fresher = self.as_of.is_none_or(|own| as_of > own);
        let is_newer = view.position > self.view.position;
        if is_newer || (is_fresher && view.position == self.view.position) {
            if self.as_of.is_some() && view.position.era > self.view.position.era {
                self.contact.record_restoration(now);
            }
            let position = view.position;
            self.replace_list(now, view);
            self.advance(now, position);
            self.as_of = Some(as_of);
            self.needs_complete_read = true;
        }
        self.update_fingerprint()
    }

    /// Records when the store has answered another instance, by the announcement of its view.
    fn record_contact(
        &mut self,
        now: clock::Timestamp,
        announcement: &view_announcement::ViewAnnouncement,
    ) {
        let read_at = now.before(announcement.age);
        // An instance that has never read the store announces the largest age.
        let has_read = read_at > clock::Timestamp::default();
        if has_read && announcement.position.era >= self.view.position.era {
            self.contact.record_answer(read_at);
        }
    }

    fn update_fingerprint(&mut self) -> bool {
        let fingerprint = self.view.fingerprint();
        let changed = fingerprint != self.fingerprint;
        self.fingerprint = fingerprint;
        changed
    }
}
