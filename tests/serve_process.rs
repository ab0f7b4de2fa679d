//! Tests of an instance as a process: start from a settings file, status output and draining on a
//! signal.

use std::{fs, net, path, process, time};

/// Timeout for the process to become ready, to drain or to exit.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Interval between two polls of the process state.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Exit code of a shutdown that aborts requests in flight.
const EXIT_FAILURE: i32 = 1;

/// A running instance; it is killed on drop.
struct InstanceProcess {
    child: process::Child,
    admin: net::SocketAddr,
    callers: net::SocketAddr,
    directory: path::PathBuf,
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        // The process may have exited already, and a directory that remains is harmless.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Starts the program with the settings of the site's first instance, on free ports.
fn start_process(site: &fakes::SiteStand, case: &str) -> InstanceProcess {
    let directory = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(case);
    fs::create_dir_all(&directory).expect("the temporary directory of the tests is writable");
    let mut settings = site.settings(1);
    settings.listen.admin = free_address();
    settings.listen.callers = free_address();
    settings.listen.peers = free_address();
    settings.instance.peer_address = settings.listen.peers;
    let file = directory.join("settings.yaml");
    // The settings format is YAML, and JSON is a subset of it.
    let text = serde_json::to_string(&settings).expect("settings can be serialized");
    fs::write(&file, text).expect("the temporary directory of the tests is writable");
    site.list.set(vec![site.instance(1, settings.listen.peers)]);
    let child = process::Command::new(env!("CARGO_BIN_EXE_plantainreach"))
        .arg("serve")
        .arg("--settings")
        .arg(&file)
        .stderr(process::Stdio::null())
        .spawn()
        .expect("the program can be started");
    InstanceProcess {
        child,
        admin: settings.listen.admin,
        callers: settings.listen.callers,
        directory,
    }
}

/// Returns a loopback address with a port that is free at the time of the call.
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
        assert!(
            begin.elapsed() < WAIT_TIMEOUT,
            "the instance did not become ready in time"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
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
        assert!(
            begin.elapsed() < WAIT_TIMEOUT,
            "the instance did not start to drain in time"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn signal(instance: &InstanceProcess, name: &str) {
    let status = process::Command::new("kill")
        .arg(format!("-{name}"))
        .arg(instance.child.id().to_string())
        .status()
        .expect("`kill` can be started");
    assert!(status.success());
}

/// Waits until the process exits and returns its exit code; `None` if a signal ended it.
async fn wait_exit(instance: &mut InstanceProcess) -> Option<i32> {
    let begin = time::Instant::now();
    loop {
        if let Some(status) = instance
            .child
            .try_wait()
            .expect("a child process can be waited for")
        {
            return status.code();
        }
        assert!(
            begin.elapsed() < WAIT_TIMEOUT,
            "the process did not exit in time"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Starts a site with an instance as a process, and a streamed answer whose first part was read.
async fn process_with_answer_in_flight(
    case: &str,
    prompt: &str,
) -> (fakes::SiteStand, InstanceProcess, fakes::StreamAnswer) {
    let site = fakes::SiteStand::start(fakes::SiteFigures::default())
        .await
        .expect("the fake site starts");
    let instance = start_process(&site, case);
    wait_ready(&instance).await;
    let caller = fakes::SiteCaller::new("coilquote");
    let mut answer = caller
        .chat_stream(instance.callers, "quote", prompt)
        .await
        .expect("the instance answers");
    answer.read_more().await.expect("the answer starts");
    (site, instance, answer)
}

#[tokio::test(flavor = "multi_thread")]
async fn finishes_the_answer_in_flight_on_sigterm_and_exits_with_success() {
    let (_site, mut instance, mut answer) =
        process_with_answer_in_flight("drains_on_a_signal", "#spring out=60 draft a quote").await;

    signal(&instance, "TERM");
    answer
        .read_all()
        .await
        .expect("the rest of the answer arrives");

    assert!(answer.is_whole(), "{}", answer.text);
    assert_eq!(wait_exit(&mut instance).await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn second_signal_aborts_the_answer_in_flight_and_exits_with_failure() {
    let (_site, mut instance, _answer) =
        process_with_answer_in_flight("ends_on_a_second_signal", "#spring out=400 draft a quote")
            .await;

    signal(&instance, "TERM");
    wait_draining(&instance).await;
    signal(&instance, "INT");

    assert_eq!(wait_exit(&mut instance).await, Some(EXIT_FAILURE));
}

#[tokio::test(flavor = "multi_thread")]
async fn status_subcommand_prints_the_revision_in_force() {
    let site = fakes::SiteStand::start(fakes::SiteFigures::default())
        .await
        .expect("the fake site starts");
    let instance = start_process(&site, "prints_what_is_in_force");
    wait_ready(&instance).await;

    let output = process::Command::new(env!("CARGO_BIN_EXE_plantainreach"))
        .args(["status", "--json", "--admin"])
        .arg(instance.admin.to_string())
        .output()
        .expect("the program can be started");

    assert!(output.status.success());
    let printed: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("the output is one JSON document");
    assert_eq!(printed["state"]["release_notes"]["revision"], 1);
    assert!(
        printed["engines"]
            .as_array()
            .is_some_and(|all| !all.is_empty())
    );
}
