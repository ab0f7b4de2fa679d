//! The demo as a test.

use std::time;

#[tokio::test(flavor = "multi_thread")]
async fn a_lone_instance_without_faults_keeps_every_promise() {
    let options = demo::DemoOptions::builder()
        .instances(1)
        .offered(60)
        .span(time::Duration::from_secs(3))
        .faults(false)
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
