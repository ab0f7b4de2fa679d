//! Requests and calls from a caller to engines and servers and back.

use crate::common;

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_answer_is_whole_and_frees_all_engine_memory() {
    let (site, instance) = common::site_with_instance(fakes::SiteFigures::default()).await;
    let caller = fakes::SiteCaller::new("coilquote");
    let prompt = "#spring out=12 draft a quote";

    let mut answer = caller
        .chat_stream(instance.callers(), "quote", prompt)
        .await
        .unwrap();
    answer.read_all().await.unwrap();

    assert!(answer.is_whole(), "{}", answer.text);
    assert_eq!(
        answer.chat_text(),
        fakes::AnswerPlan::of_prompt(prompt).text(12)
    );
    assert_eq!(answer.header("plantainreach-outcome"), "ran");
    common::wait_until(|| site.fleet.held_pieces() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_whole_answer_carries_its_text_and_usage() {
    let (_site, instance) = common::site_with_instance(fakes::SiteFigures::default()).await;
    let caller = fakes::SiteCaller::new("coilquote");
    let prompt = "#strap out=7 fit summary";

    let answer = caller
        .chat(instance.callers(), "dossier", prompt)
        .await
        .unwrap();

    let body: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
    assert_eq!(answer.status, http::StatusCode::OK, "{}", answer.body);
    assert_eq!(
        answer.chat_text(),
        fakes::AnswerPlan::of_prompt(prompt).text(7)
    );
    assert_eq!(body["usage"]["completion_tokens"], 7);
    assert_eq!(body["choices"][0]["finish_reason"], "stop");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_reaches_its_service_once() {
    let (site, instance) = common::site_with_instance(fakes::SiteFigures::default()).await;
    let caller = fakes::SiteCaller::new("coilquote");
    let request = http::Request::post("/orders/confirm/17");

    let answer = caller
        .send(instance.callers(), request, "two coils")
        .await
        .unwrap();

    assert_eq!(answer.status, http::StatusCode::OK, "{}", answer.body);
    assert_eq!(answer.outcome(), Some(border::Outcome::Ran));
    assert_eq!(
        site.orders[0].runs()["POST /orders/confirm/17 two coils"],
        1
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_closed_caller_frees_the_memory_of_both_engines() {
    let (site, instance) = common::site_with_instance(fakes::SiteFigures::default()).await;
    let caller = fakes::SiteCaller::new("addis");
    let mut answer = caller
        .chat_stream(instance.callers(), "dossier", "#hide out=400 export note")
        .await
        .unwrap();
    answer.read_more().await.unwrap();

    drop(answer);

    common::wait_until(|| site.fleet.running().is_empty()).await;
    assert_eq!(site.fleet.held_pieces(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_carries_the_trace_of_its_caller_on_with_a_span_of_its_own() {
    let (site, instance) = common::site_with_instance(fakes::SiteFigures::default()).await;
    let caller = fakes::SiteCaller::new("coilquote");
    let trace = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    let request = http::Request::get("/orders/item/3").header("traceparent", trace);

    caller.send(instance.callers(), request, "").await.unwrap();

    let sent = border::TraceParent::parse(&site.orders[0].traces()[0]).unwrap();
    let given = border::TraceParent::parse(trace).unwrap();
    assert_eq!(sent.trace, given.trace);
    assert_ne!(sent.span, given.span);
    assert!(sent.sampled);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_doesnt_read_is_cut_off_and_frees_both_engines() {
    let figures = fakes::SiteFigures::builder().full_batch_token_ms(8).build();
    let (site, instance) = common::site_with_instance(figures).await;
    let caller = fakes::SiteCaller::new("coilquote");
    // The tag makes each token so large that the sockets can't hold the answer.
    let prompt = format!("#{} out=400 draft", "t".repeat(60_000));
    let mut answer = caller
        .chat_stream(instance.callers(), "dossier", &prompt)
        .await
        .unwrap();

    common::wait_until(|| !site.fleet.running().is_empty()).await;
    common::wait_until(|| site.fleet.running().is_empty()).await;
    answer.read_all().await.unwrap();

    assert!(!answer.is_whole());
    assert!(answer.text.contains("event: error"));
    assert_eq!(site.fleet.held_pieces(), 0);
}
