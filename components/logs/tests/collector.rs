//! Spans reach a collector.

use std::{io::Read as _, net, sync::mpsc, thread, time};

/// Longest wait for the spans.
const PATIENCE: time::Duration = time::Duration::from_secs(20);

/// Accepts a connection and tells when `text` has come through it.
fn watch_for(text: &'static str) -> (net::SocketAddr, mpsc::Receiver<()>) {
    let listener =
        net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).expect("loopback can be listened on");
    let address = listener.local_addr().expect("a listener has an address");
    let (seen, watch) = mpsc::channel();
    thread::spawn(move || {
        let (mut connection, _) = listener.accept().expect("the exporter connects");
        let mut received = Vec::new();
        let mut buffer = [0; 4_096];
        while let Ok(length) = connection.read(&mut buffer) {
            received.extend_from_slice(&buffer[..length]);
            if received
                .windows(text.len())
                .any(|part| part == text.as_bytes())
                || length == 0
            {
                // The test may have given up.
                let _ = seen.send(());
                return;
            }
        }
    });
    (address, watch)
}

#[test]
fn a_span_reaches_the_collector_that_the_settings_name() {
    let (address, watch) = watch_for("a-span-of-this-test");
    let tracing = settings::TracingSettings {
        collector: Some(format!("http://{address}")),
    };
    let logs = logs::start(
        settings::LogSettings::default(),
        &tracing,
        Some(ids::InstanceId(1)),
    )
    .expect("logs start once");

    let span = tracing::info_span!("a-span-of-this-test");
    let context = logs::own_trace(&span);
    drop(span);

    drop(logs);

    assert!(context.is_some(), "the span has a context to pass on");
    watch.recv_timeout(PATIENCE).expect("the span arrives");
}
