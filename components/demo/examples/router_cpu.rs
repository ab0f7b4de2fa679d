//! Measures the processor time that one instance spends on requests, tokens and calls.
//!
//! The instance's threads are told apart from those of callers and stand-ins by their names, and
//! their time is read from the system, so that the figures include the cost of sockets.

use std::{fs, io, net, sync::Arc, time};

/// Streams that run at once.
const STREAMS: usize = 48;

/// Rounds of streams of each length.
const ROUNDS: usize = 10;

/// Length of the long answers, in tokens.
const LONG_ANSWER: usize = 300;

/// Callers of the plain service that call at once.
const CALLERS: usize = 16;

/// Calls of each caller.
const CALLS: usize = 1_000;

/// Share of the calls whose latency is reported, in percent.
const PERCENTILE: usize = 99;

type AnyError = Box<dyn std::error::Error + Send + Sync>;

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let figures = fakes::SiteFigures::builder()
        .prefill_engines(3)
        .decode_engines(3)
        .prefill_tokens_per_second(4_000_000)
        .link_tokens_per_second(40_000_000)
        .full_batch_token_ms(4)
        .call_latency(time::Duration::ZERO)
        .build();
    let site = fakes::SiteStand::start(figures).await?;
    let options = daemon::DaemonOptions::builder().seed(1).build();
    let instance = daemon::Daemon::start(site.settings(1), &options)?;
    site.list.set(vec![site.instance(1, instance.peers())]);
    while !instance.is_ready() || instance.snapshot().owned_cells.is_empty() {
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    measure_streams(instance.callers()).await?;
    measure_calls(instance.callers(), site.orders[0].address()).await?;
    measure_idle().await?;
    Ok(())
}

async fn measure_streams(instance: net::SocketAddr) -> Result<(), AnyError> {
    run_streams(instance, 1).await?;
    let short = run_streams(instance, 1).await?;
    let long = run_streams(instance, LONG_ANSWER).await?;
    let requests = (STREAMS * ROUNDS) as f64;
    let request = short.as_secs_f64() / requests;
    let more_tokens = requests * (LONG_ANSWER - 1) as f64;
    let token = (long.as_secs_f64() - short.as_secs_f64()) / more_tokens;
    println!("request with one token: {:.0} us", request * 1e6);
    println!("each further token: {:.1} us", token * 1e6);
    Ok(())
}

/// Returns the instance's processor time for `ROUNDS` rounds of streams.
async fn run_streams(instance: net::SocketAddr, tokens: usize) -> Result<time::Duration, AnyError> {
    let caller = fakes::SiteCaller::new("coilquote");
    let before = router_time()?;
    for round in 0..ROUNDS {
        let mut streams = tokio::task::JoinSet::new();
        for number in 0..STREAMS {
            let caller = caller.clone();
            let prompt = format!("#r{round}-{number} out={tokens}");
            streams.spawn(async move {
                let mut answer = caller.chat_stream(instance, "dossier", &prompt).await?;
                answer.read_all().await?;
                if !answer.is_whole() {
                    return Err(format!("not whole: {}", answer.text).into());
                }
                Ok::<(), AnyError>(())
            });
        }
        while let Some(done) = streams.join_next().await {
            done??;
        }
    }
    Ok(router_time()? - before)
}

async fn measure_calls(instance: net::SocketAddr, server: net::SocketAddr) -> Result<(), AnyError> {
    run_calls(instance).await?;
    let direct = run_calls(server).await?;
    let before = router_time()?;
    let routed = run_calls(instance).await?;
    let spent = router_time()? - before;
    let each = spent.as_secs_f64() / (CALLERS * CALLS) as f64;
    println!(
        "call: {:.0} us, {:.0} calls/s on a core",
        each * 1e6,
        1.0 / each
    );
    println!("call p{PERCENTILE}: direct {direct:?}, routed {routed:?}");
    Ok(())
}

/// Returns the latency below which most calls were answered.
async fn run_calls(address: net::SocketAddr) -> Result<time::Duration, AnyError> {
    let caller = Arc::new(fakes::SiteCaller::new("addis"));
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..CALLERS {
        let caller = Arc::clone(&caller);
        callers.spawn(async move {
            let mut spans = Vec::with_capacity(CALLS);
            for call in 0..CALLS {
                let request = http::Request::get(format!("/orders/item/{number}-{call}"));
                let begin = time::Instant::now();
                let answer = caller.send(address, request, "").await?;
                spans.push(begin.elapsed());
                if !answer.status.is_success() {
                    return Err(answer.body.into());
                }
            }
            Ok::<_, AnyError>(spans)
        });
    }
    let mut spans = Vec::new();
    while let Some(done) = callers.join_next().await {
        spans.extend(done??);
    }
    spans.sort_unstable();
    Ok(spans[spans.len() * PERCENTILE / 100])
}

async fn measure_idle() -> Result<(), AnyError> {
    const SPAN: time::Duration = time::Duration::from_secs(5);
    let before = router_time()?;
    tokio::time::sleep(SPAN).await;
    let spent = router_time()? - before;
    let share = spent.as_secs_f64() / SPAN.as_secs_f64();
    println!("idle: {:.2}% of a core", share * 100.0);
    Ok(())
}

/// Returns the processor time of the threads that belong to the instance.
fn router_time() -> io::Result<time::Duration> {
    let mut nanos = 0;
    for task in fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        let name = fs::read_to_string(path.join("comm"))?;
        if matches!(name.trim(), "traffic" | "control") {
            let times = fs::read_to_string(path.join("schedstat"))?;
            let on_processor = times.split_whitespace().next().unwrap_or_default();
            nanos += on_processor.parse().unwrap_or(0);
        }
    }
    Ok(time::Duration::from_nanos(nanos))
}
