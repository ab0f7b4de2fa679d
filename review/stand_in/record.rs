//! Record of a run: what was sent, answered and run, with the time since its start.

use std::fs;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Milliseconds since the start of the run.
    pub fn now(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn write(&self, line: impl AsRef<str>) {
        let text = format!("{:>8} ms  {}", self.now(), line.as_ref());
        self.lines.lock().unwrap().push(text);
    }

    pub fn save(&self, path: &str) {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        if let Err(error) = fs::write(path, text) {
            eprintln!("{path}: {error}");
        }
    }
}
