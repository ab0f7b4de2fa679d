//! Connections that go silent while new ones work.

use std::time;

use crate::common;

/// Time after which a stream without tokens counts as silent in these tests, in milliseconds.
const TOKEN_GAP_MS: u64 = 400;

async fn site() -> (fakes::SiteStand, daemon::DaemonHandle) {
    let figures = fakes::SiteFigures::builder().call_timeout_ms(500).build();
    let site = fakes::SiteStand::start(figures).await.unwrap();
    let mut settings = site.settings(1);
    settings.timeouts.token_gap_ms = TOKEN_GAP_MS;
    let instance = common::start_instance(&site, settings).await;
    (site, instance)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_on_a_silent_connection_goes_on_over_a_new_one() {
    let (site, instance) = site().await;
    let caller = fakes::SiteCaller::new("coilquote");
    let prompt = "#coil out=60 draft a quote";
    let mut answer = caller
        .chat_stream(instance.callers(), "quote", prompt)
        .await
        .unwrap();
    answer.read_more().await.unwrap();

    site.decode[0].silence();
    answer.read_all().await.unwrap();

    assert!(answer.is_whole(), "{}", answer.text);
    assert_eq!(
        answer.chat_text(),
        fakes::AnswerPlan::of_prompt(prompt).text(60)
    );
    common::wait_until(|| site.fleet.held_pieces() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prefill_over_a_silent_connection_is_asked_for_again_without_running_twice() {
    let (site, instance) = site().await;
    let caller = fakes::SiteCaller::new("coilquote");
    let warm = caller
        .chat(instance.callers(), "quote", "#warm out=2 hello")
        .await
        .unwrap();
    assert_eq!(warm.status, http::StatusCode::OK, "{}", warm.body);

    site.prefill[0].silence();
    let answer = caller
        .chat(instance.callers(), "dossier", "#cold out=3 hello")
        .await
        .unwrap();

    assert_eq!(answer.status, http::StatusCode::OK, "{}", answer.body);
    let ledger = site.fleet.ledger();
    assert!(ledger.attempts.values().all(|attempts| attempts.len() == 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_confirmation_on_a_silent_connection_ends_as_unknown_and_runs_at_most_once() {
    let (site, instance) = site().await;
    let caller = fakes::SiteCaller::new("addis");
    let first = http::Request::post("/orders/confirm/1");
    let second = http::Request::post("/orders/confirm/2");
    let third = http::Request::post("/orders/confirm/3");
    caller.send(instance.callers(), first, "").await.unwrap();

    site.orders[0].silence();
    let lost = caller.send(instance.callers(), second, "").await.unwrap();
    let begin = time::Instant::now();
    let fine = caller.send(instance.callers(), third, "").await.unwrap();

    assert_eq!(lost.outcome(), Some(border::Outcome::Unknown));
    assert_eq!(fine.outcome(), Some(border::Outcome::Ran), "{}", fine.body);
    assert!(begin.elapsed() < time::Duration::from_secs(2));
    assert!(site.orders[0].runs().values().all(|runs| *runs == 1));
}
