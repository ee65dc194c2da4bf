//! The log while its output is blocked.

#![allow(clippy::expect_used, reason = "tests panic on failure")]

use std::io::Write;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use rosemaryscale_adapters::log::{LINE_QUEUE_CAPACITY, WARNING_QUEUE_CAPACITY, open_json};
use rosemaryscale_adapters::metrics_registry;
use serde_json::Value;
use slog::{Level, info, warn};
use tokio::sync::oneshot;

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
    let (log, _) = open_json(BlockedWriter { permits, written }, Level::Info);
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

/// Takes a millisecond for each line, as a slow reader of the log does, then forwards its bytes.
struct SlowWriter {
    written: mpsc::Sender<Vec<u8>>,
}

impl Write for SlowWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if bytes.contains(&b'\n') {
            std::thread::sleep(Duration::from_millis(1));
        }
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The number of dropped lines that each report names, and the number of other lines.
fn reports_and_lines(bytes: &[u8]) -> (Vec<u64>, usize) {
    let mut reports = Vec::new();
    let mut lines = 0;
    for line in bytes.split(|byte| *byte == b'\n') {
        let Ok(fields) = serde_json::from_slice::<Value>(line) else {
            continue;
        };
        if fields["msg"] == "slog-async: logger dropped messages due to channel overflow" {
            reports.push(fields["count"].as_u64().expect("a report has a count"));
        } else {
            lines += 1;
        }
    }
    (reports, lines)
}

/// Guards against dropped lines that nobody sees, because the metrics page does not count them.
#[tokio::test]
async fn the_metrics_page_counts_dropped_lines() {
    const LINES: usize = 10 * LINE_QUEUE_CAPACITY;
    const METRIC: &str = "rosemaryscale_log_dropped_lines";
    let (permit, permits) = mpsc::channel();
    let (written, received) = mpsc::channel();
    let (log, dropped_lines) = open_json(BlockedWriter { permits, written }, Level::Info);
    let (metrics, reader, registry) = metrics_registry::start(dropped_lines);
    let page = async || {
        let (reply, text) = oneshot::channel();
        reader.send(reply).await.expect("the registry runs");
        text.await.expect("the registry answers")
    };
    assert!(page().await.contains(&format!("{METRIC} 0\n")));
    for number in 0..LINES {
        info!(log, "line"; "number" => number);
    }
    let text = page().await;
    drop(permit);
    // Dropping the log joins its thread.
    drop(log);
    let bytes: Vec<u8> = received.into_iter().flatten().collect();
    let (reports, kept) = reports_and_lines(&bytes);
    let dropped = LINES - kept;
    assert!(dropped > 0, "the queue overflowed");
    assert!(text.contains(&format!("{METRIC} {dropped}\n")), "{text}");
    assert_eq!(reports.iter().sum::<u64>(), dropped as u64, "{reports:?}");
    drop(metrics);
    registry.await.expect("the registry ends");
}

/// Guards against the loss of the lines about requests that end badly in a burst of other lines, and against
/// warnings that accumulate in memory.
#[test]
fn a_burst_of_lines_leaves_room_for_warnings() {
    let (permit, permits) = mpsc::channel();
    let (written, received) = mpsc::channel();
    let (log, _) = open_json(BlockedWriter { permits, written }, Level::Info);
    for number in 0..2 * LINE_QUEUE_CAPACITY {
        info!(log, "line"; "number" => number);
    }
    for number in 0..2 * WARNING_QUEUE_CAPACITY {
        warn!(log, "job failed"; "number" => number);
    }
    drop(permit);
    drop(log);
    let bytes: Vec<u8> = received.into_iter().flatten().collect();
    let text = String::from_utf8(bytes).expect("UTF-8");
    let failed = text.lines().filter(|line| line.contains("job failed"));
    // The thread may have taken the first line from the queue before it blocked.
    let kept = failed.count();
    assert!(kept >= WARNING_QUEUE_CAPACITY, "{kept} warnings were kept");
    assert!(
        kept <= WARNING_QUEUE_CAPACITY + 1,
        "{kept} warnings were kept"
    );
}

/// Guards against reports of dropped lines that themselves fill the log of an overloaded process.
#[test]
fn dropped_lines_are_reported_once_a_second() {
    const FLOOD: Duration = Duration::from_millis(2_500);
    let (written, received) = mpsc::channel();
    let (log, dropped_lines) = open_json(SlowWriter { written }, Level::Info);
    let started = Instant::now();
    while started.elapsed() < FLOOD {
        for number in 0..100 {
            info!(log, "line"; "number" => number);
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    drop(log);
    let elapsed_s = started.elapsed().as_secs() as usize;
    let bytes: Vec<u8> = received.into_iter().flatten().collect();
    let (reports, _) = reports_and_lines(&bytes);
    assert_eq!(reports.iter().sum::<u64>(), dropped_lines.total());
    assert!(reports.len() >= 2, "{reports:?}");
    // The first one comes at once, and another one when the log is closed.
    assert!(
        reports.len() <= elapsed_s + 2,
        "{reports:?} in {elapsed_s} s"
    );
}
