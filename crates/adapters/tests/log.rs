//! The log while its output is blocked.

#![allow(clippy::expect_used, reason = "tests panic on failure")]

use std::io::Write;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use rosemaryscale_adapters::log::{LINE_QUEUE_CAPACITY, open_json};
use slog::{Level, info};

/// Blocks each write until the test permits it, then forwards its bytes.
struct BlockedWriter {
    permits: mpsc::Receiver<()>,
    written: mpsc::Sender<Vec<u8>>,
}

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // An error means that the test has dropped its sender: all further writes are permitted.
        let _ = self.permits.recv();
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a process that blocks because nobody reads its log, against lines that accumulate
/// in its memory, and against dropped lines that the log does not report.
#[test]
fn a_blocked_log_does_not_block_its_callers_and_reports_dropped_lines() {
    const LINES: usize = 20 * LINE_QUEUE_CAPACITY;
    const LIMIT: Duration = Duration::from_secs(5);
    const IDLE_TIME: Duration = Duration::from_millis(500);
    let (permit, permits) = mpsc::channel();
    let (written, lines) = mpsc::channel();
    let log = open_json(BlockedWriter { permits, written }, Level::Info);
    let started = Instant::now();
    for number in 0..LINES {
        info!(log, "line"; "number" => number);
    }
    assert!(started.elapsed() < LIMIT, "{:?}", started.elapsed());
    drop(permit);
    // The number of dropped lines is logged with the next line that fits into the queue.
    let mut bytes = lines.recv().expect("the writer continues");
    while let Ok(more) = lines.recv_timeout(IDLE_TIME) {
        bytes.extend(more);
    }
    info!(log, "the last line");
    // Dropping the log joins its thread.
    drop(log);
    bytes.extend(lines.into_iter().flatten());
    let text = String::from_utf8(bytes).expect("UTF-8");
    let kept = text.lines().count();
    assert!(kept <= 2 * LINE_QUEUE_CAPACITY, "{kept} lines were kept");
    assert!(text.contains("dropped messages"), "the loss is reported");
}
