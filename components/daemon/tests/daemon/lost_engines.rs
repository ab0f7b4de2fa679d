//! Engines and servers that die in the middle of work.

use crate::common;

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_whose_decode_engine_dies_goes_on_elsewhere_without_a_gap() {
    let figures = fakes::SiteFigures::builder().decode_engines(2).build();
    let (site, instance) = common::site_with_instance(figures).await;
    let caller = fakes::SiteCaller::new("coilquote");
    let prompt = "#spring out=60 draft a quote";
    let mut answer = caller
        .chat_stream(instance.callers(), "quote", prompt)
        .await
        .unwrap();
    for _ in 0..5 {
        answer.read_more().await.unwrap();
    }

    let decoding = site.decode.iter().find(|engine| engine.holds_work());
    decoding.unwrap().kill();
    answer.read_all().await.unwrap();

    assert!(answer.is_whole(), "{}", answer.text);
    assert_eq!(
        answer.chat_text(),
        fakes::AnswerPlan::of_prompt(prompt).text(60)
    );
    common::wait_until(|| site.fleet.held_pieces() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_can_go_on_nowhere_ends_with_an_error_event() {
    let (site, instance) = common::site_with_instance(fakes::SiteFigures::default()).await;
    let caller = fakes::SiteCaller::new("coilquote");
    let mut answer = caller
        .chat_stream(instance.callers(), "quote", "#spring out=100 draft")
        .await
        .unwrap();
    answer.read_more().await.unwrap();

    site.decode[0].kill();
    answer.read_all().await.unwrap();

    assert!(!answer.is_whole());
    assert!(answer.text.contains("event: error"), "{}", answer.text);
    common::wait_until(|| site.fleet.held_pieces() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_confirmation_whose_server_dies_ends_as_unknown_and_one_without_a_server_as_not_run() {
    let (site, instance) = common::site_with_instance(fakes::SiteFigures::default()).await;
    let caller = fakes::SiteCaller::new("addis");
    let address = instance.callers();
    site.orders[0].behave(fakes::ServiceBehaviour::RunAndHang);
    let first = http::Request::post("/orders/confirm/1");
    let second = http::Request::post("/orders/confirm/2");
    let sender = caller.clone();
    let hanging = tokio::spawn(async move { sender.send(address, first, "").await });
    common::wait_until(|| site.orders[0].runs().len() == 1).await;

    site.orders[0].kill();
    let lost = hanging.await.unwrap().unwrap();
    let refused = caller.send(address, second, "").await.unwrap();

    assert_eq!(lost.outcome(), Some(border::Outcome::Unknown));
    assert!(lost.header("retry-after").is_empty(), "{lost:?}");
    assert_eq!(refused.outcome(), Some(border::Outcome::NotRun));
    assert!(!refused.header("retry-after").is_empty(), "{refused:?}");
    assert_eq!(site.orders[0].runs().len(), 1);
}
