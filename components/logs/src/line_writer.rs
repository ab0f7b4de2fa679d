//! Writes lines to an output without holding up whoever logs them.

use std::{collections, io, sync, thread, time};

/// Lines that wait to be written at the most.
const QUEUE_LINES: usize = 2_048;

/// Lines that wait before lines of lesser weight are dropped.
const LESSER_LINES: usize = 512;

/// Bytes that wait to be written at the most. Usual lines are shorter than a full queue allows; lines with
/// long texts of callers are not.
const QUEUE_BYTES: usize = 2 * 1024 * 1024;

/// Bytes that wait before lines of lesser weight are dropped.
const LESSER_BYTES: usize = 512 * 1024;

/// Time in which lines are gathered into one write.
const GATHER_TIME: time::Duration = time::Duration::from_millis(100);

/// Stack of the writing thread, in bytes.
const STACK_BYTES: usize = 64 * 1024;

/// How a line is treated when the output is slower than the lines come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LineWeight {
    /// Dropped first.
    Lesser,
    /// Dropped only when the queue is full.
    Greater,
}

#[derive(Default)]
struct LineQueue {
    lines: collections::VecDeque<String>,
    /// Bytes of these lines.
    bytes: usize,
    /// Lines dropped since the last write.
    dropped: u64,
    dropped_since_start: u64,
    closed: bool,
}

struct QueueShared {
    queue: sync::Mutex<LineQueue>,
    ready: sync::Condvar,
}

/// Writes lines to an output on a thread of its own.
///
/// The queue is bounded in lines and in bytes: lines beyond it are dropped and counted, and the next line that is written
/// says how many are missing.
pub struct LineWriter {
    shared: sync::Arc<QueueShared>,
    thread: Option<thread::JoinHandle<()>>,
}

impl LineWriter {
    /// Starts writing to an output.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the thread can't be started.
    pub fn start(output: impl io::Write + Send + 'static) -> io::Result<Self> {
        let shared = sync::Arc::new(QueueShared {
            queue: sync::Mutex::default(),
            ready: sync::Condvar::new(),
        });
        let reader = sync::Arc::clone(&shared);
        let thread = thread::Builder::new()
            .name("log-writer".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || write_lines(&reader, output))?;
        Ok(Self {
            shared,
            thread: Some(thread),
        })
    }

    /// Queues a line, without its end, unless the queue is full for its weight.
    pub fn push(&self, line: String, weight: LineWeight) {
        let (limit, limit_bytes) = match weight {
            LineWeight::Lesser => (LESSER_LINES, LESSER_BYTES),
            LineWeight::Greater => (QUEUE_LINES, QUEUE_BYTES),
        };
        let mut queue = lock(&self.shared);
        if queue.lines.len() >= limit || queue.bytes + line.len() > limit_bytes {
            queue.dropped += 1;
            queue.dropped_since_start += 1;
            return;
        }
        let wakes = queue.lines.is_empty();
        queue.bytes += line.len();
        queue.lines.push_back(line);
        drop(queue);
        if wakes {
            self.shared.ready.notify_one();
        }
    }

    /// Returns how many lines were dropped since the start.
    #[must_use]
    pub fn dropped_since_start(&self) -> u64 {
        lock(&self.shared).dropped_since_start
    }
}

impl Drop for LineWriter {
    fn drop(&mut self) {
        lock(&self.shared).closed = true;
        self.shared.ready.notify_one();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            eprintln!("the log writer ended early");
        }
    }
}

fn write_lines(shared: &QueueShared, mut output: impl io::Write) {
    loop {
        let (lines, dropped, closed) = next_lines(shared);
        let mut text = String::new();
        for line in lines {
            text.push_str(&line);
            text.push('\n');
        }
        if dropped > 0 {
            text.push_str(&format!(
                "{{\"event\":\"lines_dropped\",\"lines\":{dropped}}}\n"
            ));
        }
        let written = output
            .write_all(text.as_bytes())
            .and_then(|()| output.flush());
        // Without an output there is nowhere left to tell of the failure.
        if written.is_err() || closed {
            return;
        }
    }
}

/// Waits for lines and takes what was gathered.
fn next_lines(shared: &QueueShared) -> (collections::VecDeque<String>, u64, bool) {
    let mut queue = lock(shared);
    while queue.lines.is_empty() && !queue.closed {
        queue = shared
            .ready
            .wait(queue)
            .unwrap_or_else(sync::PoisonError::into_inner);
    }
    if !queue.closed {
        drop(queue);
        thread::sleep(GATHER_TIME);
        queue = lock(shared);
    }
    let lines = std::mem::take(&mut queue.lines);
    queue.bytes = 0;
    let dropped = std::mem::take(&mut queue.dropped);
    (lines, dropped, queue.closed)
}

fn lock(shared: &QueueShared) -> sync::MutexGuard<'_, LineQueue> {
    shared
        .queue
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner)
}
