//! The writer of the decision log.

use std::{io, sync, time};

/// An output that is held up until it is released.
#[derive(Clone, Default)]
struct HeldOutput {
    text: sync::Arc<sync::Mutex<Vec<u8>>>,
    gate: sync::Arc<sync::Mutex<()>>,
}

impl HeldOutput {
    fn text(&self) -> String {
        let bytes = self.text.lock().expect("no test panicked");
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

impl io::Write for HeldOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _open = self.gate.lock().expect("no test panicked");
        self.text
            .lock()
            .expect("no test panicked")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_are_written_in_order_and_the_last_ones_before_the_end() {
    let output = HeldOutput::default();
    let writer = logs::LineWriter::start(output.clone()).expect("a thread is free");

    for number in 0..20 {
        writer.push(format!("line {number}"), logs::LineWeight::Lesser);
    }
    drop(writer);

    let expected: String = (0..20).map(|number| format!("line {number}\n")).collect();
    assert_eq!(output.text(), expected);
}

#[test]
fn an_output_that_is_held_up_blocks_nobody_and_the_loss_is_told() {
    let output = HeldOutput::default();
    let gate = sync::Arc::clone(&output.gate);
    let held = gate.lock().expect("no test panicked");
    let writer = logs::LineWriter::start(output.clone()).expect("a thread is free");
    let started = time::Instant::now();

    for number in 0..10_000 {
        writer.push(format!("lesser {number}"), logs::LineWeight::Lesser);
        writer.push(format!("greater {number}"), logs::LineWeight::Greater);
    }
    let took = started.elapsed();
    let dropped = writer.dropped_since_start();
    drop(held);
    drop(writer);

    assert!(took < time::Duration::from_secs(2), "{took:?}");
    assert!(dropped > 10_000, "{dropped}");
    let text = output.text();
    assert!(
        text.contains("\"event\":\"lines_dropped\""),
        "no loss is told"
    );
    let count = |kind: &str| text.lines().filter(|line| line.starts_with(kind)).count();
    assert!(count("greater") > count("lesser"));
}
