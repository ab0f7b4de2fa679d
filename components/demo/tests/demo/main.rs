//! The demo as a test.

use std::time;

#[tokio::test(flavor = "multi_thread")]
async fn a_lone_instance_without_faults_keeps_every_promise() {
    let options = demo::DemoOptions::builder()
        .instances(1)
        .offered(60)
        .span(time::Duration::from_secs(3))
        .script(demo::ScriptKind::Calm)
        .build();

    let report = demo::run(options).await.unwrap();

    assert_eq!(report.broken_promises(), Vec::<&str>::new(), "{report:?}");
    assert!(report.answered > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn three_instances_keep_every_promise_under_faults() {
    let options = demo::DemoOptions::builder().seed(1).build();

    let report = demo::run(options).await.unwrap();

    println!("{}", demo::report_table(&report));
    assert_eq!(report.broken_promises(), Vec::<&str>::new(), "{report:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_under_load_loses_nothing() {
    let options = demo::DemoOptions::builder()
        .seed(3)
        .span(time::Duration::from_secs(24))
        .script(demo::ScriptKind::RollingRestart)
        .build();

    let report = demo::run(options).await.unwrap();

    println!("{}", demo::report_table(&report));
    assert_eq!(report.broken_promises(), Vec::<&str>::new(), "{report:?}");
    assert_eq!(report.connection_lost, 0);
    assert_eq!(report.unknown, 0);
    assert_eq!(
        report.answered + report.ran_before + report.cancelled,
        report.offered
    );
}
