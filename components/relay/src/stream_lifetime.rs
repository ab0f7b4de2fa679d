//! Longest time from the begin of a stream until its caller takes it up.
//!
//! The load that this answers: the operator lowers a timeout, takes `resumable` away or removes a route
//! while streams are open. These live by the configuration under which they began, and their callers by
//! deadlines of their own.

use std::time;

use crate::{site_config, stream_search, view_change};

/// Time for which streams may be open at least, since a process doesn't know the configurations of before
/// its start, nor the deadlines of callers.
const MIN_LIFETIME: time::Duration = time::Duration::from_secs(30);

/// Time after a route's timeout within which callers still take up its streams.
const TAKE_UP_TIME: time::Duration = time::Duration::from_secs(1);

/// Time within which all instances apply a configuration.
const APPLY_TIME: time::Duration = time::Duration::from_secs(5);

/// Lifetime of streams that began under an earlier configuration.
#[derive(Clone, Copy, Debug)]
struct EarlierLifetime {
    lifetime: time::Duration,
    /// Time until which the last of these streams may be taken up.
    open_until: clock::Timestamp,
}

/// Longest time from the begin of a stream until its caller takes it up, by the configurations under which
/// streams that are open may have begun.
#[derive(Debug, Default)]
pub(crate) struct StreamLifetimes {
    /// Lifetime of streams that begin now; zero if none may be taken up.
    current: time::Duration,
    earlier: Vec<EarlierLifetime>,
}

impl StreamLifetimes {
    /// Applies the configuration in force.
    pub(crate) fn apply_config(&mut self, now: clock::Timestamp, config: &site_config::SiteConfig) {
        let lifetime = lifetime_under(config);
        if lifetime < self.current {
            self.add_earlier(now + APPLY_TIME, self.current);
        }
        self.current = lifetime;
        self.earlier.retain(|earlier| earlier.open_until > now);
    }

    /// Applies the lifetime of open streams that another instance knows.
    pub(crate) fn apply_report(&mut self, now: clock::Timestamp, lifetime: time::Duration) {
        if lifetime > self.configured(now) {
            self.add_earlier(now, lifetime);
        }
    }

    /// Records that streams with a lifetime may have begun until `begun_until`.
    fn add_earlier(&mut self, begun_until: clock::Timestamp, lifetime: time::Duration) {
        self.earlier.push(EarlierLifetime {
            lifetime,
            open_until: begun_until + lifetime,
        });
    }

    /// Returns the longest time for which a stream may be open.
    pub(crate) fn longest(&self, now: clock::Timestamp) -> time::Duration {
        self.configured(now).max(MIN_LIFETIME)
    }

    /// Returns the longest lifetime by the configurations that this process knows, if the callers' deadlines
    /// are those of their routes.
    pub(crate) fn configured(&self, now: clock::Timestamp) -> time::Duration {
        let open = self
            .earlier
            .iter()
            .filter(|earlier| earlier.open_until > now);
        open.map(|earlier| earlier.lifetime)
            .fold(self.current, time::Duration::max)
    }

    /// Returns the longest lifetime by the configurations that the store's history shows. That of before the
    /// first one that it shows isn't known, unless it has kept all changes.
    pub(crate) fn shown(
        &self,
        now: clock::Timestamp,
        history: &stream_search::ListHistory,
    ) -> time::Duration {
        let configs = history.changes.iter().filter_map(|change| match change {
            view_change::ViewChange::Config(config) => Some(lifetime_under(config)),
            _ => None,
        });
        match configs.max() {
            None => self.configured(now),
            Some(shown) if history.is_whole => shown.max(self.configured(now)),
            Some(shown) => shown.max(self.longest(now)),
        }
    }
}

/// Returns the longest lifetime of streams that begin under a configuration.
fn lifetime_under(config: &site_config::SiteConfig) -> time::Duration {
    let resumable = config.routes.iter().filter(|route| route.resumable);
    resumable
        .map(|route| route.timeout + TAKE_UP_TIME)
        .max()
        .unwrap_or_default()
}
