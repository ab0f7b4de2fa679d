//! The platform's balancer before the instances.

use std::{net, sync, time};

/// Tries that a balancer gives a request that provably didn't run.
const TRIES: usize = 8;

/// Longest wait before the next try.
const PAUSE_LIMIT: time::Duration = time::Duration::from_secs(1);

/// One instance behind the balancer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Target {
    pub(crate) place: usize,
    pub(crate) address: net::SocketAddr,
}

/// The platform's balancer; it learns of a death by failing connections alone.
pub(crate) struct Balancer {
    targets: sync::RwLock<Vec<Target>>,
}

impl Balancer {
    pub(crate) const fn new() -> Self {
        Self {
            targets: sync::RwLock::new(Vec::new()),
        }
    }

    /// Sends to one more instance.
    pub(crate) fn add(&self, target: Target) {
        let mut targets = self
            .targets
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        targets.push(target);
    }

    /// Stops sending to an instance.
    pub(crate) fn remove(&self, place: usize) {
        let mut targets = self
            .targets
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        targets.retain(|target| target.place != place);
    }

    /// Returns the targets of the tries of a request.
    pub(crate) fn tries(&self, number: usize) -> impl Iterator<Item = Option<Target>> {
        (0..TRIES).map(move |attempt| {
            let targets = self
                .targets
                .read()
                .unwrap_or_else(sync::PoisonError::into_inner);
            let count = targets.len().max(1);
            targets.get((number + attempt) % count).copied()
        })
    }
}

/// Waits as long as a refusal asks for.
pub(crate) async fn pause(retry_after: &str) {
    let asked = retry_after.parse().unwrap_or(50);
    tokio::time::sleep(time::Duration::from_millis(asked).min(PAUSE_LIMIT)).await;
}
