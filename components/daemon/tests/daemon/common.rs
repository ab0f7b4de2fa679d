//! Fixtures of a small site.

use std::time;

/// Longest wait for something that a test needs.
const PATIENCE: time::Duration = time::Duration::from_secs(10);

/// Time that these instances give a caller that doesn't read.
const CALLER_PATIENCE: time::Duration = time::Duration::from_millis(300);

/// Time between two looks at something that a test waits for.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Starts a site and one instance that is ready.
pub async fn site_with_instance(
    figures: fakes::SiteFigures,
) -> (fakes::SiteStand, daemon::DaemonHandle) {
    let site = fakes::SiteStand::start(figures).await.unwrap();
    let instance = start_instance(&site, site.settings(1)).await;
    (site, instance)
}

/// Starts an instance with its settings and waits until it is ready.
pub async fn start_instance(
    site: &fakes::SiteStand,
    settings: settings::InstanceSettings,
) -> daemon::DaemonHandle {
    let id = settings.instance.id.0;
    let options = daemon::DaemonOptions::builder()
        .traffic_threads(2)
        .seed(1)
        .caller_patience(CALLER_PATIENCE)
        .build();
    let instance = daemon::Daemon::start(settings, &options).unwrap();
    site.list.set(vec![site.instance(id, instance.peers())]);
    // A lone instance owns the only cell once it has seen itself in the platform's list.
    let owns_cell = || !instance.snapshot().owned_cells.is_empty();
    wait_until(|| instance.is_ready() && owns_cell()).await;
    instance
}

/// Waits until a condition holds.
pub async fn wait_until(condition: impl Fn() -> bool) {
    let begin = time::Instant::now();
    while !condition() {
        assert!(begin.elapsed() < PATIENCE, "the condition didn't come true");
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}
