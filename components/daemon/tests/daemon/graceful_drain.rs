//! Graceful shutdown.

use crate::common;

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_finishes_what_is_in_flight_and_refuses_what_is_new() {
    let (site, instance) = common::site_with_instance(fakes::SiteFigures::default()).await;
    let address = instance.callers();
    let caller = fakes::SiteCaller::new("coilquote");
    let mut answer = caller
        .chat_stream(address, "quote", "#spring out=100 draft")
        .await
        .unwrap();
    answer.read_more().await.unwrap();

    let draining = tokio::spawn(instance.drain());
    let mut ready = http::StatusCode::OK;
    while ready == http::StatusCode::OK {
        let request = http::Request::get("/readyz");
        ready = caller.send(address, request, "").await.unwrap().status;
    }
    let refused = caller
        .chat(address, "quote", "#late out=2 draft")
        .await
        .unwrap();
    answer.read_all().await.unwrap();
    let is_idle = draining.await.unwrap();

    assert!(answer.is_whole(), "{}", answer.text);
    assert!(is_idle);
    assert_eq!(refused.outcome(), Some(border::Outcome::NotRun));
    assert!(caller.chat(address, "quote", "#gone out=2").await.is_err());
    assert_eq!(site.fleet.held_pieces(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_is_bounded_by_its_setting() {
    let site = fakes::SiteStand::start(fakes::SiteFigures::default())
        .await
        .unwrap();
    let mut settings = site.settings(1);
    settings.drain.timeout_ms = 200;
    let instance = common::start_instance(&site, settings).await;
    let caller = fakes::SiteCaller::new("coilquote");
    let mut answer = caller
        .chat_stream(instance.callers(), "quote", "#spring out=400 draft")
        .await
        .unwrap();
    answer.read_more().await.unwrap();

    let is_idle = instance.drain().await;

    assert!(!is_idle);
}
