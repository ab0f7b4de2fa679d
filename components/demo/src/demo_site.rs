//! The instances and stand-ins of the demo.

use std::{sync, time};

use crate::{balancer, demo_error, demo_options};

/// Time that instances get to become ready.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Time between two looks at something that is waited for.
pub(crate) const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Time for which the demo's instances remember keys; before it they can't vouch for any.
const KEY_RETENTION: time::Duration = time::Duration::from_secs(2);

/// The instances and stand-ins of the demo.
pub(crate) struct DemoSite {
    pub(crate) stands: fakes::SiteStand,
    pub(crate) balancer: sync::Arc<balancer::Balancer>,
    /// Instances by place; `None` once one has ended.
    pub(crate) instances: Vec<Option<daemon::DaemonHandle>>,
}

impl DemoSite {
    /// Starts everything and waits until all instances are ready.
    pub(crate) async fn start(
        options: &demo_options::DemoOptions,
    ) -> Result<Self, demo_error::DemoError> {
        let figures = fakes::SiteFigures::builder()
            .prefill_engines(3)
            .decode_engines(3)
            .order_servers(2)
            .build();
        let stands = fakes::SiteStand::start(figures).await?;
        let mut instances = Vec::new();
        let mut entries = Vec::new();
        let mut targets = Vec::new();
        for id in 1..=options.instances {
            let daemon_options = daemon::DaemonOptions::builder()
                .seed(options.seed + id)
                .key_retention(KEY_RETENTION)
                .build();
            let instance = daemon::Daemon::start(stands.settings(id), &daemon_options)?;
            entries.push(stands.instance(id, instance.peers()));
            targets.push(balancer::Target {
                place: instances.len(),
                address: instance.callers(),
            });
            instances.push(Some(instance));
        }
        stands.list.set(entries);
        let site = Self {
            stands,
            balancer: sync::Arc::new(balancer::Balancer::new(targets)),
            instances,
        };
        site.wait_ready().await?;
        tokio::time::sleep(KEY_RETENTION).await;
        Ok(site)
    }

    /// Returns the instances that run.
    pub(crate) fn running(&self) -> impl Iterator<Item = &daemon::DaemonHandle> {
        self.instances.iter().flatten()
    }

    /// Returns whether all instances that run have a revision in force.
    pub(crate) fn has_in_force(&self, revision: ids::Revision) -> bool {
        self.running()
            .all(|instance| instance.snapshot().state.revision >= revision)
    }

    async fn wait_ready(&self) -> Result<(), demo_error::DemoError> {
        let everybody = self.instances.len();
        let sees_all = |instance: &daemon::DaemonHandle| {
            instance.is_ready() && instance.snapshot().view.usable().count() == everybody
        };
        let is_ready = wait_for(READY_TIMEOUT, || self.running().all(sees_all)).await;
        if is_ready {
            return Ok(());
        }
        Err(demo_error::DemoError::NotReady {
            seconds: READY_TIMEOUT.as_secs(),
        })
    }
}

/// Waits until a condition holds; returns whether it came to hold within `limit`.
pub(crate) async fn wait_for(limit: time::Duration, condition: impl Fn() -> bool) -> bool {
    let begin = time::Instant::now();
    while !condition() {
        if begin.elapsed() > limit {
            return false;
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    true
}
