//! Sets up logging with slog. A thread of its own writes the lines from a bounded queue; lines that find
//! the queue full are dropped and counted.

use std::cell::Cell;
use std::io::Write;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use rosemaryscale_ports::prelude::*;
use serde::Deserialize;
use slog::{Drain, Level, LevelFilter, Logger, Never, OwnedKVList, Record, b, o, record};
use slog_async::AsyncCore;

use crate::SystemClock;

/// Maximum number of log lines that are queued for the writer. During a burst, one scheduling round
/// starts several hundred tasks, each of which logs a line of about 300 bytes.
pub const LINE_QUEUE_CAPACITY: usize = 1_024;
/// Additional lines of level warning and above that are queued. Lines about requests that end badly have
/// this level, and must not be lost in the burst of other lines that an overload causes.
pub const WARNING_QUEUE_CAPACITY: usize = 256;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Human-readable text for a terminal.
    Text,
}

/// Minimum time between log lines that report dropped lines. A burst fills the queue many times a second.
const DROP_REPORT_INTERVAL_MS: u64 = 1_000;

/// Number of log lines that were dropped since the log was opened. Loggers are called from every task and
/// never wait, so they share a counter instead of sending messages, which a full queue would lose.
#[derive(Clone, Debug, Default)]
pub struct DroppedLines(Arc<AtomicU64>);

impl DroppedLines {
    /// The number of dropped lines.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn add_one(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// Creates a logger that writes to standard error.
pub fn open(format: LogFormat, level: Level) -> Logger {
    let (log, _) = match format {
        LogFormat::Json => open_json(std::io::stderr(), level),
        LogFormat::Text => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            open_text(decorator, level)
        }
    };
    log
}

/// Creates a logger that writes to standard output. A separate thread writes the lines. If its
/// queue is full, lines are dropped and counted, so a consumer that stops reading blocks no other
/// thread.
pub fn open_stdout(format: LogFormat, level: Level) -> (Logger, DroppedLines) {
    match format {
        LogFormat::Json => open_json(std::io::stdout(), level),
        LogFormat::Text => {
            let decorator = slog_term::TermDecorator::new().stdout().build();
            open_text(decorator, level)
        }
    }
}

/// Creates a logger that writes JSON lines to a writer, which may block.
pub fn open_json(writer: impl Write + Send + 'static, level: Level) -> (Logger, DroppedLines) {
    let json = slog_json::Json::new(writer).add_default_keys().build();
    root(Mutex::new(json).fuse(), level)
}

fn open_text(decorator: slog_term::TermDecorator, level: Level) -> (Logger, DroppedLines) {
    let text = slog_term::FullFormat::new(decorator).build();
    root(Mutex::new(text).fuse(), level)
}

fn root<D>(drain: D, level: Level) -> (Logger, DroppedLines)
where
    D: Drain<Ok = (), Err = Never> + Send + 'static,
{
    let dropped = DroppedLines::default();
    let queued = Arc::new(AtomicUsize::new(0));
    let writer = LineWriter {
        drain,
        clock: SystemClock::new(),
        dropped: dropped.clone(),
        queued: Arc::clone(&queued),
        reported: Cell::new(0),
        next_report_at: Cell::new(Millis::ZERO),
    };
    let queue = LineQueue {
        core: AsyncCore::custom(writer)
            .chan_size(LINE_QUEUE_CAPACITY + WARNING_QUEUE_CAPACITY)
            .build(),
        queued,
        dropped: dropped.clone(),
    };
    let log = Logger::root(LevelFilter::new(queue, level).fuse(), o!());
    (log, dropped)
}

/// Queues lines for the thread that writes them, and drops and counts those that find no room.
struct LineQueue {
    core: AsyncCore,
    /// Number of queued lines; incremented before a line is queued.
    queued: Arc<AtomicUsize>,
    dropped: DroppedLines,
}

impl Drain for LineQueue {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let capacity = if record.level().is_at_least(Level::Warning) {
            LINE_QUEUE_CAPACITY + WARNING_QUEUE_CAPACITY
        } else {
            LINE_QUEUE_CAPACITY
        };
        let has_room = self.queued.fetch_add(1, Ordering::Relaxed) < capacity;
        // A fatal error means that the thread has ended, so the line is lost as well.
        if !has_room || self.core.log(record, values).is_err() {
            self.queued.fetch_sub(1, Ordering::Relaxed);
            self.dropped.add_one();
        }
        Ok(())
    }
}

/// Writes lines on the log's thread, and reports dropped lines between them.
struct LineWriter<D: Drain<Ok = (), Err = Never>> {
    drain: D,
    clock: SystemClock,
    dropped: DroppedLines,
    queued: Arc<AtomicUsize>,
    /// Number of dropped lines that the log has reported.
    reported: Cell<u64>,
    next_report_at: Cell<Millis>,
}

impl<D: Drain<Ok = (), Err = Never>> LineWriter<D> {
    fn report_dropped(&self, values: &OwnedKVList) {
        let total = self.dropped.total();
        let count = total - self.reported.replace(total);
        if count == 0 {
            return;
        }
        let now = self.clock.now();
        self.next_report_at
            .set(now.after_ms(DROP_REPORT_INTERVAL_MS));
        let Ok(()) = self.drain.log(
            &record!(
                Level::Error,
                "",
                &format_args!("slog-async: logger dropped messages due to channel overflow"),
                b!("count" => count)
            ),
            values,
        );
    }
}

impl<D: Drain<Ok = (), Err = Never>> Drain for LineWriter<D> {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        self.queued.fetch_sub(1, Ordering::Relaxed);
        let Ok(()) = self.drain.log(record, values);
        if self.dropped.total() > self.reported.get()
            && self.clock.now() >= self.next_report_at.get()
        {
            self.report_dropped(values);
        }
        Ok(())
    }
}

impl<D: Drain<Ok = (), Err = Never>> Drop for LineWriter<D> {
    /// Reports the rest when the log is closed.
    fn drop(&mut self) {
        self.report_dropped(&o!().into());
    }
}
