//! Operators read back what an instance does.

use crate::common;

#[tokio::test(flavor = "multi_thread")]
async fn the_admin_address_tells_the_note_in_force_and_the_engines_of_the_owned_cell() {
    let (site, instance) = common::site_with_instance(fakes::SiteFigures::default()).await;
    let client = admin::AdminClient::new(instance.admin());

    let state = client.state().await.unwrap();
    let engines = client.engines().await.unwrap();

    assert_eq!(state.release_notes.revision, ids::Revision(1));
    assert_eq!(state.instance.readiness, "ready");
    assert_eq!(state.membership.members.len(), 1);
    assert_eq!(engines.len(), site.prefill.len() + site.decode.len());
    assert!(engines.iter().all(|engine| engine.load.is_some()));
    assert!(
        engines
            .iter()
            .all(|engine| engine.owner == Some(ids::InstanceId(1)))
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn the_metrics_count_an_answer_and_a_call() {
    let (_site, instance) = common::site_with_instance(fakes::SiteFigures::default()).await;
    let caller = fakes::SiteCaller::new("coilquote");
    caller
        .chat(instance.callers(), "quote", "#spring out=5 draft a quote")
        .await
        .unwrap();
    let request = http::Request::post("/orders/confirm/18");
    caller
        .send(instance.callers(), request, "one coil")
        .await
        .unwrap();

    let admin = fakes::SiteCaller::new("operator");
    let answer = admin
        .send(instance.admin(), http::Request::get("/metrics"), "")
        .await
        .unwrap();

    for sample in [
        "plantainreach_answers_total{class=\"quote\",timing=\"in_time\"} 1",
        "plantainreach_calls_total{kind=\"non_idempotent\",outcome=\"ran\"} 1",
        "plantainreach_revision_in_force 1",
    ] {
        let is_shown = answer.body.lines().any(|line| line == sample);
        assert!(is_shown, "{sample} in {}", answer.body);
    }
}
