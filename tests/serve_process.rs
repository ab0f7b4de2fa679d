//! An instance as a process: it starts from its settings, shows its state and drains on a signal.

use std::{fs, net, path, process, time};

/// Longest wait for the process to become ready or to end.
const PATIENCE: time::Duration = time::Duration::from_secs(20);

/// Time between two looks.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Exit code of work that failed.
const WORK_FAILED: i32 = 1;

/// A running instance, ended with its test.
struct InstanceProcess {
    child: process::Child,
    admin: net::SocketAddr,
    callers: net::SocketAddr,
    directory: path::PathBuf,
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        // The process may have ended, and the directory is of no further use.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Starts the binary with the settings of the site's first instance.
fn start_process(site: &fakes::SiteStand, case: &str) -> InstanceProcess {
    let directory = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(case);
    fs::create_dir_all(&directory).expect("the directory of tests is writable");
    let mut settings = site.settings(1);
    settings.listen.admin = free_address();
    settings.listen.callers = free_address();
    settings.listen.peers = free_address();
    settings.instance.peer_address = settings.listen.peers;
    let file = directory.join("settings.yaml");
    // JSON is YAML, too.
    let text = serde_json::to_string(&settings).expect("settings serialize");
    fs::write(&file, text).expect("the directory of tests is writable");
    site.list.set(vec![site.instance(1, settings.listen.peers)]);
    let child = process::Command::new(env!("CARGO_BIN_EXE_plantainreach"))
        .arg("serve")
        .arg("--settings")
        .arg(&file)
        .stderr(process::Stdio::null())
        .spawn()
        .expect("the binary runs");
    InstanceProcess {
        child,
        admin: settings.listen.admin,
        callers: settings.listen.callers,
        directory,
    }
}

/// Returns an address whose port was free a moment ago.
fn free_address() -> net::SocketAddr {
    net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))
        .and_then(|listener| listener.local_addr())
        .expect("loopback has a free port")
}

async fn wait_ready(instance: &InstanceProcess) {
    let begin = time::Instant::now();
    loop {
        let client = admin::AdminClient::new(instance.admin);
        if client.state().await.is_ok_and(|state| state.instance.ready) {
            return;
        }
        assert!(begin.elapsed() < PATIENCE, "the instance isn't ready");
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

async fn wait_draining(instance: &InstanceProcess) {
    let begin = time::Instant::now();
    let client = admin::AdminClient::new(instance.admin);
    while !client
        .state()
        .await
        .is_ok_and(|state| state.instance.draining)
    {
        assert!(begin.elapsed() < PATIENCE, "the instance doesn't drain");
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

fn signal(instance: &InstanceProcess, name: &str) {
    let status = process::Command::new("kill")
        .arg(format!("-{name}"))
        .arg(instance.child.id().to_string())
        .status()
        .expect("signals can be sent");
    assert!(status.success());
}

async fn wait_end(instance: &mut InstanceProcess) -> Option<i32> {
    let begin = time::Instant::now();
    loop {
        if let Some(status) = instance.child.try_wait().expect("the process is a child") {
            return status.code();
        }
        assert!(begin.elapsed() < PATIENCE, "the process doesn't end");
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

/// Starts a site with an instance as a process and a caller that reads a long answer.
async fn process_with_answer(
    case: &str,
    prompt: &str,
) -> (fakes::SiteStand, InstanceProcess, fakes::StreamAnswer) {
    let site = fakes::SiteStand::start(fakes::SiteFigures::default())
        .await
        .expect("the stand-ins start");
    let instance = start_process(&site, case);
    wait_ready(&instance).await;
    let caller = fakes::SiteCaller::new("coilquote");
    let mut answer = caller
        .chat_stream(instance.callers, "quote", prompt)
        .await
        .expect("the instance answers");
    answer.read_more().await.expect("the answer begins");
    (site, instance, answer)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_finishes_the_answer_in_flight_after_a_signal_and_exits_with_success() {
    let (_site, mut instance, mut answer) =
        process_with_answer("drains_on_a_signal", "#spring out=60 draft a quote").await;

    signal(&instance, "TERM");
    answer.read_all().await.expect("the answer goes on");

    assert!(answer.is_whole(), "{}", answer.text);
    assert_eq!(wait_end(&mut instance).await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_signal_ends_a_process_with_an_answer_in_flight() {
    let (_site, mut instance, _answer) =
        process_with_answer("ends_on_a_second_signal", "#spring out=400 draft a quote").await;

    signal(&instance, "TERM");
    wait_draining(&instance).await;
    signal(&instance, "INT");

    assert_eq!(wait_end(&mut instance).await, Some(WORK_FAILED));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_status_subcommand_prints_what_is_in_force() {
    let site = fakes::SiteStand::start(fakes::SiteFigures::default())
        .await
        .expect("the stand-ins start");
    let instance = start_process(&site, "prints_what_is_in_force");
    wait_ready(&instance).await;

    let output = process::Command::new(env!("CARGO_BIN_EXE_plantainreach"))
        .args(["status", "--json", "--admin"])
        .arg(instance.admin.to_string())
        .output()
        .expect("the binary runs");

    assert!(output.status.success());
    let printed: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("one JSON object is printed");
    assert_eq!(printed["state"]["release_notes"]["revision"], 1);
    assert!(
        printed["engines"]
            .as_array()
            .is_some_and(|all| !all.is_empty())
    );
}
