//! A process of the program whose memory and descriptors are bounded.

use std::{ffi, fs, process, time};

/// Bytes of a megabyte, as the settings count them.
const BYTES_PER_MB: u64 = 1_000_000;

/// Interval between two readings of the processor time.
const SETTLE_INTERVAL: time::Duration = time::Duration::from_millis(400);

/// Readings of the processor time after which the process counts as settled anyway.
const SETTLE_READINGS: usize = 60;

/// Limits of a process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    /// Memory in MB.
    pub memory_mb: u64,
    /// Number of descriptors.
    pub descriptors: u64,
}

/// A process of the program; it is killed on drop.
pub struct BoundedProcess {
    child: process::Child,
    limits: ProcessLimits,
}

impl BoundedProcess {
    /// Starts the program with arguments and a variable; the system enforces its number of
    /// descriptors. Its log goes to `output`.
    pub fn start(
        arguments: &[&ffi::OsStr],
        variable: (&str, &ffi::OsStr),
        limits: ProcessLimits,
        output: process::Stdio,
    ) -> Self {
        let child = process::Command::new("sh")
            .args(["-c", "ulimit -n \"$1\" && shift && exec \"$@\"", "sh"])
            .arg(limits.descriptors.to_string())
            .arg(env!("CARGO_BIN_EXE_plantainreach"))
            .args(arguments)
            .env(variable.0, variable.1)
            .stdout(output)
            .stderr(process::Stdio::null())
            .spawn()
            .expect("the program can be started");
        Self { child, limits }
    }

    /// Waits until the process uses hardly any processor time, so that it has taken in what the
    /// clients have sent.
    pub async fn settle(&self) {
        let mut before = self.processor_ticks();
        for _ in 0..SETTLE_READINGS {
            tokio::time::sleep(SETTLE_INTERVAL).await;
            let now = self.processor_ticks();
            if now <= before + 2 {
                return;
            }
            before = now;
        }
    }

    /// Asserts that the process lives and has never exceeded its limits.
    pub fn assert_within_limits(&mut self) {
        let ended = self.child.try_wait().expect("a child can be waited for");
        assert!(ended.is_none(), "the process has ended: {ended:?}");
        let (memory, descriptors) = (self.peak_memory(), self.open_descriptors());
        let ticks = self.processor_ticks();
        println!("{memory} bytes at most, {descriptors} descriptors, {ticks} ticks");
        let memory_limit = self.limits.memory_mb * BYTES_PER_MB;
        assert!(memory <= memory_limit, "{memory} bytes of {memory_limit}");
        let limit = self.limits.descriptors;
        assert!(descriptors <= limit, "{descriptors} descriptors of {limit}");
    }

    /// Returns the largest resident memory so far, in bytes.
    fn peak_memory(&self) -> u64 {
        let status = self.read("status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next());
        let kilobytes = kilobytes.expect("the system tells the largest memory");
        kilobytes.parse::<u64>().expect("a number") * 1_024
    }

    fn open_descriptors(&self) -> u64 {
        let directory = format!("/proc/{}/fd", self.child.id());
        let entries = fs::read_dir(directory).expect("the system lists descriptors");
        entries.count() as u64
    }

    /// Returns the processor time so far, in ticks of the system.
    fn processor_ticks(&self) -> u64 {
        let stat = self.read("stat");
        let (_, fields) = stat.rsplit_once(')').expect("the name ends");
        let mut fields = fields.split_whitespace().skip(11);
        let mut ticks = || fields.next().and_then(|field| field.parse::<u64>().ok());
        ticks().expect("user time") + ticks().expect("system time")
    }

    fn read(&self, file: &str) -> String {
        let path = format!("/proc/{}/{file}", self.child.id());
        fs::read_to_string(path).expect("the system tells of processes")
    }
}

impl Drop for BoundedProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
