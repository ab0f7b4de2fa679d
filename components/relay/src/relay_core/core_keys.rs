//! Admission of requests by their keys.

use crate::{key_judge, relay_core, route_rule, site_config};

impl relay_core::RelayCore {
    /// Decides whether a request on a route of the configuration is admitted.
    pub(super) fn authorize(
        &self,
        now: clock::Timestamp,
        config: &site_config::SiteConfig,
        route: &route_rule::RouteRule,
        key: workspace::PresentedKey,
    ) -> Result<key_judge::Admission, key_judge::KeyRefusal> {
        let standing = self.config_standing(now);
        key_judge::judge(&config.workspaces, route, key, standing)
    }

    /// Returns how well this instance knows the configuration in force.
    #[must_use]
    pub fn config_standing(&self, now: clock::Timestamp) -> key_judge::ConfigStanding {
        let others = self.settings.seeds.iter();
        let is_alone = others
            .filter(|seed| **seed != self.settings.address)
            .count()
            == 0;
        key_judge::ConfigStanding::builder()
            .uptime(now.since(clock::Timestamp::default()))
            .has_contact(is_alone || self.instances.has_contact())
            .maybe_outdated_for(self.tracker.config_outdated_for(now))
            .maybe_view_age(self.tracker.age(now))
            .build()
    }
}
