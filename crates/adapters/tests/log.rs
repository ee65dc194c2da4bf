//! The log while nobody reads it.

#![allow(clippy::expect_used, reason = "test code fails loudly")]

use std::io::Write;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use rosemaryscale_adapters::log::{QUEUED_LINES, open_json};
use slog::{Level, info};

/// Blocks each write until it is let through, then passes its bytes on.
struct SlowWriter {
    passed: mpsc::Receiver<()>,
    written: mpsc::Sender<Vec<u8>>,
}

impl Write for SlowWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // An error means that the reader is gone: the rest is let through.
        let _ = self.passed.recv();
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a process that stands still because nobody reads its log, against lines that pile up
/// in its memory, and against a loss of lines that the log does not tell.
#[test]
fn a_log_that_nobody_reads_blocks_nothing_and_counts_what_it_drops() {
    const LINES: usize = 20 * QUEUED_LINES;
    const LIMIT: Duration = Duration::from_secs(5);
    const QUIET: Duration = Duration::from_millis(500);
    let (pass, passed) = mpsc::channel();
    let (written, lines) = mpsc::channel();
    let log = open_json(SlowWriter { passed, written }, Level::Info);
    let began = Instant::now();
    for number in 0..LINES {
        info!(log, "line"; "number" => number);
    }
    assert!(began.elapsed() < LIMIT, "{:?}", began.elapsed());
    drop(pass);
    // The loss is told with the next line that has room in the queue.
    let mut bytes = lines.recv().expect("the writer goes on");
    while let Ok(more) = lines.recv_timeout(QUIET) {
        bytes.extend(more);
    }
    info!(log, "the last line");
    // The end of the log joins its thread.
    drop(log);
    bytes.extend(lines.into_iter().flatten());
    let text = String::from_utf8(bytes).expect("UTF-8");
    let kept = text.lines().count();
    assert!(kept <= 2 * QUEUED_LINES, "{kept} lines were kept");
    assert!(text.contains("dropped messages"), "the loss is told");
}
