//! Decides whether a request is admitted under the key that it presents.
//!
//! Load: keys that are added and withdrawn while instances restart, are cut off, and copy older
//! configurations from each other. A key that a newer configuration may have withdrawn isn't
//! accepted for long, and a sound key isn't refused for good by an instance that may not know it.

use std::{sync, time};

use crate::route_rule;

/// Time after the start of a process during which it may not have heard of newer configurations.
const START_TIME: time::Duration = time::Duration::from_secs(3);

/// Time after the start of a process for which it waits for the first state update of another
/// instance.
const FIRST_CONTACT_TIME: time::Duration = time::Duration::from_millis(300);

/// Time for which an outdated configuration still decides, which a newer one needs to spread.
const OUTDATED_TIME: time::Duration = time::Duration::from_secs(2);

/// Largest age of the view with which an outdated configuration still decides: a newer one was written
/// after the view was current.
const OUTDATED_AGE: time::Duration = time::Duration::from_secs(3);

/// Largest age of a view that shows that a key isn't in force.
const FRESH_AGE: time::Duration = time::Duration::from_millis(1_500);

/// How a request is admitted.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Admission {
    /// The configuration names no workspaces, so that requests need no keys.
    #[default]
    NotNeeded,
    /// The request has no key and needs none on its route.
    Anonymous,
    /// The request has a key of this workspace.
    Workspace(sync::Arc<workspace::WorkspaceRule>),
}

impl Admission {
    /// Returns the workspace of the request.
    #[must_use]
    pub const fn workspace(&self) -> Option<&sync::Arc<workspace::WorkspaceRule>> {
        match self {
            Self::NotNeeded | Self::Anonymous => None,
            Self::Workspace(workspace) => Some(workspace),
        }
    }
}

/// Why a request isn't admitted.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum KeyRefusal {
    /// The key belongs to no workspace, or is missing.
    UnknownKey,
    /// The instance may lack the configuration that decides; a retry may be admitted.
    KeysNotKnown,
}

/// How well an instance knows the configuration in force.
#[derive(Clone, Copy, Debug, bon::Builder)]
pub struct ConfigStanding {
    /// Time since the start of the process.
    pub uptime: time::Duration,
    /// Whether the process has heard of another instance, or has none to hear of.
    pub has_contact: bool,
    /// Time since a newer configuration than the own one was first announced.
    pub outdated_for: Option<time::Duration>,
    /// Age of the view; `None` without one.
    pub view_age: Option<time::Duration>,
}

impl ConfigStanding {
    /// Returns whether a view of this age shows the store as it is.
    pub(crate) fn is_fresh(view_age: Option<time::Duration>) -> bool {
        view_age.is_some_and(|age| age <= FRESH_AGE)
    }

    /// Returns whether the configuration may admit requests: it isn't known to be outdated, or only
    /// since it began to spread. A process that has just started may have a restored store's or an
    /// old instance's, and one that was paused an old one: they wait for a newer one at once.
    fn may_admit(&self) -> bool {
        let allowed = if self.uptime < START_TIME {
            time::Duration::ZERO
        } else {
            OUTDATED_TIME
        };
        let is_recent = self.view_age.is_some_and(|age| age < OUTDATED_AGE);
        let is_current = self
            .outdated_for
            .is_none_or(|outdated_for| outdated_for < allowed && is_recent);
        is_current && (self.has_contact || self.uptime >= FIRST_CONTACT_TIME)
    }

    /// Returns whether a key that the configuration lacks is known not to be in force.
    fn may_deny(&self) -> bool {
        self.uptime >= START_TIME && self.outdated_for.is_none() && Self::is_fresh(self.view_age)
    }
}

/// Decides whether a request on a route is admitted.
///
/// # Errors
///
/// Returns why the request isn't admitted.
pub fn judge(
    workspaces: &workspace::WorkspaceTable,
    route: &route_rule::RouteRule,
    key: workspace::PresentedKey,
    standing: ConfigStanding,
) -> Result<Admission, KeyRefusal> {
    if workspaces.is_empty() {
        return Ok(Admission::NotNeeded);
    }
    if workspaces.is_unknown() || !standing.may_admit() {
        return Err(KeyRefusal::KeysNotKnown);
    }
    let admission = match key {
        workspace::PresentedKey::Absent => route.anonymous.then_some(Admission::Anonymous),
        workspace::PresentedKey::Malformed => None,
        workspace::PresentedKey::Present(digest) => workspaces
            .holder(digest)
            .map(|workspace| Admission::Workspace(sync::Arc::clone(workspace))),
    };
    admission.ok_or(if standing.may_deny() {
        KeyRefusal::UnknownKey
    } else {
        KeyRefusal::KeysNotKnown
    })
}
