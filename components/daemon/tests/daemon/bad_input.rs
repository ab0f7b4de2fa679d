//! Input that no honest caller sends.

use std::{net, time};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

use crate::common;

/// Largest body in these tests, in bytes.
const BODY_LIMIT: usize = 10_000;

/// Time for a header and for a body in these tests, in milliseconds.
const SLOW_LIMIT_MS: u64 = 150;

/// Longest time that a connection may stay open after its limit has passed.
const CLOSE_PATIENCE: time::Duration = time::Duration::from_secs(5);

async fn strict_site() -> (fakes::SiteStand, daemon::DaemonHandle) {
    let site = fakes::SiteStand::start(fakes::SiteFigures::default())
        .await
        .unwrap();
    let mut settings = site.settings(1);
    settings.limits = settings::RequestLimits::builder()
        .body_bytes(BODY_LIMIT)
        .header_timeout_ms(SLOW_LIMIT_MS)
        .body_timeout_ms(SLOW_LIMIT_MS)
        .header_count(20)
        .header_bytes(8_192)
        .held_bytes(20_000)
        .build();
    let instance = common::start_instance(&site, settings).await;
    (site, instance)
}

async fn post_chat(instance: net::SocketAddr, body: &str) -> fakes::CallerAnswer {
    let caller = fakes::SiteCaller::new("coilquote");
    let request = http::Request::post("/v1/chat/completions");
    caller
        .send(instance, request, body.to_owned())
        .await
        .unwrap()
}

fn chat_with(extra: &str) -> String {
    format!(r#"{{"model": "drafts", "messages": [{{"role": "user", "content": "hi"}}]{extra}}}"#)
}

/// Sends raw bytes and returns what comes back until the server closes.
async fn exchange_raw(instance: net::SocketAddr, request: &[u8]) -> String {
    let mut stream = tokio::net::TcpStream::connect(instance).await.unwrap();
    stream.write_all(request).await.unwrap();
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    // A server that refuses a request may reset the connection while bytes are under way.
    let _ = tokio::time::timeout(CLOSE_PATIENCE, reading)
        .await
        .expect("the server keeps the connection open");
    String::from_utf8_lossy(&answer).into_owned()
}

async fn assert_nothing_held(site: &fakes::SiteStand, instance: &daemon::DaemonHandle) {
    common::wait_until(|| site.fleet.running().is_empty()).await;
    common::wait_until(|| instance.snapshot().in_flight == 0).await;
    let answer = post_chat(instance.callers(), &chat_with("")).await;
    assert_eq!(answer.status, http::StatusCode::OK, "{}", answer.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_what_the_openai_shape_doesnt_allow() {
    let (site, instance) = strict_site().await;
    let cases = [
        ("{", 400, "bad_body"),
        (
            r#"{"model": "drafts", "messages": []}"#,
            400,
            "out_of_range",
        ),
        (
            r#"{"model": "nobody", "messages": [{"role": "user"}]}"#,
            404,
            "unknown_model",
        ),
    ];

    for (body, status, code) in cases {
        let answer = post_chat(instance.callers(), body).await;

        let json: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
        assert_eq!(answer.status.as_u16(), status, "{body}");
        assert_eq!(json["error"]["code"], code, "{body}");
        assert_eq!(json["error"]["outcome"], "not_run", "{body}");
        assert_eq!(answer.outcome(), Some(border::Outcome::NotRun), "{body}");
    }
    assert_nothing_held(&site, &instance).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_absurd_numbers_of_tokens() {
    let (site, instance) = strict_site().await;
    let numbers = ["0", "-1", "401", "4294967296", "1e300", "\"many\""];

    for number in numbers {
        let body = chat_with(&format!(r#", "max_tokens": {number}"#));
        let answer = post_chat(instance.callers(), &body).await;

        assert_eq!(answer.status, http::StatusCode::BAD_REQUEST, "{number}");
    }
    assert_nothing_held(&site, &instance).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_a_body_that_is_too_large_with_or_without_its_length() {
    let (site, instance) = strict_site().await;
    let body = "x".repeat(BODY_LIMIT + 1);
    let chunked = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nx-workspace: addis\r\nconnection: close\r\n\
         transfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
        body.len()
    );

    let known = post_chat(instance.callers(), &body).await;
    let unknown = exchange_raw(instance.callers(), chunked.as_bytes()).await;

    assert_eq!(known.status, http::StatusCode::PAYLOAD_TOO_LARGE);
    assert!(unknown.starts_with("HTTP/1.1 413"), "{unknown}");
    assert_nothing_held(&site, &instance).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn closes_a_connection_whose_header_never_ends() {
    let (site, instance) = strict_site().await;
    let beginnings = ["", "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n"];

    for beginning in beginnings {
        // The helper fails when the connection stays open.
        exchange_raw(instance.callers(), beginning.as_bytes()).await;
    }

    assert_nothing_held(&site, &instance).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_a_body_that_stalls() {
    let (site, instance) = strict_site().await;
    let request = "POST /v1/completions HTTP/1.1\r\nhost: a\r\nx-workspace: addis\r\n\
                   connection: close\r\ncontent-length: 100\r\n\r\n{\"model\":";

    let answer = exchange_raw(instance.callers(), request.as_bytes()).await;

    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert_nothing_held(&site, &instance).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_hostile_headers() {
    let (site, instance) = strict_site().await;
    let many = "a: b\r\n".repeat(40);
    let large = format!("a: {}\r\n", "b".repeat(40_000));

    for fields in [many, large] {
        let request = format!("GET /v1/models HTTP/1.1\r\nhost: a\r\n{fields}\r\n");
        let answer = exchange_raw(instance.callers(), request.as_bytes()).await;

        assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    }
    assert_nothing_held(&site, &instance).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_bodies_beyond_the_memory_for_bodies() {
    let (site, instance) = strict_site().await;
    let head = "POST /v1/completions HTTP/1.1\r\nhost: a\r\nx-workspace: addis\r\n\
                connection: close\r\ncontent-length: 9000\r\n\r\n";
    let request = [head, &"x".repeat(8_900)].concat();

    let answers = futures_util::future::join_all(
        (0..4).map(|_| exchange_raw(instance.callers(), request.as_bytes())),
    )
    .await;

    let refused = answers
        .iter()
        .filter(|answer| answer.starts_with("HTTP/1.1 503"));
    assert!(refused.count() >= 2, "{answers:?}");
    assert_nothing_held(&site, &instance).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_an_unknown_workspace_and_an_unknown_path() {
    let (_site, instance) = strict_site().await;
    let stranger = fakes::SiteCaller::new("stranger");
    let caller = fakes::SiteCaller::new("addis");
    let models = http::Request::get("/v1/models");
    let nowhere = http::Request::get("/nowhere");

    let forbidden = stranger.send(instance.callers(), models, "").await.unwrap();
    let missing = caller.send(instance.callers(), nowhere, "").await.unwrap();

    assert_eq!(forbidden.status, http::StatusCode::FORBIDDEN);
    assert_eq!(missing.status, http::StatusCode::NOT_FOUND);
    assert_eq!(missing.outcome(), Some(border::Outcome::NotRun));
}
