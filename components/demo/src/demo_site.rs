//! The instances and stand-ins of the demo.

use std::{sync, time};

use crate::{balancer, demo_error, demo_options};

/// Time that instances get to become ready.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Time between two looks at something that is waited for.
pub(crate) const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Time after which the balancer notices that an instance isn't ready any more.
const NOTICE_DELAY: time::Duration = time::Duration::from_millis(500);

/// Time after which an instance can vouch for a key that has just been made.
const KEY_SETTLE: time::Duration = time::Duration::from_millis(5_500);

/// The instances and stand-ins of the demo.
pub(crate) struct DemoSite {
    pub(crate) stands: fakes::SiteStand,
    pub(crate) balancer: sync::Arc<balancer::Balancer>,
    /// Instances by place; `None` once one has ended.
    pub(crate) instances: Vec<Option<daemon::DaemonHandle>>,
    /// Entries in the platform's list, by place; `None` once one is off the list.
    entries: Vec<Option<border::InstanceEntry>>,
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
        let mut site = Self {
            stands: fakes::SiteStand::start(figures).await?,
            balancer: sync::Arc::new(balancer::Balancer::new()),
            instances: Vec::new(),
            entries: Vec::new(),
        };
        let mut targets = Vec::new();
        for _ in 0..options.instances {
            targets.push(site.add_instance(options)?);
        }
        site.wait_ready().await?;
        tokio::time::sleep(KEY_SETTLE).await;
        targets
            .into_iter()
            .for_each(|target| site.balancer.add(target));
        Ok(site)
    }

    /// Starts one more instance and waits until it is ready.
    pub(crate) async fn start_instance(
        &mut self,
        options: &demo_options::DemoOptions,
    ) -> Result<(), demo_error::DemoError> {
        let target = self.add_instance(options)?;
        self.wait_ready().await?;
        tokio::time::sleep(KEY_SETTLE).await;
        self.balancer.add(target);
        Ok(())
    }

    /// Drains the instance at a place; returns whether it finished all that was in flight.
    pub(crate) async fn drain(&mut self, place: usize) -> bool {
        let Some(instance) = self.instances.get_mut(place).and_then(Option::take) else {
            return true;
        };
        if let Some(Some(entry)) = self.entries.get_mut(place) {
            entry.leaving = true;
        }
        self.list_entries();
        let draining = instance.drain();
        let balancer = sync::Arc::clone(&self.balancer);
        let noticing = async {
            // The balancer looks whether instances are ready now and then.
            tokio::time::sleep(NOTICE_DELAY).await;
            balancer.remove(place);
        };
        let (drained, ()) = tokio::join!(draining, noticing);
        self.unlist(place);
        drained
    }

    /// Takes the instance at a place from the platform's list.
    pub(crate) fn unlist(&mut self, place: usize) {
        if let Some(entry) = self.entries.get_mut(place) {
            *entry = None;
        }
        self.list_entries();
    }

    fn list_entries(&self) {
        let entries = self.entries.iter().flatten();
        self.stands.list.set(entries.cloned().collect());
    }

    fn add_instance(
        &mut self,
        options: &demo_options::DemoOptions,
    ) -> Result<balancer::Target, demo_error::DemoError> {
        let place = self.instances.len();
        let id = u64::try_from(place).unwrap_or(u64::MAX).saturating_add(1);
        let daemon_options = daemon::DaemonOptions::builder()
            .seed(options.seed + id)
            .build();
        let instance = daemon::Daemon::start(self.stands.settings(id), &daemon_options)?;
        self.entries
            .push(Some(self.stands.instance(id, instance.peers())));
        self.list_entries();
        let address = instance.callers();
        self.instances.push(Some(instance));
        Ok(balancer::Target { place, address })
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
        let everybody = self.running().count();
        let sees_all = |instance: &daemon::DaemonHandle| {
            instance.is_ready() && instance.snapshot().view.usable().count() >= everybody
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
