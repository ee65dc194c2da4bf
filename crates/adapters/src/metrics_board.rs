//! Metrics that are kept in the process and read as text.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;

use hdrhistogram::Histogram;
use rosemaryscale_ports::metric::{MetricSink, Metrics};
use rosemaryscale_ports::prelude::*;
use tokio::task::JoinHandle;

/// Records on their way to the task; when it is full, records are dropped rather than waited for.
const RECORDS: usize = 4_096;
/// Reads on their way to the task.
const READS: usize = 16;
/// Quantiles that a histogram shows.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];
/// Longest duration that a histogram tells apart; longer ones count as this.
const TIME_MAX_MS: u64 = 600_000;
/// Significant digits of a histogram.
const DIGITS: u8 = 2;

/// Handle to read all metrics as text.
pub type MetricsReader = mpsc::Sender<oneshot::Sender<String>>;

enum Record {
    Count(&'static str, i64),
    Gauge(&'static str, u64),
    TimeMs(&'static str, u64),
}

struct BoardSink {
    records: mpsc::Sender<Record>,
}

impl MetricSink for BoardSink {
    fn count(&self, name: &'static str, value: i64) {
        let _ = self.records.try_send(Record::Count(name, value));
    }

    fn gauge(&self, name: &'static str, value: u64) {
        let _ = self.records.try_send(Record::Gauge(name, value));
    }

    fn time_ms(&self, name: &'static str, value_ms: u64) {
        let _ = self.records.try_send(Record::TimeMs(name, value_ms));
    }
}

/// Starts the task that keeps the metrics. It ends when every handle is dropped.
#[must_use]
pub fn start() -> (Metrics, MetricsReader, JoinHandle<()>) {
    let (records, receiver) = mpsc::channel(RECORDS);
    let (reads, read_receiver) = mpsc::channel(READS);
    let task = tokio::spawn(MetricsBoard::default().serve(receiver, read_receiver));
    (Arc::new(BoardSink { records }), reads, task)
}

/// All metrics of the process.
#[derive(Default)]
struct MetricsBoard {
    counters: BTreeMap<&'static str, i64>,
    gauges: BTreeMap<&'static str, u64>,
    times_ms: BTreeMap<&'static str, Histogram<u64>>,
}

impl MetricsBoard {
    async fn serve(
        mut self,
        mut records: mpsc::Receiver<Record>,
        mut reads: mpsc::Receiver<oneshot::Sender<String>>,
    ) {
        loop {
            tokio::select! {
                record = records.recv() => match record {
                    Some(record) => self.add(record),
                    None => return,
                },
                Some(reply) = reads.recv() => {
                    let _ = reply.send(self.text());
                }
            }
        }
    }

    fn add(&mut self, record: Record) {
        match record {
            Record::Count(name, value) => *self.counters.entry(name).or_default() += value,
            Record::Gauge(name, value) => {
                self.gauges.insert(name, value);
            }
            Record::TimeMs(name, value_ms) => {
                if !self.times_ms.contains_key(name)
                    && let Ok(histogram) = Histogram::new_with_max(TIME_MAX_MS, DIGITS)
                {
                    self.times_ms.insert(name, histogram);
                }
                if let Some(histogram) = self.times_ms.get_mut(name) {
                    histogram.saturating_record(value_ms);
                }
            }
        }
    }

    /// One line for each value; names have underscores in place of points.
    fn text(&self) -> String {
        let mut text = String::new();
        for (name, value) in &self.counters {
            let _ = writeln!(text, "{} {value}", metric_name(name));
        }
        for (name, value) in &self.gauges {
            let _ = writeln!(text, "{} {value}", metric_name(name));
        }
        for (name, histogram) in &self.times_ms {
            let name = metric_name(name);
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(text, "{name}{{quantile=\"{quantile}\"}} {value}");
            }
            let _ = writeln!(text, "{name}_count {}", histogram.len());
        }
        text
    }
}

fn metric_name(name: &str) -> String {
    format!("rosemaryscale_{}", name.replace('.', "_"))
}
